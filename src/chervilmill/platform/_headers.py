"""Translate the platform's headers into typed values and back.

The HTTP library passes header names in lower case.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from chervilmill.aio import HeaderItems
from chervilmill.overload import StatedLimit, StatedPause, parse_limit, parse_pause

_REQUEST_ID_HEADER = b"x-chervilmill-request-id"
_AFFINITY_HEADER = b"x-chervilmill-request-affinity"
_DEADLINE_HEADER = b"x-chervilmill-deadline-milliseconds"
_SEAL_HEADER = b"x-chervilmill-response-seal"
_EXPECTED_INSTANCE_HEADER = b"x-chervilmill-expected-instance"
_LOAD_HEADER = b"x-chervilmill-server-load"  # running, waiting, slots, work; not a CPU load
# The platform's pages name the second of each without the prefix of the others.
_LIMIT_HEADERS = (b"x-chervilmill-server-limit", b"server-limit")
_LEAVING_HEADERS = (b"x-chervilmill-server-leaving", b"server-leaving")
_NOT_RUN_HEADER = b"x-chervilmill-request-not-run"
_RETRY_AFTER_HEADER = b"retry-after"
_KEY_HEADER = b"api-key"
_ORGANISATION_HEADER = b"x-chervilmill-tenant-name"
MAX_DIGITS = 15  # of a number that a float represents exactly
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

TARGET_HEADERS = frozenset({_DEADLINE_HEADER, _EXPECTED_INSTANCE_HEADER})
"""Headers of a request to a target that this system sets, replacing those of the caller."""
ORGANISATION_HEADERS = frozenset({_KEY_HEADER, _ORGANISATION_HEADER})
"""Headers that identify the organisation of a caller, which no caller sends to a target."""


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """The values in the headers of a caller's request.

    `time_left_s` is how long the caller will wait, or None if it does not say. `keys` are the
    values of all headers that carry a key.
    """

    request_id: str
    affinity: str
    time_left_s: float | None
    keys: tuple[bytes, ...] = field(default=(), repr=False)

    @property
    def key(self) -> bytes | None:
        """Return the key, or None if there is none, an empty one or more than one."""
        return self.keys[0] if len(self.keys) == 1 and self.keys[0] else None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The use of a target's slots, as the target reports it.

    `work_percent` is how long work takes there at this moment, in percent of the usual, or None if
    the target does not say.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """The values in the headers of a target's answer.

    `is_sealed` says that the target vouches for the answer. `proves_not_run` is True only if the
    target states that it did not run the request. `limit` is None if the answer names no limit.
    `is_leaving` says that the target takes no new requests. `pause` is the pause that a target
    asked for when it rejected the request, or None.
    """

    request_id: str
    is_sealed: bool
    proves_not_run: bool
    has_content_encoding: bool
    load: LoadReport | None
    limit: StatedLimit | None = None
    is_leaving: bool = False
    pause: StatedPause | None = None


def read_request(headers: HeaderItems) -> RequestHeaders:
    """Return the values in the headers of a caller's request."""
    by_name = dict(headers)
    return RequestHeaders(
        request_id=_decode_text(by_name.get(_REQUEST_ID_HEADER)),
        affinity=_decode_text(by_name.get(_AFFINITY_HEADER)),
        time_left_s=_parse_milliseconds(by_name.get(_DEADLINE_HEADER)),
        keys=tuple(value for name, value in headers if name == _KEY_HEADER),
    )


def read_answer(status: int, headers: HeaderItems) -> AnswerHeaders:
    """Return the values in the headers of a target's answer, with what its status implies."""
    by_name = dict(headers)
    return AnswerHeaders(
        request_id=_decode_text(by_name.get(_REQUEST_ID_HEADER)),
        is_sealed=_SEAL_HEADER in by_name,
        proves_not_run=_NOT_RUN_HEADER in by_name or status == 421,
        has_content_encoding=by_name.get(b"content-encoding", b"identity").lower() != b"identity",
        load=_parse_load(by_name.get(_LOAD_HEADER)),
        limit=_find_limit(by_name),
        is_leaving=any(by_name.get(name, b"").strip() == b"1" for name in _LEAVING_HEADERS),
        pause=_find_pause(status, by_name),
    )


def target_headers(instance: str, time_left_s: float) -> list[tuple[bytes, bytes]]:
    """Return the headers that bind a request to one lifetime of a target and limit its run time."""
    return [(_EXPECTED_INSTANCE_HEADER, instance.encode()), *deadline_headers(time_left_s)]


def deadline_headers(time_left_s: float) -> list[tuple[bytes, bytes]]:
    """Return the headers that limit the time in which a request is answered."""
    remaining_ms = max(1, int(time_left_s * 1000))
    return [(_DEADLINE_HEADER, str(remaining_ms).encode())]


def organisation_headers(name: str | None) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell a target the organisation of a caller, if it is known."""
    return [] if name is None else [(_ORGANISATION_HEADER, name.encode())]


def relayed_key_headers(key: bytes | None) -> list[tuple[bytes, bytes]]:
    """Return the headers that carry a caller's key to a peer, which identifies the caller itself.

    `Connection` makes the key a hop-by-hop header. A peer that was replaced by one of an earlier
    version a moment ago removes it instead of passing it to a target.
    """
    return [] if key is None else [(b"connection", _KEY_HEADER), (_KEY_HEADER, key)]


def proves_not_run_by_status(status: int) -> bool:
    """Return whether a status alone promises callers that their request has not run."""
    return status in _NOT_RUN_STATUSES


def refusal_headers(retry_after_s: float | None) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell a caller when to retry."""
    if retry_after_s is None:
        return []
    return [(_RETRY_AFTER_HEADER, f"{retry_after_s:.2f}".encode())]


def _decode_text(value: bytes | None) -> str:
    return value.decode("latin-1") if value else ""


def _find_limit(by_name: Mapping[bytes, bytes]) -> StatedLimit | None:
    stated = [by_name[name] for name in _LIMIT_HEADERS if name in by_name]
    return parse_limit(_decode_text(stated[0])) if stated else None


def _find_pause(status: int, by_name: Mapping[bytes, bytes]) -> StatedPause | None:
    if status != 503 or _RETRY_AFTER_HEADER not in by_name:
        return None
    return parse_pause(_decode_text(by_name[_RETRY_AFTER_HEADER]))


def _parse_milliseconds(value: bytes | None) -> float | None:
    numbers = _parse_integers([value or b""])
    return numbers[0] / 1000 if numbers else None


def _parse_load(value: bytes | None) -> LoadReport | None:
    parts = (value or b"").split(b",")
    numbers = _parse_integers(parts[:3])
    if len(numbers) != 3 or numbers[2] < 1:
        return None
    work_percent = next(iter(_parse_integers(parts[3:4])), 0)
    return LoadReport(numbers[0], numbers[1], numbers[2], work_percent or None)


def _parse_integers(parts: Iterable[bytes]) -> list[int]:
    stripped = [part.strip() for part in parts]
    return [int(part) for part in stripped if part.isdigit() and len(part) <= MAX_DIGITS]
