"""Detect requests that crash their targets, and limit where they may run."""

import threading
import time
from collections.abc import Callable

from chervilmill.callers._refusal import Refusal
from chervilmill.callers._slots import TargetSlots
from chervilmill.coordination import Vm
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import CrashReport, LimitedToTarget, Quarantine, Quarantined

REACHABILITY_CHECK_PAUSES_S = (0.0, 0.01, 0.04)

ReportListener = Callable[[CrashReport], None]
ReachabilityCheck = Callable[[Vm], bool]


class Suspects:
    """The quarantine of one service; thread-safe.

    A broken exchange counts as a crash only if the target is unreachable right after it.
    """

    def __init__(
        self,
        is_reachable: ReachabilityCheck,
        on_report: ReportListener,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._is_reachable = is_reachable
        self._on_report = on_report
        self._clock = clock
        self._quarantine = Quarantine()
        self._lock = threading.Lock()

    def only_target(self, fingerprint: bytes, slots: TargetSlots) -> str | None:
        """Return the only target where a suspect may run, or None if the request is no suspect.

        Raise Refusal if the request is quarantined.
        """
        with self._lock:
            verdict = self._quarantine.verdict(fingerprint, self._clock(), slots.is_open)
        if isinstance(verdict, Quarantined):
            detail = "earlier runs of this request crashed their targets"
            retry_after_ms = int(1000 * verdict.expires_in_s) + 1
            raise Refusal(RefusalReason.QUARANTINED, Ran.NOT_RUN, detail, retry_after_ms)
        return verdict.target if isinstance(verdict, LimitedToTarget) else None

    def record_start(self, fingerprint: bytes, target: str) -> None:
        """Record that a run begins."""
        with self._lock:
            self._quarantine.record_start(fingerprint, target)

    def record_end(self, fingerprint: bytes, target: str, *, is_answered: bool) -> None:
        """Record that a run has ended."""
        with self._lock:
            self._quarantine.record_end(fingerprint, target, is_answered=is_answered)

    def record_broken_exchange(self, fingerprint: bytes, target: Vm, slots: TargetSlots) -> bool:
        """Record an exchange that broke off and return whether the target crashed."""
        if not self._is_down(target):
            return False
        domains = slots.domains() | {target.name: target.failure_domain}
        with self._lock:
            self._quarantine.set_targets(domains)
            reports = self._quarantine.record_crash(target.name, fingerprint, self._clock())
        for report in reports:
            self._on_report(report)
        return True

    def _is_down(self, target: Vm) -> bool:
        """Return whether a target is unreachable.

        The check is repeated, as the listener may outlive the connections of a crashed target.
        """
        for pause_s in REACHABILITY_CHECK_PAUSES_S:
            time.sleep(pause_s)
            if not self._is_reachable(target):
                return True
        return False

    def receive_report(self, report: CrashReport, slots: TargetSlots) -> None:
        """Apply the crash report of another entry VM."""
        with self._lock:
            self._quarantine.set_targets(slots.domains())
            self._quarantine.receive_report(report, self._clock())
