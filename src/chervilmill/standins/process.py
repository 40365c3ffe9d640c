"""Run a stand-in as a separate process until SIGTERM or SIGINT."""

import argparse
import threading
from typing import Protocol

from chervilmill.addresses import Address, parse_address
from chervilmill.logs import log_event, set_up_logs
from chervilmill.signals import call_on_stop_signal


class Server(Protocol):
    """A server that listens on one address."""

    @property
    def address(self) -> Address:
        """Return the bound address."""
        ...

    def start(self) -> None:
        """Bind the address and start serving; raise OSError if the address can't be bound."""
        ...

    def stop(self) -> None:
        """Close the listener and all connections."""
        ...


def address_argument(text: str) -> Address:
    """Parse a command-line argument as an address."""
    try:
        return parse_address(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(str(exc)) from exc


def run_until_stopped(name: str, server: Server) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code 0."""
    stop_requested = threading.Event()
    call_on_stop_signal(stop_requested.set)
    set_up_logs(name)
    server.start()
    log_event("stand-in started", address=str(server.address))
    stop_requested.wait()
    server.stop()
    return 0
