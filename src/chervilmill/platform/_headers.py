"""Translate the platform's headers into typed facts and back.

Header names arrive in lower case from the HTTP library.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Headers = Sequence[tuple[bytes, bytes]]

_REQUEST_ID = b"x-chervilmill-request-id"
_AFFINITY = b"x-chervilmill-request-affinity"
_DEADLINE = b"x-chervilmill-deadline-milliseconds"
_SEAL = b"x-chervilmill-response-seal"
_EXPECTED_INSTANCE = b"x-chervilmill-expected-instance"
_LOAD = b"x-chervilmill-server-load"  # running, waiting, slots; not a server's CPU load
_NOT_RUN = b"x-chervilmill-request-not-run"
_RETRY_AFTER = b"retry-after"

TARGET_HEADERS = frozenset({_DEADLINE, _EXPECTED_INSTANCE})
"""Headers that this system sets itself towards targets, whatever a caller sent."""


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Hold what a caller's headers say; `patience_s` is how long the caller will wait."""

    request_id: str
    affinity: str
    patience_s: float | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what a target says of its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Hold what a target's headers say.

    `is_sealed` says that the target vouches for the answer. `proves_not_run` is True only where the
    target states that it did not run the request.
    """

    request_id: str
    is_sealed: bool
    proves_not_run: bool
    is_encoded: bool
    load: LoadReport | None


def read_request(headers: Headers) -> RequestFacts:
    """Return the facts of a caller's request."""
    found = dict(headers)
    return RequestFacts(
        request_id=_text(found.get(_REQUEST_ID)),
        affinity=_text(found.get(_AFFINITY)),
        patience_s=_milliseconds(found.get(_DEADLINE)),
    )


def read_answer(status: int, headers: Headers) -> AnswerFacts:
    """Return the facts of a target's answer."""
    found = dict(headers)
    return AnswerFacts(
        request_id=_text(found.get(_REQUEST_ID)),
        is_sealed=_SEAL in found,
        proves_not_run=_NOT_RUN in found or status == 421,
        is_encoded=found.get(b"content-encoding", b"identity").lower() != b"identity",
        load=_load(found.get(_LOAD)),
    )


def target_headers(instance: str, patience_s: float) -> list[tuple[bytes, bytes]]:
    """Return the headers that address a request to one lifetime of a target and bound its work."""
    left_ms = max(1, int(patience_s * 1000))
    return [(_EXPECTED_INSTANCE, instance.encode()), (_DEADLINE, str(left_ms).encode())]


def refusal_headers(retry_after_s: float | None) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell a caller when to come back."""
    if retry_after_s is None:
        return []
    return [(_RETRY_AFTER, f"{retry_after_s:.2f}".encode())]


def _text(value: bytes | None) -> str:
    return value.decode("latin-1") if value else ""


def _milliseconds(value: bytes | None) -> float | None:
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1000


def _load(value: bytes | None) -> LoadReport | None:
    numbers = _whole_numbers((value or b"").split(b","))
    if len(numbers) != 3 or numbers[2] < 1:
        return None
    return LoadReport(*numbers)


def _whole_numbers(parts: Iterable[bytes]) -> list[int]:
    return [int(part) for part in parts if part.strip().isdigit()]
