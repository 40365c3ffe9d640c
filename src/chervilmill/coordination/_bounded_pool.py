"""Send requests to the platform, with a bound on the size of an answer and on its whole time.

The library reads an answer to its end, however long that takes: its time-out is that of one read.
"""

import http.client
import time
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from chervilmill.addresses import Address

MAX_CONNECTIONS = 16
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_INTERIM_ANSWERS = 16
READ_BYTES = 64 * 1024


class EndlessAnswerError(urllib3.exceptions.HTTPError):
    """Raised for an answer that is longer, or takes longer, than any of the platform may."""


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """A whole answer of the platform."""

    status: int
    data: bytes


class _Response(http.client.HTTPResponse):
    """A response that ends after too many interim answers."""

    _status_lines = 0

    def _read_status(self) -> tuple[str, int, str]:
        self._status_lines += 1
        if self._status_lines > 1 + MAX_INTERIM_ANSWERS:
            raise http.client.HTTPException("too many interim answers")
        return super()._read_status()  # type: ignore[misc, no-any-return]


class _Connection(HTTPConnection):
    response_class = _Response


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class BoundedPool:
    """Connections to the platform at one address."""

    def __init__(self, address: Address) -> None:
        self._pool = _ConnectionPool(
            address.host, address.port, maxsize=MAX_CONNECTIONS, retries=False
        )

    def request(self, method: str, path: str, *, timeout: float, **options: Any) -> PlatformAnswer:
        """Return the answer to a request, or raise HTTPError of urllib3.

        `options` are the body and the headers, as urllib3 takes them.
        """
        deadline_s = time.monotonic() + timeout
        resp = self._pool.request(method, path, timeout=timeout, preload_content=False, **options)
        is_whole = False
        try:
            data = _read_whole(resp, deadline_s)
            is_whole = True
        finally:
            if not is_whole:
                resp.close()
            resp.release_conn()
        return PlatformAnswer(resp.status, data)


def _read_whole(resp: urllib3.BaseHTTPResponse, deadline_s: float) -> bytes:
    parts: list[bytes] = []
    size = 0
    while part := resp.read1(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise EndlessAnswerError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
        if time.monotonic() > deadline_s:
            raise EndlessAnswerError("no whole answer in time")
    return b"".join(parts)
