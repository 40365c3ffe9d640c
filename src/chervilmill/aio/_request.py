"""Define request heads, the errors of reading requests and the limits of a server."""

from dataclasses import dataclass

from chervilmill.aio._headers import Headers, header_value
from chervilmill.errors import ChervilmillError


class CallerGoneError(ChervilmillError):
    """Raised when the caller has closed its connection before the answer was complete."""


class BadRequestError(ChervilmillError):
    """Raised for a malformed request; `status` is the HTTP status to answer with."""

    def __init__(self, message: str, *, step: str, peer: str, status: int) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The method, the target and the headers of a request."""

    method: bytes
    target: bytes
    headers: Headers

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
