"""Detect requests that crash their targets and keep them away from further targets.

A broken connection alone is not a crash, as links fail and answers get lost too. It counts as a
crash if the target soon afterwards refuses connections or registers a new lifetime. An entry VM
reports the crashes that it detects to the others in its next digests.
"""

from collections.abc import Callable

from chervilmill.aio import RequestHead, header_value
from chervilmill.logs import log_event, log_problem
from chervilmill.requests import (
    CrashReport,
    LimitedToTarget,
    Quarantine,
    Verdict,
    request_fingerprint,
)

# A lost request becomes a suspect if a crash of its target is seen within this time. A crashed
# target restarts and registers again after some seconds.
CRASH_CONFIRMATION_S = 4.0
REPORT_ROUNDS = 6  # number of digests that repeat each report
MAX_REPORTS_PER_DIGEST = 16  # keeps a digest within one packet


class CrashTracker:
    """Tracks recently lost requests and the requests suspected of crashing their targets."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._lost: dict[str, list[tuple[float, bytes]]] = {}
        self._pending_reports: dict[bytes, tuple[CrashReport, int]] = {}

    def set_targets(self, domains: dict[str, str]) -> None:
        """Set the failure domain of each target, by name."""
        self._quarantine.set_targets(domains)

    def verdict(
        self, fingerprint: bytes, now_s: float, is_usable: Callable[[str], bool]
    ) -> Verdict:
        """Decide whether a request may run, and whether at one target only."""
        return self._quarantine.verdict(fingerprint, now_s, is_usable)

    def record_answer(self, fingerprint: bytes, target: str) -> None:
        """Record that a target answered a request, which clears the request as a suspect."""
        self._quarantine.record_end(fingerprint, target, is_answered=True)

    def record_loss(self, fingerprint: bytes, target: str, now_s: float) -> None:
        """Record that a request was sent to a target and got no answer."""
        recent = [
            loss for loss in self._lost.get(target, []) if now_s - loss[0] < CRASH_CONFIRMATION_S
        ]
        self._lost[target] = [*recent, (now_s, fingerprint)]

    def record_crash(self, target: str, now_s: float) -> None:
        """Record that a target is down or has started a new lifetime.

        The requests recently lost at this target become suspects.
        """
        for lost_s, fingerprint in self._lost.pop(target, []):
            if now_s - lost_s >= CRASH_CONFIRMATION_S:
                log_event(
                    "loss not attributed",
                    step="crash",
                    peer=target,
                    fingerprint=fingerprint.hex(),
                    lost_s_ago=round(now_s - lost_s, 3),
                )
                continue
            for report in self._quarantine.record_crash(target, fingerprint, now_s):
                self._queue_report(report)
                log_problem(
                    "request suspected",
                    step="crash",
                    peer=target,
                    fingerprint=report.fingerprint.hex(),
                    crashes=report.crashes,
                    limited_to=report.limited_to,
                )

    def next_reports(self) -> tuple[CrashReport, ...]:
        """Return the reports to send in the next digest, and count this round for each."""
        batch = list(self._pending_reports.items())[:MAX_REPORTS_PER_DIGEST]
        for fingerprint, (report, rounds) in batch:
            if rounds <= 1:
                del self._pending_reports[fingerprint]
            else:
                self._pending_reports[fingerprint] = (report, rounds - 1)
        return tuple(report for _, (report, _) in batch)

    def receive_reports(self, crashes: tuple[CrashReport, ...], now_s: float) -> None:
        """Record the reports in the digest of another entry VM."""
        for report in crashes:
            if self._quarantine.receive_report(report, now_s):
                log_event(
                    "suspicion received",
                    step="crash",
                    fingerprint=report.fingerprint.hex(),
                    crashes=report.crashes,
                    limited_to=report.limited_to,
                )

    def _queue_report(self, report: CrashReport) -> None:
        self._pending_reports[report.fingerprint] = (report, REPORT_ROUNDS)


def fingerprint_request(head: RequestHead, caller: str, affinity: str, service: str) -> bytes:
    """Return a fingerprint that a request shares with the caller's resends of it.

    The fingerprint is needed before the body is read, so it includes only the body's length.
    """
    length = header_value(head.headers, b"content-length") or b""
    target = head.target.decode("latin-1")
    content = b"\n".join([caller.encode(), affinity.encode(), length])
    return request_fingerprint(service, head.method.decode("latin-1"), target, content)


def only_target(verdict: Verdict) -> str | None:
    """Return the only target at which a request may run, or None if it may run at any."""
    return verdict.target if isinstance(verdict, LimitedToTarget) else None
