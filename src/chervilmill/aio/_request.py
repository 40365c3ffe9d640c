"""Define request heads, the errors of reading requests and the limits of a server."""

import re
from dataclasses import dataclass, field

from chervilmill.aio._headers import HeaderItems, header_value
from chervilmill.errors import ChervilmillError

_QUOTED_BYTES = re.compile(r":? (?:bytearray\()?b['\"].*", re.DOTALL)


def describe_malformed(exc: Exception) -> str:
    """Return the message of an h11 error without the bytes that it quotes.

    The quoted line or value may contain credentials of the caller.
    """
    return _QUOTED_BYTES.sub("", str(exc))


class CallerGoneError(ChervilmillError):
    """Raised when the caller has closed its connection before the answer was complete."""


class BadRequestError(ChervilmillError):
    """Raised for a malformed request; `status` is the HTTP status to answer with."""

    def __init__(self, message: str, *, step: str, peer: str, status: int) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The method, the target and the headers of a request.

    The `repr` leaves the headers out, as they may contain credentials.
    """

    method: bytes
    target: bytes
    headers: HeaderItems = field(repr=False)

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the headers."""
        length = header_value(self.headers, b"content-length")
        is_chunked = header_value(self.headers, b"transfer-encoding") is not None
        return is_chunked or (length is not None and length != b"0")


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the headers of a request and on the time that a caller may take.

    `header_timeout_s` runs from the first byte of a request to the end of its headers. `idle_s` is
    the time a connection may stay without a request; a handler may announce it as `Keep-Alive`.
    """

    header_bytes: int
    header_timeout_s: float
    idle_s: float
