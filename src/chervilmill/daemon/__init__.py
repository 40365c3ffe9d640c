"""Run one entry VM."""

from chervilmill.daemon._main import main
from chervilmill.daemon._root import Daemon

__all__ = ["Daemon", "main"]
