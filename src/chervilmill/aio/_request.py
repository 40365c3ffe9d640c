"""Describe the requests that a server reads, and why one is not answered."""

from dataclasses import dataclass

from chervilmill.aio._headers import Headers, header_value
from chervilmill.errors import ChervilmillError


class CallerGoneError(ChervilmillError):
    """Report that the caller left before it had its answer."""


class BadRequestError(ChervilmillError):
    """Report a request that cannot be read; `status` is the answer to it."""

    def __init__(self, message: str, *, step: str, peer: str, status: int) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the first line and the headers of a request."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def has_body(self) -> bool:
        """Return whether a body follows."""
        length = header_value(self.headers, b"content-length")
        is_chunked = header_value(self.headers, b"transfer-encoding") is not None
        return is_chunked or (length is not None and length != b"0")


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bound how long a caller may take; `idle_s` is also told to the caller."""

    header_bytes: int
    header_timeout_s: float
    idle_s: float
