"""Pool idle connections to targets."""

import http.client
import socket
import threading
import time
from collections import defaultdict, deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

from urllib3.connection import HTTPConnection

from chervilmill.addresses import Address

MAX_IDLE_S = 30.0
MIN_IDLE_S = 0.005
SEND_BLOCK_BYTES = 64 * 1024
MAX_INTERIM_ANSWERS = 16  # before the final answer; a target may send them without end


class _WholeLines:
    """A stream whose lines must end; the library takes the end of the stream for that of a head."""

    __slots__ = ("_stream",)

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    def readline(self, limit: int = -1) -> bytes:
        """Return a line, or raise HTTPException if the stream ends before the line does."""
        line: bytes = self._stream.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise http.client.HTTPException("the connection ended within a line")
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class _CheckedResponse(http.client.HTTPResponse):
    """An HTTP response that detects extra bytes after it, and endless interim answers before it.

    A head or a chunk that breaks off within a line is an error.

    Both the buffer and the socket are checked when the response is closed, because the buffer is
    lost at that point.
    """

    extra_bytes = False
    _status_lines = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.fp: Any = _WholeLines(self.fp)

    def _read_status(self) -> tuple[str, int, str]:
        self._status_lines += 1
        if self._status_lines > 1 + MAX_INTERIM_ANSWERS:
            raise http.client.HTTPException("too many interim answers")
        return super()._read_status()  # type: ignore[misc, no-any-return]

    def _close_conn(self) -> None:
        fp = self.fp
        if fp is not None:
            self.extra_bytes = self._has_extra_bytes(fp)
        super()._close_conn()  # type: ignore[misc]

    def _has_extra_bytes(self, fp: object) -> bool:
        sock = getattr(getattr(fp, "raw", None), "_sock", None)
        if sock is None or sock.fileno() < 0:
            return False
        previous_timeout_s = sock.gettimeout()
        try:
            sock.settimeout(0.0)
            return bool(fp.peek(1))  # type: ignore[attr-defined]
        except (OSError, ValueError):
            return False
        finally:
            with suppress(OSError):
                sock.settimeout(previous_timeout_s)


class Connection(HTTPConnection):
    """A connection to a target; `idle_since_s` is a time on the monotonic clock."""

    response_class = _CheckedResponse

    def __init__(self, address: Address, timeout_s: float) -> None:
        super().__init__(
            address.host, address.port, timeout=timeout_s, blocksize=SEND_BLOCK_BYTES, proxy=None
        )
        self.address = address
        self.idle_since_s = 0.0

    def has_unread_input(self) -> bool:
        """Return whether the target sent bytes on this idle connection, and not only closed it."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    @property
    def socket(self) -> socket.socket:
        """Return the socket of this connection, which must be open."""
        return cast(socket.socket, self.sock)


class ConnectionPool:
    """A pool of idle connections to each target that reuses the connection idle for longest.

    A connection stays idle for at least `MIN_IDLE_S` before its next use, so that extra bytes after
    the previous answer can arrive and be detected.
    """

    def __init__(self, max_idle_per_target: int, on_extra_bytes: Callable[[], None]) -> None:
        self._max_idle = max_idle_per_target
        self._on_extra_bytes = on_extra_bytes
        self._idle: defaultdict[Address, deque[Connection]] = defaultdict(deque)
        self._lock = threading.Lock()

    def take_idle(self, address: Address) -> Connection | None:
        """Return an idle connection that the target has neither closed nor sent bytes on.

        Return None if there is no such connection.
        """
        while (conn := self._pop_longest_idle(address)) is not None:
            is_recent = time.monotonic() - conn.idle_since_s < MAX_IDLE_S
            if is_recent and conn.is_connected:
                return conn
            if conn.has_unread_input():
                self._on_extra_bytes()
            conn.close()
        return None

    def put_idle(self, conn: Connection) -> None:
        """Keep a connection after a complete answer; close a surplus one if the pool is full."""
        conn.idle_since_s = time.monotonic()
        with self._lock:
            idle = self._idle[conn.address]
            idle.append(conn)
            surplus = idle.popleft() if len(idle) > self._max_idle else None
        if surplus is not None:
            surplus.close()

    def _pop_longest_idle(self, address: Address) -> Connection | None:
        with self._lock:
            idle = self._idle[address]
            if not idle or time.monotonic() - idle[0].idle_since_s < MIN_IDLE_S:
                return None
            return idle.popleft()
