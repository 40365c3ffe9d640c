"""Encode and decode the datagrams in which entry VMs tell each other the limits of targets."""

from collections.abc import Iterator

import cbor2

from chervilmill.overload import LimitReport, is_limit
from chervilmill.peers._datagrams import reading, rows_of
from chervilmill.requests import Lifetime

REPORTS_PER_DATAGRAM = 16  # with the longest names, fits one packet
_KIND = "limits"  # digests begin with a number
_AGE_UNIT_S = 0.1


def encode_limits(reports: tuple[LimitReport, ...]) -> Iterator[bytes]:
    """Yield the datagrams that carry the reports."""
    for start in range(0, len(reports), REPORTS_PER_DATAGRAM):
        rows = [_encode_report(report) for report in reports[start : start + REPORTS_PER_DATAGRAM]]
        yield cbor2.dumps([_KIND, rows])


def decode_limits(data: bytes, peer: str) -> tuple[LimitReport, ...] | None:
    """Return the reports in a datagram, or None if the datagram is of another kind.

    Raise MalformedDigestError if the reports cannot be read.
    """
    with reading("read limits", peer):
        rows = rows_of(data, _KIND)
        return None if rows is None else tuple(_decode_report(*row[:4]) for row in rows)


def _encode_report(report: LimitReport) -> list[object]:
    age_units = round(report.age_s / _AGE_UNIT_S)
    return [report.lifetime.target, report.lifetime.incarnation, report.per_s, age_units]


def _decode_report(
    target: str, incarnation: int, per_s: float | None, age_units: int
) -> LimitReport:
    if int(age_units) < 0:
        raise ValueError("negative age of a limit")
    if per_s is not None and not is_limit(per_s):
        raise ValueError(f"invalid limit {per_s!r}")
    lifetime = Lifetime(str(target), int(incarnation))
    return LimitReport(lifetime, per_s, int(age_units) * _AGE_UNIT_S)
