"""Extend cheroot's connections with paced transfers, strict headers and lingering closes."""

import _pyio  # type: ignore[import-not-found]
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

from cheroot.makefile import StreamReader, StreamWriter
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest

from chervilmill.http._pace import Pace

LINGER_S = 2.0
LINGER_BYTES = 256 * 1024**2
LINGER_READ_BYTES = 64 * 1024
SINGLE_HEADERS = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Content-Type",
        b"Host",
        b"Idempotency-Key",
        b"X-Deadline-Ms",
        b"X-Request-Id",
    }
)


@dataclass(frozen=True, slots=True)
class EarlyRefusal:
    """The answer to a request that is refused before it reaches the application."""

    status: str
    content_type: str
    body: bytes


EarlyRefusals = Callable[[int, str], EarlyRefusal]


class _PacedSocketIO(socket.SocketIO):
    def __init__(self, sock: socket.socket, mode: Literal["r", "w"], pace: Pace) -> None:
        super().__init__(sock, mode)
        self._paced_sock = sock
        self._pace = pace

    def readinto(self, buffer: Any) -> int | None:
        return self._transfer(super().readinto, buffer)

    def write(self, data: Any) -> int | None:
        return self._transfer(super().write, data)

    def _transfer(self, transfer: Callable[[Any], int | None], data: Any) -> int:
        allowed_s = self._pace.allowed_s
        if allowed_s <= 0:
            raise TimeoutError("timed out")  # cheroot recognises a time-out by this text
        self._paced_sock.settimeout(allowed_s)
        started_s = time.monotonic()
        size = 0
        try:
            size = transfer(data) or 0
        finally:
            self._pace.note(time.monotonic() - started_s, size)
        return size


class _PacedReader(StreamReader):
    def __init__(self, sock: socket.socket, pace: Pace, buffer_bytes: int) -> None:
        _pyio.BufferedReader.__init__(self, _PacedSocketIO(sock, "r", pace), buffer_bytes)
        self.bytes_read = 0


class _PacedWriter(StreamWriter):
    def __init__(self, sock: socket.socket, pace: Pace, buffer_bytes: int) -> None:
        _pyio.BufferedWriter.__init__(self, _PacedSocketIO(sock, "w", pace), buffer_bytes)
        self.bytes_written = 0


class _StrictHeaders(dict[bytes, bytes]):
    """Headers of a request that reject a repeated single-value header or a folded line of one.

    `Expect` is stored apart from the others. Otherwise cheroot would send `100 Continue` before the
    application reads the body.
    """

    expects_continue = False

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == b"Expect":
            self.expects_continue = value.lower() == b"100-continue"
            return
        if name in self and name in SINGLE_HEADERS:
            raise ValueError(f"header {name.decode('latin-1')} is given twice")
        super().__setitem__(name, value)


class _StrictHeaderReader(HeaderReader):
    def _allow_header(self, name: bytes) -> bool:
        return b"_" not in name

    def _transform_key(self, key: bytes) -> bytes:
        if not key or key != key.strip():
            raise ValueError("header name has white space around it")
        return key.title()


class Request(HTTPRequest):
    """A request that is refused in the format of the application if it is malformed."""

    header_reader = _StrictHeaderReader()

    def __init__(self, server: Any, conn: Any) -> None:
        super().__init__(server, conn)
        self.inheaders = _StrictHeaders()
        conn.current_request = self

    def send_continue(self) -> None:
        """Send `100 Continue` once, if the peer waits for it before sending the body."""
        if self.inheaders.expects_continue:
            self.inheaders.expects_continue = False
            self.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def has_unread_body(self) -> bool:
        """Return whether a part of the request's body has not been read."""
        if self.chunked_read:
            return not getattr(self.rfile, "closed", True)
        return getattr(self.rfile, "remaining", 0) > 0

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that did not reach the application, and close the connection."""
        self.close_connection = True
        self.conn.should_linger = True
        refusals: EarlyRefusals | None = self.server.early_refusals
        if refusals is None:
            super().simple_response(status, msg)
            return
        refusal = refusals(int(str(status)[:3]), msg)
        head = (
            f"HTTP/1.1 {refusal.status}\r\nContent-Type: {refusal.content_type}\r\n"
            f"Content-Length: {len(refusal.body)}\r\nConnection: close\r\n"
            + ("Retry-After: 1\r\n" if refusal.status.startswith("503") else "")
            + "\r\n"
        )
        self.conn.wfile.write(head.encode("latin-1") + refusal.body)


class Connection(HTTPConnection):
    """A connection with a least transfer rate, which lingers on close if a body is unread."""

    RequestHandlerClass = Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock)
        self._read_pace = Pace(server.io_timeout_s, server.least_bytes_per_s)
        self._write_pace = Pace(server.io_timeout_s, server.least_bytes_per_s)
        self.rfile = _PacedReader(sock, self._read_pace, self.rbufsize)
        self.wfile = _PacedWriter(sock, self._write_pace, self.wbufsize)
        self.should_linger = False
        self.should_reset = False
        self.current_request: Request | None = None
        server.open_connections.add(self)

    def communicate(self) -> bool:
        """Serve one request and return whether the connection stays open."""
        self._read_pace.restart()
        self._write_pace.restart()
        is_kept: bool = super().communicate()  # type: ignore[no-untyped-call]
        req = self.current_request
        if not is_kept and req is not None and req.ready and req.has_unread_body:
            self.should_linger = True
        return is_kept

    def refuse(self, status: str, detail: str) -> None:
        """Send an answer before any request was received, and close the connection."""
        try:
            Request(self.server, self).simple_response(status, detail)
        except OSError:
            return
        finally:
            self.should_linger = False
            self.close()

    def shut_down(self) -> None:
        """Shut down both directions at once, even if an answer is missing or unfinished."""
        self.should_linger = False
        self.current_request = None
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, with a reset or a lingering close if one is due."""
        self.server.open_connections.discard(self)
        if self.should_reset:
            self._reset()
            return
        if self.should_linger:
            self._drain_input()
        super().close()

    def _reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.rfile.close()
        self.socket.close()

    def _drain_input(self) -> None:
        """Discard what the peer still sends, for a limited time and size.

        Closing a socket with unread input sends a reset, by which the peer may lose the answer.
        """
        deadline_s = time.monotonic() + LINGER_S
        remaining_bytes = LINGER_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0 and (wait_s := deadline_s - time.monotonic()) > 0:
                self.socket.settimeout(wait_s)
                received = len(self.socket.recv(LINGER_READ_BYTES))
                if not received:
                    return
                remaining_bytes -= received
        except OSError:
            return
