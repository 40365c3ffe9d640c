"""Serve a target stand-in that can crash and come back."""

import threading

from chervilmill.addresses import Address
from chervilmill.http import HttpServer
from chervilmill.standins.target_app import TargetApp
from chervilmill.standins.target_state import AnswerFault, TargetMode, TargetState

__all__ = ["AnswerFault", "TargetMode", "TargetServer", "TargetState", "target_server"]

THREADS = 48
MAX_CONNECTIONS = 1_000


class TargetServer:
    """Serve one target; a crash cuts every connection and ends with a new, cold start."""

    def __init__(self, address: Address, state: TargetState) -> None:
        self._address = address
        self._state = state
        self._app = TargetApp(state, self.crash)
        self._server = self._new_server()
        self._stopped = threading.Event()
        self._crashing: threading.Thread | None = None

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self._address

    def start(self) -> None:
        """Bind the address and begin to serve, or raise OSError."""
        self._server.start()

    def crash(self) -> None:
        """Cut all connections without an answer and go away for a time."""
        with self._state.lock:
            if self._state.is_away:
                return
            self._state.is_away = True
            self._state.crashes += 1
        self._server.close_listener()
        self._crashing = threading.Thread(target=self._be_away, name="crash", daemon=True)
        self._crashing.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopped.set()
        if self._crashing is not None:
            self._crashing.join()
        self._server.abort()

    def _be_away(self) -> None:
        self._server.abort()
        self._stopped.wait(self._state.crash_away_s)
        if self._stopped.is_set():
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
