"""Run a WSGI application on an address, in a pool of threads."""

import logging
import threading
import time
from collections.abc import Callable
from traceback import format_exc
from typing import Any

from cheroot import wsgi

from chervilmill.addresses import Address
from chervilmill.http._connection import Connection, EarlyRefusals
from chervilmill.http._exchange import EXCHANGE_KEY, SOCKET_KEY, Environ, Exchange, WsgiApp
from chervilmill.logs import log_problem

STOP_TIMEOUT_S = 1
DRAIN_POLL_S = 0.02
ACCEPT_QUEUE_LENGTH = 512


class _RequestBody:
    """The body of a request, which sends `100 Continue` on the first read if the peer waits."""

    __slots__ = ("_body", "_req")

    def __init__(self, body: Any, req: Any) -> None:
        self._body = body
        self._req = req

    def read(self, size: int | None = None) -> bytes:
        """Return up to `size` bytes of the body."""
        self._req.send_continue()
        part: bytes = self._body.read(size)
        return part


class _Gateway(wsgi.Gateway_10):
    def get_environ(self) -> Environ:  # type: ignore[override]
        environ: Environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[EXCHANGE_KEY] = Exchange(self.req)
        environ[SOCKET_KEY] = self.req.conn.socket
        environ["wsgi.input"] = _RequestBody(environ["wsgi.input"], self.req)
        return environ

    def respond(self) -> None:
        """Write the answer, and always close the iterable so that it releases its resources."""
        response: Any = self.req.server.wsgi_app(self.env, self.start_response)
        try:
            for part in filter(None, response):
                self.write(part)
            self.req.ensure_headers_sent()
        finally:
            if hasattr(response, "close"):
                response.close()


class _Server(wsgi.Server):
    ConnectionClass = Connection
    io_timeout_s: float
    least_bytes_per_s: int
    max_connections: int
    early_refusals: EarlyRefusals | None
    open_connections: set[Connection]
    _connections: Any

    def process_conn(self, conn: Any) -> None:
        """Pass a connection to a worker thread once it has sent data; refuse one over the limit."""
        if conn.last_used is None and len(self.open_connections) > self.max_connections:
            conn.refuse("503 Service Unavailable", "too many connections")
            return
        if conn.last_used is None:
            self._connections.put(conn)
            return
        super().process_conn(conn)

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log warnings and errors of cheroot as JSON lines."""
        if level < logging.WARNING:
            return
        error = format_exc() if traceback else ""
        log_problem("http server", step="serve", peer=str(self.bind_addr), detail=msg, error=error)


class HttpServer:
    """A server that runs a WSGI application on an address, in a pool of threads.

    A request has a grace period of `io_timeout_s` and must otherwise arrive at a rate of at least
    `least_bytes_per_s`; the peer must read the answer at the same rate. An idle connection is kept
    for `keep_alive_s`. A connection over `max_connections` is refused. `early_refusals` builds the
    answers to requests that are too malformed for the application.
    """

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        *,
        threads: int,
        max_header_bytes: int = 16 * 1024,
        io_timeout_s: float = 10,
        least_bytes_per_s: int = 1024,
        keep_alive_s: int = 60,
        max_connections: int = 1_000,
        early_refusals: EarlyRefusals | None = None,
        before_stop: Callable[[], None] | None = None,
    ) -> None:
        self._before_stop = before_stop
        self._server = _Server(
            (address.host, address.port),
            app,
            numthreads=threads,
            request_queue_size=ACCEPT_QUEUE_LENGTH,
            timeout=keep_alive_s,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = max_header_bytes
        self._server.keep_alive_conn_limit = max_connections
        self._server.max_connections = max_connections
        self._server.io_timeout_s = io_timeout_s
        self._server.least_bytes_per_s = least_bytes_per_s
        self._server.early_refusals = early_refusals
        self._server.open_connections = set()
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http {address}", daemon=True
        )

    @property
    def address(self) -> Address:
        """Return the bound address, whose port is final once the server has started."""
        host, port = self._server.bind_addr[:2]
        return Address(host, port)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.open_connections)

    def start(self) -> None:
        """Bind the address and start serving, or raise OSError."""
        self._server.prepare()
        self._thread.start()

    def refuse_keep_alive(self) -> None:
        """Close each connection after its present answer."""
        self._server.keep_alive_conn_limit = 0

    def drain(self, idle_s: int, timeout_s: float) -> bool:
        """Close each connection after its next answer, and return whether all closed in time.

        A connection that sends no request for `idle_s` seconds is closed without an answer.
        """
        self.refuse_keep_alive()
        self._server.timeout = idle_s
        deadline_s = time.monotonic() + timeout_s
        while self._server.open_connections and time.monotonic() < deadline_s:
            time.sleep(DRAIN_POLL_S)
        return not self._server.open_connections

    def stop(self) -> None:
        """Stop serving: close the listener and all idle connections."""
        if self._before_stop is not None:
            self._before_stop()
        self._server.stop()

    def close_listener(self) -> None:
        """Refuse new connections, and keep serving the open ones."""
        if self._server.socket is not None:
            self._server.socket.close()

    def abort(self) -> None:
        """Close the listener and shut down every connection, also in the middle of an answer.

        The listener is closed first, so that a peer which loses its connection is refused the next
        one, as happens when a process ends.
        """
        self.close_listener()
        for conn in tuple(self._server.open_connections):
            conn.shut_down()
        self.stop()
