"""Provide the command line for operators."""

from chervilmill.cli._main import main

__all__ = ["main"]
