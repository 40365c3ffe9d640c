"""Decide where the body of an answer ends (RFC 9112, section 6.3).

Chunks take precedence over a length that is stated beside them. An answer whose chunks hold another
number of bytes is an error, since nothing tells which of the two is wrong.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[bytes, bytes]

# Answers that have no body, whatever length they state (RFC 9110, section 6.4.1).
NO_BODY_STATUSES = frozenset({204, 304})
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_LENGTH = re.compile(rb"[0-9]{1,19}")


class FramingError(ValueError):
    """Raised for an answer whose end is ambiguous or invalid."""


@dataclass(frozen=True, slots=True)
class Framing:
    """How the body of an answer ends; `length` is the stated number of bytes, if there is one."""

    has_body: bool
    is_chunked: bool
    length: int | None

    @property
    def is_ended_by_close(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        return self.has_body and not self.is_chunked and self.length is None

    @property
    def is_stated_twice(self) -> bool:
        """Return whether a length is stated beside chunks, which no sender should do."""
        return self.is_chunked and self.length is not None

    def forwarded_headers(self, headers: Iterable[Header]) -> list[Header]:
        """Return the headers without those that frame the body, but for one length without chunks.

        A connection to the next peer has a framing of its own.
        """
        all_headers = list(headers)
        others = [item for item in all_headers if _name(item) not in _FRAMING_HEADERS]
        lengths = [item for item in all_headers if _name(item) == b"content-length"]
        return others if self.is_chunked else others + lengths[:1]


def read_framing(method: bytes, status: int, headers: Iterable[Header]) -> Framing:
    """Return how the body of the answer to a request with a method ends, or raise FramingError."""
    lengths, codings = set[bytes](), list[bytes]()
    for item in headers:
        if _name(item) == b"content-length":
            lengths.add(item[1].strip(b" \t"))
        elif _name(item) == b"transfer-encoding":
            codings.append(item[1].strip(b" \t").lower())
    if codings and codings != [b"chunked"]:
        raise FramingError("transfer codings other than chunked")
    if len(lengths) > 1 or not all(map(_LENGTH.fullmatch, lengths)):
        raise FramingError("invalid Content-Length")
    has_body = method != b"HEAD" and status not in NO_BODY_STATUSES
    return Framing(has_body, bool(codings), int(lengths.pop()) if lengths else None)


def _name(header: Header) -> bytes:
    """Return the name of a header; lenient parsers leave white space before the colon in it."""
    return header[0].strip(b" \t").lower()


class BodyCount:
    """Compares the bytes in the chunks of a body with the length stated beside them."""

    __slots__ = ("_expected", "_received")

    def __init__(self, framing: Framing) -> None:
        self._expected = framing.length if framing.has_body and framing.is_chunked else None
        self._received = 0

    def add(self, size: int) -> None:
        """Count bytes that have arrived, or raise FramingError if there are too many."""
        self._received += size
        if self._expected is not None and self._received > self._expected:
            self._raise("more than")

    def end(self) -> None:
        """Raise FramingError if the body has ended with too few bytes."""
        if self._expected is not None and self._received < self._expected:
            self._raise(f"{self._received} instead of")

    def _raise(self, found: str) -> None:
        raise FramingError(f"the chunks hold {found} the {self._expected} bytes stated beside them")
