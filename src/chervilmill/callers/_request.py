"""Parse and validate the HTTP request of a caller."""

import re
import time
import uuid
from dataclasses import dataclass, field
from urllib.parse import unquote

from chervilmill.callers._checked_body import CheckedBody
from chervilmill.callers._order_hops import client_of_hop
from chervilmill.callers._refusal import Refusal
from chervilmill.http import Environ
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import RequestKind, kind_of
from chervilmill.settings import Limits
from chervilmill.targets import Cancellation

MAX_ID_LENGTH = 128
MAX_DEADLINE_MS = 3_600_000
_SERVICE_PATH = re.compile(r"/s/([A-Za-z0-9_.-]{1,64})(/.*)?")
_IDENTIFIER = re.compile(rf"[A-Za-z0-9._:-]{{1,{MAX_ID_LENGTH}}}")
_URI_CHARACTERS = re.compile(r"[!-~]*")
_HEADER_VALUE = re.compile(r"[\t -~\x80-\xff]*")
_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")
_TARGET_INTERNAL_SEGMENT = "-"
_FORWARDED_HEADERS = ("CONTENT_TYPE", "HTTP_ACCEPT", "HTTP_ACCEPT_LANGUAGE", "HTTP_AUTHORIZATION")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request; `deadline_s` is a time on the monotonic clock.

    `is_hop` is set if another entry VM relayed the request. `client` is then the address that the
    other VM saw, and otherwise the address of the connection's peer.
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
    body: CheckedBody
    is_retry: bool = False
    is_hop: bool = False
    client: str = ""
    cancellation: Cancellation = field(default_factory=Cancellation)


def read_request(environ: Environ, limits: Limits, nodes_key: str) -> CallerRequest:
    """Return the request of a WSGI environment, or raise Refusal."""
    match = _SERVICE_PATH.fullmatch(environ["REQUEST_URI"].partition("?")[0])
    if match is None:
        raise _not_run_refusal(RefusalReason.UNKNOWN_PATH, "paths are /lookup and /s/SERVICE/PATH")
    if environ["SERVER_PROTOCOL"] == "HTTP/1.0":
        detail = "HTTP/1.0 cannot tell a short answer from a whole one"
        raise _not_run_refusal(RefusalReason.HTTP_VERSION, detail)
    method = environ["REQUEST_METHOD"]
    kind = kind_of(method)
    if kind is None:
        raise _not_run_refusal(RefusalReason.BAD_REQUEST, f"method {method} is not forwarded")
    key = _checked_identifier(environ, "HTTP_IDEMPOTENCY_KEY")
    if kind is RequestKind.ORDER and key is None:
        detail = "a POST needs the header Idempotency-Key"
        raise _not_run_refusal(RefusalReason.IDEMPOTENCY_KEY_REQUIRED, detail)
    deadline_ms = _deadline_ms(environ, limits.default_deadline_ms)
    length = _content_length(environ, kind, limits.max_body_bytes)
    request_id = request_id_of(environ)
    hop_client = client_of_hop(environ, nodes_key, request_id)
    return CallerRequest(
        request_id=request_id,
        service=match[1],
        kind=kind,
        method=method,
        path=_target_path(match[2] or "/", environ["QUERY_STRING"]),
        headers=_forwarded_headers(environ, key),
        idempotency_key=key,
        deadline_s=time.monotonic() + deadline_ms / 1000,
        length=length,
        body=CheckedBody(environ["wsgi.input"], length),
        is_retry=environ.get("HTTP_X_ATTEMPT", "1") != "1",
        is_hop=hop_client is not None,
        client=hop_client or environ["REMOTE_ADDR"],
    )


def request_id_of(environ: Environ) -> str:
    """Return the caller's request id, or a new one if it is missing or malformed."""
    given = environ.get("HTTP_X_REQUEST_ID", "")
    return given if _IDENTIFIER.fullmatch(given) else uuid.uuid4().hex


def _target_path(path: str, query: str) -> str:
    """Return the path and query for the target, unchanged, or raise Refusal."""
    segments = [segment for segment in unquote(path).split("/") if segment]
    if segments[:1] == [_TARGET_INTERNAL_SEGMENT]:
        raise _not_run_refusal(
            RefusalReason.UNKNOWN_PATH, "paths under /-/ belong to the target itself"
        )
    if "." in segments or ".." in segments:
        raise _not_run_refusal(RefusalReason.BAD_REQUEST, "path has a dot segment")
    uri = path + (f"?{query}" if query else "")
    if not _URI_CHARACTERS.fullmatch(uri):
        raise _not_run_refusal(RefusalReason.BAD_REQUEST, "path or query is not percent-encoded")
    return uri


def _checked_identifier(environ: Environ, name: str) -> str | None:
    value = environ.get(name)
    if value is None:
        return None
    if not _IDENTIFIER.fullmatch(value):
        raise _not_run_refusal(
            RefusalReason.BAD_REQUEST,
            f"{name} is not 1 to {MAX_ID_LENGTH} of A-Za-z0-9._:-",
        )
    return str(value)


def _deadline_ms(environ: Environ, default_ms: int) -> int:
    text = environ.get("HTTP_X_DEADLINE_MS")
    if text is None:
        return default_ms
    if not _WHOLE_NUMBER.fullmatch(text) or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise _not_run_refusal(
            RefusalReason.BAD_REQUEST, f"X-Deadline-Ms is not within 1 to {MAX_DEADLINE_MS}"
        )
    return int(text)


def _content_length(environ: Environ, kind: RequestKind, max_bytes: int) -> int:
    if "HTTP_TRANSFER_ENCODING" in environ:
        raise _not_run_refusal(RefusalReason.LENGTH_REQUIRED, "a body needs Content-Length")
    text = environ.get("CONTENT_LENGTH")
    if text is None and kind is RequestKind.UPLOAD:
        raise _not_run_refusal(RefusalReason.LENGTH_REQUIRED, "a PUT needs Content-Length")
    if text is None:
        return 0
    if not _WHOLE_NUMBER.fullmatch(text):
        raise _not_run_refusal(RefusalReason.BAD_REQUEST, "Content-Length is not a whole number")
    length = int(text)
    if length > max_bytes:
        raise _not_run_refusal(
            RefusalReason.BODY_TOO_LARGE, f"a body has at most {max_bytes} bytes"
        )
    if length and kind is RequestKind.IDEMPOTENT:
        raise _not_run_refusal(RefusalReason.BAD_REQUEST, "a GET or HEAD has no body")
    return length


def _forwarded_headers(environ: Environ, key: str | None) -> tuple[tuple[str, str], ...]:
    headers = [
        (name.removeprefix("HTTP_").replace("_", "-").title(), environ[name])
        for name in _FORWARDED_HEADERS
        if environ.get(name)
    ]
    for name, value in headers:
        if not _HEADER_VALUE.fullmatch(value):
            raise _not_run_refusal(RefusalReason.BAD_REQUEST, f"{name} has a control character")
    if key is not None:
        headers.append(("Idempotency-Key", key))
    return tuple(headers)


def _not_run_refusal(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, Ran.NOT_RUN, detail)
