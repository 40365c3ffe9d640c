"""Cancel exchanges with targets from another thread."""

import socket
import threading
from contextlib import suppress
from enum import Enum


class CancelReason(Enum):
    """The reason why an exchange is cancelled."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    HEDGE_LOST = "hedge_lost"


class Cancellation:
    """Cancels all exchanges of one request, including those that start later.

    Cancelling shuts down the sockets. A blocked read of such a socket returns at once, and the
    target sees its connection close.
    """

    __slots__ = ("_children", "_lock", "_sockets", "reason")

    def __init__(self) -> None:
        self.reason: CancelReason | None = None
        self._sockets: set[socket.socket] = set()
        self._children: list[Cancellation] = []
        self._lock = threading.Lock()

    def cancel(self, reason: CancelReason) -> None:
        """Shut down every attached socket; if called again, the first reason is kept."""
        with self._lock:
            if self.reason is not None:
                return
            self.reason = reason
            for sock in self._sockets:
                _shut_down(sock)
            children = list(self._children)
        for child in children:
            child.cancel(reason)

    def child(self) -> "Cancellation":
        """Return a cancellation that is cancelled with this one, and may be cancelled alone."""
        child = Cancellation()
        with self._lock:
            self._children.append(child)
            reason = self.reason
        if reason is not None:
            child.cancel(reason)
        return child

    def attach(self, sock: socket.socket) -> None:
        """Attach a socket, and shut it down at once if `cancel` was already called."""
        with self._lock:
            self._sockets.add(sock)
            if self.reason is not None:
                _shut_down(sock)

    def detach(self, sock: socket.socket) -> bool:
        """Detach a socket and return whether it was not shut down."""
        with self._lock:
            self._sockets.discard(sock)
            return self.reason is None


def _shut_down(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
