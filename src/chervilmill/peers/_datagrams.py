"""Read datagrams of any version.

Versions only add fields, at the end of a message or of a row in it. A reader takes the fields that
it knows and ignores those that follow.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import cbor2

from chervilmill.documents import MALFORMED_ERRORS
from chervilmill.errors import ChervilmillError

_MALFORMED = (*MALFORMED_ERRORS, cbor2.CBORDecodeError)


class MalformedDigestError(ChervilmillError):
    """Raised for a datagram that cannot be read."""


@contextmanager
def reading(step: str, peer: str) -> Iterator[None]:
    """Raise MalformedDigestError in place of the errors that a malformed datagram causes."""
    try:
        yield
    except _MALFORMED as exc:
        raise MalformedDigestError(repr(exc), step=step, peer=peer) from exc


def rows_of(data: bytes, kind: str) -> list[list[Any]] | None:
    """Return the rows of a datagram of reports, or None if the datagram is of another kind.

    Call it while `reading`.
    """
    message = cbor2.loads(data)
    if not isinstance(message, list) or message[:1] != [kind]:
        return None
    _, rows = message[:2]
    return list(rows)
