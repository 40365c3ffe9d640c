"""Steer traffic from callers to targets across regions and failure domains."""

__version__ = "0.1.0"
