"""Stand in for the platform and for targets in tests and in the demonstration."""
