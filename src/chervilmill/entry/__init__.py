"""Run an entry VM on the users' platform: one event loop between callers and targets."""
