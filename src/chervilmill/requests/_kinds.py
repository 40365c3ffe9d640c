"""Classify requests by what may be done with them."""

from enum import Enum


class RequestKind(Enum):
    """Say whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ORDER = "order"
    UPLOAD = "upload"


_KIND_BY_METHOD = {
    "GET": RequestKind.IDEMPOTENT,
    "HEAD": RequestKind.IDEMPOTENT,
    "POST": RequestKind.ORDER,
    "PUT": RequestKind.UPLOAD,
}


def kind_of(method: str) -> RequestKind | None:
    """Return the kind of requests with an HTTP method, or None if it is not forwarded."""
    return _KIND_BY_METHOD.get(method)
