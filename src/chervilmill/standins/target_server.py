"""HTTP server of a target stand-in that can crash and restart."""

import threading

from chervilmill.addresses import Address
from chervilmill.http import HttpServer
from chervilmill.standins.target_app import TargetApp
from chervilmill.standins.target_state import AnswerFault, TargetMode, TargetState

__all__ = ["AnswerFault", "TargetMode", "TargetServer", "TargetState", "target_server"]

THREADS = 48
MAX_CONNECTIONS = 1_000


class TargetServer:
    """Serves one target; a crash drops every connection, and the target restarts cold after it."""

    def __init__(self, address: Address, state: TargetState) -> None:
        self._address = address
        self._state = state
        self._app = TargetApp(state, self.crash)
        self._server = self._new_server()
        self._stop_requested = threading.Event()
        self._restart_thread: threading.Thread | None = None

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self._address

    def start(self) -> None:
        """Bind the address and start serving; raise OSError if the address can't be bound."""
        self._server.start()

    def crash(self) -> None:
        """Drop all connections without an answer and stay down for `crash_away_s`."""
        with self._state.lock:
            if self._state.is_crashed:
                return
            self._state.is_crashed = True
            self._state.crashes += 1
        self._server.close_listener()
        self._restart_thread = threading.Thread(
            target=self._restart_after_crash, name="crash", daemon=True
        )
        self._restart_thread.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stop_requested.set()
        if self._restart_thread is not None:
            self._restart_thread.join()
        self._server.abort()

    def _restart_after_crash(self) -> None:
        self._server.abort()
        self._stop_requested.wait(self._state.crash_away_s)
        if self._stop_requested.is_set():
            return
        self._state.restart()
        self._server = self._new_server()
        self._server.start()

    def _new_server(self) -> HttpServer:
        return HttpServer(
            self._address, self._app, threads=THREADS, max_connections=MAX_CONNECTIONS
        )


def target_server(address: Address, state: TargetState) -> TargetServer:
    """Return a server that behaves as a target."""
    return TargetServer(address, state)
