"""Run one entry VM as a daemon process."""

from chervilmill.daemon._daemon import Daemon
from chervilmill.daemon._main import main

__all__ = ["Daemon", "main"]
