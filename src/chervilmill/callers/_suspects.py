"""Detect requests that crash their targets, and limit where they may run."""

import threading
import time
from collections.abc import Callable

from chervilmill.callers._refusal import Refusal
from chervilmill.callers._slots import TargetSlots
from chervilmill.coordination import Vm
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import (
    CrashReport,
    Lifetime,
    LimitedToTarget,
    Quarantine,
    Quarantined,
    Standing,
    UnconfirmedRun,
    UnconfirmedRuns,
)

REACHABILITY_CHECK_PAUSES_S = (0.0, 0.01, 0.04)
NO_TARGET_RETRY_AFTER_MS = 1000

ReportListener = Callable[[CrashReport], None]
ReachabilityCheck = Callable[[Vm], bool]


class Suspects:
    """The quarantine of one service; thread-safe.

    A run whose connection breaks counts as a loss. It counts as a crash once the target is
    unreachable. A run that is merely late counts once its target shows a sign of a crash.
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
        self._unconfirmed = UnconfirmedRuns()
        self._lock = threading.Lock()

    def only_target(self, fingerprint: bytes, slots: TargetSlots) -> str | None:
        """Return the only target where a suspect may run, or None if the request is no suspect.

        Raise Refusal if the request is quarantined or no target accepts it.
        """
        now_s = self._clock()
        with self._lock:
            if not self._quarantine.has_losses(fingerprint):
                return None
        domains = slots.domains()
        with self._lock:
            self._quarantine.set_targets(domains)
            verdict = self._quarantine.verdict(fingerprint, now_s, slots.is_open)
        if isinstance(verdict, Quarantined):
            detail = "earlier runs of this request crashed their targets"
            retry_after_ms = int(1000 * verdict.expires_in_s) + 1
            raise Refusal(RefusalReason.QUARANTINED, Ran.NOT_RUN, detail, retry_after_ms)
        if not isinstance(verdict, LimitedToTarget):
            return None
        if not verdict.target:
            detail = "no target is open for a request that may have crashed its target"
            raise Refusal(RefusalReason.TARGETS_BUSY, Ran.NOT_RUN, detail, NO_TARGET_RETRY_AFTER_MS)
        return verdict.target

    def record_start(self, fingerprint: bytes, target: str) -> None:
        """Record that a run begins."""
        now_s = self._clock()
        with self._lock:
            self._quarantine.record_start(fingerprint, target)
            lost = self._quarantine.record_trial(fingerprint, Lifetime(target), now_s)
            reports = self._reports(lost, now_s)
        self._send(reports)

    def record_end(
        self,
        fingerprint: bytes,
        target: str,
        sent_s: float,
        *,
        is_answered: bool,
        is_inconclusive: bool = False,
    ) -> None:
        """Record that a run sent at a time of this clock has ended.

        It is inconclusive if the target neither completed the request nor lost it.
        """
        with self._lock:
            if is_answered or is_inconclusive:
                self._unconfirmed.remove(fingerprint, target, sent_s)
            if is_inconclusive:
                self._quarantine.withdraw_loss(fingerprint, target, sent_s)
            self._quarantine.record_end(
                fingerprint,
                target,
                is_answered=is_answered,
                now_s=self._clock(),
                sent_s=sent_s,
            )

    def record_loss(self, fingerprint: bytes, target: str, sent_s: float) -> None:
        """Record that a run sent at a time of this clock ended without a whole answer."""
        now_s = self._clock()
        with self._lock:
            lost = self._quarantine.record_loss(fingerprint, Lifetime(target), sent_s, now_s)
            reports = self._reports(lost, now_s)
        self._send(reports)

    def record_unanswered(
        self, fingerprint: bytes, target: Vm, slots: TargetSlots, sent_s: float
    ) -> None:
        """Record a run that ended at its deadline, or as its caller left, without a whole answer.

        Whether its target still accepts connections is checked once.
        """
        now_s = self._clock()
        run = UnconfirmedRun(fingerprint, Lifetime(target.name), sent_s, now_s)
        with self._lock:
            is_lost = self._unconfirmed.add(run)
        if is_lost:
            self.record_loss(fingerprint, target.name, sent_s)
        elif not self._is_reachable(target):
            self.record_unreachable(target, slots)

    def record_broken_exchange(
        self, fingerprint: bytes, target: Vm, slots: TargetSlots, sent_s: float
    ) -> bool:
        """Record an exchange that broke off and return whether the target crashed."""
        self.record_loss(fingerprint, target.name, sent_s)
        if not self._is_down(target):
            return False
        self.record_unreachable(target, slots)
        return True

    def record_unreachable(self, target: Vm, slots: TargetSlots) -> None:
        """Record that a target accepts no connections."""
        domains = slots.domains() | {target.name: target.failure_domain}
        now_s = self._clock()
        with self._lock:
            self._quarantine.set_targets(domains)
            for run in self._unconfirmed.take_lost(target.name, now_s):
                self._quarantine.record_loss(run.fingerprint, run.lifetime, run.sent_s, run.known_s)
            lost = self._quarantine.record_crash(target.name, None, now_s)
            reports = self._reports(lost, now_s)
        self._send(reports)

    def receive_report(self, report: CrashReport, slots: TargetSlots) -> None:
        """Apply the crash report of another entry VM."""
        domains = slots.domains()
        with self._lock:
            self._quarantine.set_targets(domains)
            self._quarantine.receive_report(report, self._clock())

    def _is_down(self, target: Vm) -> bool:
        """Return whether a target is unreachable.

        The check is repeated, as the listener may outlive the connections of a crashed target.
        """
        for pause_s in REACHABILITY_CHECK_PAUSES_S:
            time.sleep(pause_s)
            if not self._is_reachable(target):
                return True
        return False

    def _reports(self, fingerprints: list[bytes], now_s: float) -> list[CrashReport]:
        """Return the reports on those requests that are limited or quarantined."""
        limited = [
            fingerprint
            for fingerprint in fingerprints
            if self._quarantine.judgement(fingerprint, now_s).standing > Standing.CLEAR
        ]
        found = [self._quarantine.report(fingerprint, now_s) for fingerprint in limited]
        return [report for report in found if report is not None]

    def _send(self, reports: list[CrashReport]) -> None:
        for report in reports:
            self._on_report(report)
