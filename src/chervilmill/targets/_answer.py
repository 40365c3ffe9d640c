"""Read the answer of a target, then keep or close its connection."""

import socket
import time
from collections.abc import Callable, Iterator

import urllib3

from chervilmill.framing import BodyCount, Framing, Header
from chervilmill.targets._connection_pool import Connection, ConnectionPool
from chervilmill.targets._errors import AnswerShortError, ExchangeCancelledError, TargetError
from chervilmill.targets._model import TargetRequest

READ_BYTES = 64 * 1024


def encode_headers(resp: urllib3.HTTPResponse) -> list[Header]:
    """Return the headers of an answer as bytes, with repeated ones apart."""
    return [(name.encode("latin-1"), text.encode("latin-1")) for name, text in resp.headers.items()]


class TargetAnswer:
    """Implements Answer on one HTTP connection.

    The connection returns to the pool only after a complete answer that no extra bytes follow. In
    all other cases it is closed, so that no later request can read a late answer.
    """

    __slots__ = (
        "_body_count",
        "_conn",
        "_pool",
        "_deadline_s",
        "_framing",
        "_is_closed",
        "_is_complete",
        "_on_extra_bytes",
        "_peer",
        "_req",
        "_resp",
        "_sock",
    )

    def __init__(
        self,
        resp: urllib3.HTTPResponse,
        framing: Framing,
        conn: Connection,
        sock: socket.socket,
        pool: ConnectionPool,
        req: TargetRequest,
        peer: str,
        deadline_s: float,
        on_extra_bytes: Callable[[], None],
    ) -> None:
        self._resp = resp
        self._framing = framing
        self._body_count = BodyCount(framing)
        self._conn = conn
        self._sock = sock
        self._pool = pool
        self._req = req
        self._peer = peer
        self._deadline_s = deadline_s
        self._on_extra_bytes = on_extra_bytes
        self._is_complete = False
        self._is_closed = False

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return self._resp.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers, of which at most one length frames the body."""
        headers = self._framing.forwarded_headers(encode_headers(self._resp))
        return tuple((name.decode("latin-1"), text.decode("latin-1")) for name, text in headers)

    def chunks(self) -> Iterator[bytes]:
        """Yield parts as they arrive, or raise TargetError if the answer breaks off."""
        try:
            yield from self._parts()
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as exc:
            # The library lets a ValueError through for the size of a chunk below zero.
            raise self._error_for(str(exc)) from exc
        if self._req.cancellation.reason is not None:
            raise self._error_for("cancelled")
        self._is_complete = True

    def close(self) -> None:
        """End the exchange; the connection of an incomplete answer is closed."""
        if self._is_closed:
            return
        self._is_closed = True
        is_uncancelled = self._req.cancellation.detach(self._sock)
        if self._is_complete and is_uncancelled and self._may_be_reused():
            self._pool.put_idle(self._conn)
            return
        self._resp.close()
        self._conn.close()
        self._sock.close()

    def _parts(self) -> Iterator[bytes]:
        parts: Iterator[bytes]
        if self._resp.chunked:
            parts = self._resp.read_chunked(READ_BYTES, decode_content=False)
        else:
            parts = iter(lambda: self._resp.read1(READ_BYTES, decode_content=False), b"")
        while True:
            self._apply_deadline()
            part = next(parts, None)
            if part is None:
                self._body_count.end()
                return
            self._body_count.add(len(part))
            yield part

    def _apply_deadline(self) -> None:
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise AnswerShortError("deadline passed", step="read answer", peer=self._peer)
        if self._sock.fileno() >= 0:
            self._sock.settimeout(remaining_s)

    def _may_be_reused(self) -> bool:
        original = self._resp._original_response
        if getattr(original, "extra_bytes", False):
            self._on_extra_bytes()
            return False
        if self._framing.is_stated_twice:
            return False
        return self._conn.sock is not None

    def _error_for(self, message: str) -> TargetError:
        reason = self._req.cancellation.reason
        if reason is not None:
            return ExchangeCancelledError(reason.value, step="read answer", peer=self._peer)
        return AnswerShortError(message, step="read answer", peer=self._peer)
