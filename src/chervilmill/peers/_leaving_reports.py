"""Encode and decode the datagrams in which entry VMs tell each other which targets are leaving."""

from collections.abc import Iterator

import cbor2

from chervilmill.peers._digest import MalformedDigestError
from chervilmill.requests import Lifetime

REPORTS_PER_DATAGRAM = 24  # with the longest names, fits one packet
_KIND = "leaving targets"  # digests begin with a number


def encode_leaving(reports: tuple[Lifetime, ...]) -> Iterator[bytes]:
    """Yield the datagrams that carry the reports."""
    for start in range(0, len(reports), REPORTS_PER_DATAGRAM):
        chosen = reports[start : start + REPORTS_PER_DATAGRAM]
        rows = [[lifetime.target, lifetime.incarnation] for lifetime in chosen]
        yield cbor2.dumps([_KIND, rows])


def decode_leaving(data: bytes, peer: str) -> tuple[Lifetime, ...] | None:
    """Return the reports in a datagram, or None if the datagram is of another kind.

    Raise MalformedDigestError if the reports cannot be read.
    """
    try:
        message = cbor2.loads(data)
        if not isinstance(message, list) or message[:1] != [_KIND]:
            return None
        _, rows = message
        return tuple(Lifetime(str(target), int(incarnation)) for target, incarnation in rows)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise MalformedDigestError(repr(exc), step="read leaving", peer=peer) from exc
