"""Encode and decode the datagrams in which entry VMs report lost requests to each other."""

from collections.abc import Iterator

import cbor2

from chervilmill.peers._datagrams import reading, rows_of
from chervilmill.requests import CrashReport, Lifetime, ReportedLoss

REPORTS_PER_DATAGRAM = 6
MAX_LOSSES_PER_REPORT = 4  # more than any decision needs; with the reports, fits one packet
_KIND = "crash reports"  # digests begin with a number
_AGE_UNIT_S = 0.1
_CRASH_FLAG = 1
_ALONE_FLAG = 2
_CALLER_TAG_BYTES = 4


def encode_reports(reports: tuple[CrashReport, ...]) -> Iterator[bytes]:
    """Yield the datagrams that carry the reports."""
    for start in range(0, len(reports), REPORTS_PER_DATAGRAM):
        rows = [_encode_report(report) for report in reports[start : start + REPORTS_PER_DATAGRAM]]
        yield cbor2.dumps([_KIND, rows])


def decode_reports(data: bytes, peer: str) -> tuple[CrashReport, ...] | None:
    """Return the reports in a datagram, or None if the datagram is of another kind.

    Raise MalformedDigestError if the reports cannot be read.
    """
    with reading("read reports", peer):
        rows = rows_of(data, _KIND)
        return None if rows is None else tuple(_decode_report(row) for row in rows)


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
                b"".join(sorted(loss.callers)),
            ]
            for loss in losses[:MAX_LOSSES_PER_REPORT]
        ],
        None if report.answered_age_s is None else round(report.answered_age_s / _AGE_UNIT_S),
    ]


def _decode_report(row: list[object]) -> CrashReport:
    fingerprint, limited_to, rows, answered_units = row[:4]
    if not isinstance(fingerprint, bytes) or not isinstance(rows, list):
        raise ValueError("expected a fingerprint and a list of losses")
    if answered_units is not None and not isinstance(answered_units, int):
        raise ValueError(f"invalid age {answered_units!r} of an answer")
    losses = tuple(_decode_loss(*loss[:5]) for loss in rows)
    answered_age_s = None if answered_units is None else _decode_age_s(answered_units)
    return CrashReport(fingerprint, losses, str(limited_to), answered_age_s)


def _decode_loss(
    target: str, incarnation: int, age_units: int, flags: int, callers: bytes
) -> ReportedLoss:
    if not isinstance(callers, bytes):
        raise ValueError(f"invalid callers {callers!r}")
    tags = range(0, len(callers), _CALLER_TAG_BYTES)
    return ReportedLoss(
        Lifetime(str(target), int(incarnation)),
        _decode_age_s(age_units),
        bool(flags & _CRASH_FLAG),
        bool(flags & _ALONE_FLAG),
        frozenset(callers[start : start + _CALLER_TAG_BYTES] for start in tags),
    )


def _decode_age_s(units: int) -> float:
    if int(units) < 0:
        raise ValueError("negative age")
    return int(units) * _AGE_UNIT_S
