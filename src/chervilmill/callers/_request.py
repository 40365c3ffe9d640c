"""Read a caller's request from its HTTP headers."""

import re
import time
import uuid
from dataclasses import dataclass, field
from typing import IO

from chervilmill.callers._refusal import Refusal
from chervilmill.http import Environ
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import RequestKind, kind_of
from chervilmill.targets import Cancellation

MAX_ID_LENGTH = 128
MAX_DEADLINE_MS = 3_600_000
_SERVICE_PATH = re.compile(r"/s/([A-Za-z0-9_.-]{1,64})(/.*)?")
_ID = re.compile(rf"[A-Za-z0-9._:-]{{1,{MAX_ID_LENGTH}}}")
_FORWARDED = ("CONTENT_TYPE", "HTTP_ACCEPT", "HTTP_ACCEPT_LANGUAGE", "HTTP_AUTHORIZATION")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a request of a caller; `deadline_s` is a reading of the monotonic clock.

    A request `is_hop` where another entry VM passed it on.
    """

    request_id: str
    service: str
    kind: RequestKind
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    idempotency_key: str | None
    deadline_s: float
    length: int
    body: IO[bytes]
    is_retry: bool = False
    is_hop: bool = False
    cancellation: Cancellation = field(default_factory=Cancellation)


def read_request(environ: Environ, default_deadline_ms: int) -> CallerRequest:
    """Return the request of a WSGI environment, or raise Refusal."""
    match = _SERVICE_PATH.fullmatch(environ["PATH_INFO"])
    if match is None:
        raise _bad(RefusalReason.UNKNOWN_PATH, "paths are /lookup and /s/SERVICE/PATH")
    if environ["SERVER_PROTOCOL"] == "HTTP/1.0":
        detail = "HTTP/1.0 cannot tell a short answer from a whole one"
        raise _bad(RefusalReason.HTTP_VERSION, detail)
    method = environ["REQUEST_METHOD"]
    kind = kind_of(method)
    if kind is None:
        raise _bad(RefusalReason.BAD_REQUEST, f"method {method} is not forwarded")
    key = _identifier(environ, "HTTP_IDEMPOTENCY_KEY")
    if kind is RequestKind.ORDER and key is None:
        detail = "a POST needs the header Idempotency-Key"
        raise _bad(RefusalReason.IDEMPOTENCY_KEY_REQUIRED, detail)
    deadline_ms = _deadline_ms(environ, default_deadline_ms)
    return CallerRequest(
        request_id=request_id_of(environ),
        service=match[1],
        kind=kind,
        method=method,
        path=_target_path(match[2], environ["QUERY_STRING"]),
        headers=_forwarded_headers(environ, key),
        idempotency_key=key,
        deadline_s=time.monotonic() + deadline_ms / 1000,
        length=_length(environ),
        body=environ["wsgi.input"],
        is_retry=environ.get("HTTP_X_ATTEMPT", "1") != "1",
        is_hop="HTTP_X_ORDER_HOP" in environ,
    )


def request_id_of(environ: Environ) -> str:
    """Return the caller's request id, or a new one where it has none that is well-formed."""
    given = environ.get("HTTP_X_REQUEST_ID", "")
    return given if _ID.fullmatch(given) else uuid.uuid4().hex


def _target_path(path: str | None, query: str) -> str:
    return (path or "/") + (f"?{query}" if query else "")


def _identifier(environ: Environ, name: str) -> str | None:
    value = environ.get(name)
    if value is None:
        return None
    if not _ID.fullmatch(value):
        raise _bad(
            RefusalReason.BAD_REQUEST, f"{name} is not 1 to {MAX_ID_LENGTH} of A-Za-z0-9._:-"
        )
    return str(value)


def _deadline_ms(environ: Environ, default_ms: int) -> int:
    text = environ.get("HTTP_X_DEADLINE_MS")
    if text is None:
        return default_ms
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise _bad(RefusalReason.BAD_REQUEST, f"X-Deadline-Ms is not within 1 to {MAX_DEADLINE_MS}")
    return int(text)


def _length(environ: Environ) -> int:
    if "HTTP_TRANSFER_ENCODING" in environ:
        raise _bad(RefusalReason.LENGTH_REQUIRED, "a body needs Content-Length")
    return int(environ.get("CONTENT_LENGTH") or 0)


def _forwarded_headers(environ: Environ, key: str | None) -> tuple[tuple[str, str], ...]:
    headers = [
        (name.removeprefix("HTTP_").replace("_", "-").title(), environ[name])
        for name in _FORWARDED
        if environ.get(name)
    ]
    if key is not None:
        headers.append(("Idempotency-Key", key))
    return tuple(headers)


def _bad(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, Ran.NOT_RUN, detail)
