"""Run an entry VM on the users' platform: a proxy from callers to targets on one event loop."""
