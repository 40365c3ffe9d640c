"""Classify requests by whether and how they may be sent again."""

from enum import Enum


class RequestKind(Enum):
    """Kinds of requests, which differ in whether a request may run more than once."""

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
    """Return the kind of a request by its HTTP method, or None if the method is not forwarded."""
    return _KIND_BY_METHOD.get(method)
