"""Exchange requests and answers with targets over persistent HTTP connections."""

import http.client
import time
from collections.abc import Callable
from typing import Any, NoReturn, cast

import urllib3

from chervilmill.coordination import Vm
from chervilmill.documents import decode_document
from chervilmill.framing import Framing, FramingError, read_framing
from chervilmill.requests import TargetCondition
from chervilmill.targets._answer import TargetAnswer, encode_headers
from chervilmill.targets._connection_pool import Connection, ConnectionPool
from chervilmill.targets._errors import (
    AnswerCrossedError,
    AnswerLostError,
    ExchangeCancelledError,
    TargetUnreachableError,
)
from chervilmill.targets._model import Answer, Body, TargetRequest

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
MAX_CONNECT_S = 0.4
PROBE_TIMEOUT_S = 1.0
MAX_PROBE_BYTES = 4096
HEALTH_PATH = "/-/health"
FIRST_STATUS = 200  # of a final answer
LAST_STATUS = 599
FIRST_FAILURE_STATUS = 400


class BodyReadError(Exception):
    """A failure to read the caller's body, raised through the library that sends the body."""


class _CallerBody:
    """A body that raises BodyReadError, so that read failures differ from send failures."""

    __slots__ = ("_body",)

    def __init__(self, body: Body) -> None:
        self._body = body

    def read(self, size: int = -1) -> bytes:
        try:
            return self._body.read(size)
        except OSError as exc:
            raise BodyReadError from exc


class HttpTargets:
    """Implements Targets; each exchange uses a connection exclusively until it ends."""

    def __init__(
        self, connections_per_target: int, on_extra_bytes: Callable[[], None] = lambda: None
    ) -> None:
        self._pool = ConnectionPool(connections_per_target, on_extra_bytes)
        self._on_extra_bytes = on_extra_bytes

    def send(self, target: Vm, req: TargetRequest, timeout_s: float) -> Answer:
        """Send a request and return its answer once the headers arrive, or raise TargetError.

        An OSError raised by reading the body is raised unchanged.
        """
        deadline_s = time.monotonic() + timeout_s
        conn = self._connect(target, req, timeout_s)
        req.cancellation.attach(conn.socket)
        sock = conn.socket
        try:
            resp = _send_and_read_headers(conn, req, deadline_s)
            framing = _checked_framing(req, resp)
        except BodyReadError as exc:
            _discard_connection(conn, req)
            assert isinstance(exc.__cause__, OSError)
            raise exc.__cause__ from None
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            ValueError,
            OSError,
        ) as exc:
            req.cancellation.detach(sock)
            conn.close()
            _raise_exchange_error(exc, req, target)
        except BaseException:
            _discard_connection(conn, req)
            raise
        answer = TargetAnswer(
            resp,
            framing,
            conn,
            sock,
            self._pool,
            req,
            target.name,
            deadline_s,
            self._on_extra_bytes,
        )
        _check_id(answer, req, resp, target)
        return answer

    def is_reachable(self, target: Vm) -> bool:
        """Return whether a new connection to a target can be opened."""
        conn = Connection(target.address, MAX_CONNECT_S)
        try:
            conn.connect()
        except (urllib3.exceptions.HTTPError, ValueError, OSError):
            return False
        finally:
            conn.close()
        return True

    def probe(self, target: Vm) -> TargetCondition | None:
        """Return the condition that a target reports, or None without a usable answer in time."""
        conn = Connection(target.address, MAX_CONNECT_S)
        deadline_s = time.monotonic() + MAX_CONNECT_S + PROBE_TIMEOUT_S
        try:
            conn.connect()
            conn.socket.settimeout(PROBE_TIMEOUT_S)
            conn.request("GET", HEALTH_PATH, preload_content=False, decode_content=False)
            resp = conn.getresponse()
            return _condition_in(resp.status, _read_start(resp, deadline_s))
        except (urllib3.exceptions.HTTPError, http.client.HTTPException, ValueError, OSError):
            return None
        finally:
            conn.close()

    def _connect(self, target: Vm, req: TargetRequest, timeout_s: float) -> Connection:
        if not req.needs_new_connection:
            idle = self._pool.take_idle(target.address)
            if idle is not None:
                return idle
        conn = Connection(target.address, min(timeout_s, MAX_CONNECT_S))
        try:
            conn.connect()
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as exc:
            conn.close()
            raise TargetUnreachableError(str(exc), step="connect", peer=target.name) from exc
        return conn


def _read_start(resp: urllib3.HTTPResponse, deadline_s: float) -> bytes:
    """Return the start of a body, limited in size and time."""
    start = b""
    while len(start) < MAX_PROBE_BYTES and time.monotonic() < deadline_s:
        part = resp.read1(MAX_PROBE_BYTES, decode_content=False)
        if not part:
            break
        start += part
    return start


def _condition_in(status: int, body: bytes) -> TargetCondition | None:
    if status == 404:
        return TargetCondition.LIVE
    if status != 200:
        return None
    try:
        return TargetCondition(decode_document(body)["state"])
    except (LookupError, TypeError, ValueError):
        return None


def _send_and_read_headers(
    conn: Connection, req: TargetRequest, deadline_s: float
) -> urllib3.HTTPResponse:
    remaining_s = max(0.001, deadline_s - time.monotonic())
    conn.timeout = remaining_s
    headers = urllib3.HTTPHeaderDict(req.headers)
    headers[REQUEST_ID_HEADER] = req.request_id
    headers[DEADLINE_HEADER] = str(max(1, int(remaining_s * 1000)))
    body = None
    if req.body is not None:
        headers["Content-Length"] = str(req.length)
        body = _CallerBody(req.body)
    failed_write: OSError | None = None
    try:
        conn.request(
            req.method,
            req.path,
            body=cast(Any, body),
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
    except (BrokenPipeError, ConnectionResetError) as exc:
        # A target may refuse and close before it has read the body; the refusal is still read.
        if req.body is None:
            raise
        failed_write = exc
    conn.timeout = max(0.001, deadline_s - time.monotonic())
    resp = conn.getresponse()
    if failed_write is not None and resp.status < FIRST_FAILURE_STATUS:
        raise failed_write
    if not FIRST_STATUS <= resp.status <= LAST_STATUS:
        raise http.client.HTTPException(f"invalid status {resp.status}")
    return resp


def _discard_connection(conn: Connection, req: TargetRequest) -> None:
    if conn.sock is not None:
        req.cancellation.detach(conn.socket)
    conn.close()


def _raise_exchange_error(exc: Exception, req: TargetRequest, target: Vm) -> NoReturn:
    reason = req.cancellation.reason
    if reason is not None:
        raise ExchangeCancelledError(reason.value, step="read headers", peer=target.name) from exc
    raise AnswerLostError(str(exc), step="read headers", peer=target.name) from exc


def _checked_framing(req: TargetRequest, resp: urllib3.HTTPResponse) -> Framing:
    """Return how the body of an answer ends, or raise FramingError.

    The library, which reads the body, takes some values that state no length or coding.
    """
    framing = read_framing(req.method.encode(), resp.status, encode_headers(resp))
    if framing.is_ended_by_close:
        raise FramingError("answer states neither its length nor its parts")
    if framing.has_body and framing.is_chunked != resp.chunked:
        raise FramingError("invalid Transfer-Encoding")
    return framing


def _check_id(
    answer: TargetAnswer, req: TargetRequest, resp: urllib3.HTTPResponse, target: Vm
) -> None:
    echoed = resp.headers.get(REQUEST_ID_HEADER)
    if echoed != req.request_id:
        answer.close()
        message = f"answer carries request id {echoed!r} instead of {req.request_id!r}"
        raise AnswerCrossedError(message, step="read headers", peer=target.name)
