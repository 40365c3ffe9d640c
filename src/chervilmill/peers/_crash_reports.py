"""Encode and decode the datagrams in which entry VMs report lost requests to each other."""

from collections.abc import Iterator

import cbor2

from chervilmill.peers._digest import MalformedDigestError
from chervilmill.requests import CrashReport, Lifetime, ReportedLoss

REPORTS_PER_DATAGRAM = 6
MAX_LOSSES_PER_REPORT = 4  # more than any decision needs; with the reports, fits one packet
_KIND = "crash reports"  # digests begin with a number
_AGE_UNIT_S = 0.1
_CRASH_FLAG = 1
_ALONE_FLAG = 2


def encode_reports(reports: tuple[CrashReport, ...]) -> Iterator[bytes]:
    """Yield the datagrams that carry the reports."""
    for start in range(0, len(reports), REPORTS_PER_DATAGRAM):
        rows = [_encode_report(report) for report in reports[start : start + REPORTS_PER_DATAGRAM]]
        yield cbor2.dumps([_KIND, rows])


def decode_reports(data: bytes, peer: str) -> tuple[CrashReport, ...] | None:
    """Return the reports in a datagram, or None if the datagram is of another kind.

    Raise MalformedDigestError if the reports cannot be read.
    """
    try:
        message = cbor2.loads(data)
        if not isinstance(message, list) or message[:1] != [_KIND]:
            return None
        _, rows = message
        return tuple(_decode_report(row) for row in rows)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise MalformedDigestError(repr(exc), step="read reports", peer=peer) from exc


def _encode_report(report: CrashReport) -> list[object]:
    losses = sorted(report.losses, key=lambda loss: (not loss.is_crash, loss.age_s))
    return [
        report.fingerprint,
        report.limited_to,
        [
            [
                loss.lifetime.target,
                loss.lifetime.incarnation,
                round(loss.age_s / _AGE_UNIT_S),
                _CRASH_FLAG * loss.is_crash + _ALONE_FLAG * loss.was_alone,
            ]
            for loss in losses[:MAX_LOSSES_PER_REPORT]
        ],
    ]


def _decode_report(row: list[object]) -> CrashReport:
    fingerprint, limited_to, rows = row
    if not isinstance(fingerprint, bytes) or not isinstance(rows, list):
        raise ValueError("expected a fingerprint and a list of losses")
    return CrashReport(fingerprint, tuple(_decode_loss(*loss) for loss in rows), str(limited_to))


def _decode_loss(target: str, incarnation: int, age_units: int, flags: int) -> ReportedLoss:
    if int(age_units) < 0:
        raise ValueError("negative age of a loss")
    return ReportedLoss(
        Lifetime(str(target), int(incarnation)),
        int(age_units) * _AGE_UNIT_S,
        bool(flags & _CRASH_FLAG),
        bool(flags & _ALONE_FLAG),
    )
