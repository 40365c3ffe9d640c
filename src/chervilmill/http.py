"""Serve WSGI applications with cheroot, closing connections whose body was left unread."""

import socket
import struct
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

from chervilmill.addresses import Address

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

CLOSE_KEY = "chervilmill.close_connection"
SOCKET_KEY = "chervilmill.socket"
STOP_TIMEOUT_S = 1


class _Gateway(wsgi.Gateway_10):
    def get_environ(self) -> Environ:  # type: ignore[override]
        environ: Environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CLOSE_KEY] = self._close_connection
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ

    def _close_connection(self) -> None:
        self.req.close_connection = True


def close_connection(environ: Environ) -> None:
    """Have the caller's connection closed after the present answer."""
    environ[CLOSE_KEY]()


def reset_connection(environ: Environ) -> None:
    """Have the caller's connection end in a reset, which no reader takes for the answer's end."""
    close_connection(environ)
    sock: socket.socket = environ[SOCKET_KEY]
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class HttpServer:
    """Run a WSGI application on an address in threads of its own."""

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        *,
        threads: int,
        max_header_bytes: int = 16 * 1024,
        max_body_bytes: int = 0,
        idle_timeout_s: int = 10,
        before_stop: Callable[[], None] | None = None,
    ) -> None:
        self._before_stop = before_stop
        self._server = wsgi.Server(
            (address.host, address.port),
            app,
            numthreads=threads,
            request_queue_size=512,
            timeout=idle_timeout_s,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http {address}", daemon=True
        )

    @property
    def address(self) -> Address:
        """Return the bound address; its port is known once started."""
        host, port = self._server.bind_addr[:2]
        return Address(host, port)

    def start(self) -> None:
        """Bind the address and begin to serve, or raise OSError."""
        self._server.prepare()
        self._thread.start()

    def refuse_keep_alive(self) -> None:
        """Close each connection after its present answer."""
        self._server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Close the listener and all idle connections."""
        if self._before_stop is not None:
            self._before_stop()
        self._server.stop()
