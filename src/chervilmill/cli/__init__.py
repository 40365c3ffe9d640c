"""Offer the operators' command line."""

from chervilmill.cli._main import main

__all__ = ["main"]
