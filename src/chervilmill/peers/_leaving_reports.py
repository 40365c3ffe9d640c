"""Encode and decode the datagrams in which entry VMs tell each other which targets are leaving."""

from collections.abc import Iterator

import cbor2

from chervilmill.peers._datagrams import reading, rows_of
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
    with reading("read leaving", peer):
        rows = rows_of(data, _KIND)
        return None if rows is None else tuple(_decode_lifetime(*row[:2]) for row in rows)


def _decode_lifetime(target: str, incarnation: int) -> Lifetime:
    return Lifetime(str(target), int(incarnation))
