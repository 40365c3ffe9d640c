"""Let WSGI applications control the connection of their request."""

import errno
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any, NoReturn

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

EXCHANGE_KEY = "chervilmill.exchange"
SOCKET_KEY = "chervilmill.socket"


class Exchange:
    """Control over the connection of one request, beyond what WSGI offers."""

    __slots__ = ("_req",)

    def __init__(self, req: Any) -> None:
        self._req = req

    def close_connection(self) -> None:
        """Close the connection after the present answer."""
        self._req.close_connection = True

    @property
    def socket(self) -> socket.socket:
        """Return the socket of the connection."""
        sock: socket.socket = self._req.conn.socket
        return sock

    def is_peer_gone(self) -> bool:
        """Return whether the peer has closed its side; a half-closed connection counts too."""
        sock = self._req.conn.socket
        poller = select.poll()
        try:
            poller.register(sock, select.POLLIN)
            return bool(poller.poll(0)) and not sock.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def drop(self) -> NoReturn:
        """Shut the connection down with no answer or an unfinished one; raise BrokenPipeError."""
        self._req.conn.shut_down()
        raise BrokenPipeError(errno.EPIPE, "the application dropped the connection")

    def reset_connection(self) -> None:
        """End the connection with a TCP reset, so that no peer takes a cut answer as whole."""
        self._req.close_connection = True
        self._req.conn.should_reset = True

    def write(self, data: bytes) -> None:
        """Write bytes to the connection unframed."""
        self._req.conn.wfile.write(data)


def exchange_of(environ: Environ) -> Exchange:
    """Return the exchange of the request that a WSGI environment describes."""
    exchange: Exchange = environ[EXCHANGE_KEY]
    return exchange


def close_connection(environ: Environ) -> None:
    """Close the caller's connection after the present answer."""
    exchange_of(environ).close_connection()


def reset_connection(environ: Environ) -> None:
    """End the caller's connection with a TCP reset, so that no cut answer is taken as whole."""
    exchange_of(environ).reset_connection()
