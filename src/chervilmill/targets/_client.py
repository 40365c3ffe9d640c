"""Exchange requests and answers with targets over pooled HTTP connections.

A connection goes back to its pool only after the whole answer was read. Every other end closes
it, so that a late answer can never be read by a later request.
"""

import threading
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol, cast

import urllib3

from chervilmill.addresses import Address
from chervilmill.platform import Vm
from chervilmill.targets._errors import (
    AnswerCrossedError,
    AnswerLostError,
    AnswerShortError,
    TargetUnreachableError,
)

REQUEST_ID_HEADER = "X-Request-Id"
READ_BYTES = 64 * 1024


class Body(Protocol):
    """Read the body of a request."""

    def read(self, size: int = -1) -> bytes:
        """Return up to `size` bytes, and nothing at the end."""
        ...


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """Hold a request as it goes to a target; `body` is read once, `length` bytes of it."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: Body | None
    length: int


class Answer(Protocol):
    """Read an answer of a target."""

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in their order."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield parts as they arrive, or raise AnswerShortError where the answer breaks off."""
        ...

    def close(self) -> None:
        """End the exchange; an unfinished answer costs its connection."""
        ...


class Targets(Protocol):
    """Send requests to targets."""

    def send(self, target: Vm, req: TargetRequest, timeout_s: float) -> Answer:
        """Send a request and return its answer once the headers are there, or raise TargetError."""
        ...


class TargetAnswer:
    """Implement Answer on a urllib3 response."""

    __slots__ = ("_finished", "_peer", "_resp")

    def __init__(self, resp: urllib3.BaseHTTPResponse, peer: str) -> None:
        self._resp = resp
        self._peer = peer
        self._finished = False

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return self._resp.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in their order."""
        return tuple(self._resp.headers.items())

    def chunks(self) -> Iterator[bytes]:
        """Yield parts as they arrive, or raise AnswerShortError where the answer breaks off."""
        try:
            yield from self._parts()
        except urllib3.exceptions.HTTPError as exc:
            raise AnswerShortError(str(exc), step="read answer", peer=self._peer) from exc
        self._finished = True

    def close(self) -> None:
        """End the exchange; an unfinished answer costs its connection."""
        if self._finished:
            self._resp.release_conn()
            return
        self._resp.close()

    def _parts(self) -> Iterator[bytes]:
        if isinstance(self._resp, urllib3.HTTPResponse) and self._resp.chunked:
            yield from self._resp.read_chunked(decode_content=False)
            return
        while part := self._resp.read1(READ_BYTES, decode_content=False):
            yield part


class HttpTargets:
    """Implement Targets with one connection pool for each target."""

    def __init__(self, connections_per_target: int) -> None:
        self._connections_per_target = connections_per_target
        self._pools: dict[Address, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def send(self, target: Vm, req: TargetRequest, timeout_s: float) -> Answer:
        """Send a request and return its answer once the headers are there, or raise TargetError."""
        pool = self._pool(target.address)
        headers = urllib3.HTTPHeaderDict(req.headers)
        headers[REQUEST_ID_HEADER] = req.request_id
        if req.body is not None:
            headers["Content-Length"] = str(req.length)
        try:
            resp = pool.urlopen(
                req.method,
                req.path,
                body=cast(Any, req.body),
                headers=headers,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
                preload_content=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.EmptyPoolError,
        ) as exc:
            raise TargetUnreachableError(str(exc), step="connect", peer=target.name) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise AnswerLostError(str(exc), step="read headers", peer=target.name) from exc
        answer = TargetAnswer(resp, target.name)
        _check_echo(answer, req, resp.headers.get(REQUEST_ID_HEADER), target)
        return answer

    def _pool(self, address: Address) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = urllib3.HTTPConnectionPool(
                    address.host, address.port, maxsize=self._connections_per_target, block=False
                )
                self._pools[address] = pool
            return pool


def _check_echo(answer: TargetAnswer, req: TargetRequest, echoed: str | None, target: Vm) -> None:
    if echoed == req.request_id:
        return
    answer.close()
    message = f"answer carries request id {echoed!r} instead of {req.request_id!r}"
    raise AnswerCrossedError(message, step="read headers", peer=target.name)
