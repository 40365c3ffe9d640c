"""Detect requests that crash their targets and keep them away from further targets.

A run that is merely late stays with this VM until its target shows a sign of a crash. An entry VM
reports the losses that it sees to the others. A request that may crash its targets is
passed on by each VM that learns of it, and reported again from time to time, so that VMs that start
later or were cut off learn of it too.
"""

from collections.abc import Callable, Iterable

from chervilmill.aio import RequestHead, header_value
from chervilmill.entry._report_budget import (
    MERGED_BURST,
    MERGED_PER_S,
    MERGED_RESERVE,
    SENT_BURST,
    SENT_PER_S,
    SENT_TO_NEWCOMERS_BURST,
    SENT_TO_NEWCOMERS_PER_S,
    ReportBudget,
)
from chervilmill.logs import log_problem
from chervilmill.peers import TableCursor, UpdateQueue
from chervilmill.requests import (
    QUARANTINE_CRASHES,
    CrashReport,
    Lifetime,
    LimitedToTarget,
    Quarantine,
    Standing,
    UnconfirmedRun,
    UnconfirmedRuns,
    Verdict,
    request_fingerprint,
)

MAX_QUARANTINES_PER_ROUND = 8
MAX_SUSPICIONS_PER_ROUND = 12
MAX_LOSSES_PER_ROUND = 8
REPEATED_PER_ROUND = 1
RELEASE_SPREAD_S = 2.0  # far longer than a report takes to reach all entry VMs
MAX_REPORTS_FOR_NEWCOMER = 64
RESERVED_FOR_ANSWERS = 1  # in each round, so that suspects do not delay what clears others


class CrashTracker:
    """Tracks the lost requests known to this VM and queues the reports for the others.

    `fleet_size` is the number of live entry VMs, which decides how often a report is passed on.
    `on_urgent_report` is called when a report is queued that should not wait for the next round:
    until the others know of a crash, each of them may lose a further target, and until they know of
    an answer, they refuse harmless requests.

    `release_position` is a number from 0 to 1 that differs between entry VMs and decides which of
    them is the first to try a request whose quarantine has ended.
    """

    def __init__(self, release_position: float = 0.0) -> None:
        self.fleet_size = 1
        self.on_urgent_report: Callable[[], None] = lambda: None
        self._quarantine = Quarantine(RELEASE_SPREAD_S * release_position)
        # Each in a queue of its own, so that a flood of suspects delays no quarantine.
        self._queues: dict[Standing, UpdateQueue[bytes]] = {
            Standing.QUARANTINED: UpdateQueue(MAX_QUARANTINES_PER_ROUND),
            Standing.SUSPECTED: UpdateQueue(MAX_SUSPICIONS_PER_ROUND),
            Standing.CLEAR: UpdateQueue(MAX_LOSSES_PER_ROUND),
        }
        self._repeated: TableCursor[bytes] = TableCursor()
        self._domains: dict[str, str] = {}
        self._unconfirmed = UnconfirmedRuns()
        self._sending = ReportBudget(SENT_PER_S, SENT_BURST)
        self._sending_to_newcomers = ReportBudget(SENT_TO_NEWCOMERS_PER_S, SENT_TO_NEWCOMERS_BURST)
        self._merging = ReportBudget(MERGED_PER_S, MERGED_BURST)

    def set_targets(self, domains: dict[str, str]) -> None:
        """Set the failure domain of each target, by name."""
        self._domains = domains
        self._quarantine.set_targets(domains)

    def verdict(
        self, fingerprint: bytes, now_s: float, is_usable: Callable[[str], bool]
    ) -> Verdict:
        """Decide whether a request may run, and whether at one target only."""
        return self._quarantine.verdict(fingerprint, now_s, is_usable)

    def record_answer(self, fingerprint: bytes, target: str, sent_s: float, now_s: float) -> None:
        """Record that a target answered a request that was sent to it at a time.

        This clears the request and its content as suspects, also on the other entry VMs.
        """
        self._unconfirmed.remove(fingerprint, target, sent_s)
        cleared = self._quarantine.record_end(
            fingerprint, target, is_answered=True, now_s=now_s, sent_s=sent_s
        )
        for key in cleared:
            self._queue_cleared(key)

    def record_sent(self, fingerprint: bytes, lifetime: Lifetime, now_s: float) -> None:
        """Record that a request is sent to a target."""
        for key in self._quarantine.record_trial(fingerprint, lifetime, now_s):
            self._queue_report(key, now_s, lifetime.target)

    def record_inconclusive_end(self, fingerprint: bytes, target: str, sent_s: float) -> None:
        """Record that a target neither completed a request, sent at a time, nor lost it.

        It refused the request or answered with a failure, which clears the request of nothing.
        """
        self._unconfirmed.remove(fingerprint, target, sent_s)
        self._quarantine.withdraw_loss(fingerprint, target, sent_s)

    def record_unanswered(
        self, fingerprint: bytes, lifetime: Lifetime, sent_s: float, now_s: float
    ) -> None:
        """Record that a run has no answer, which may be slow work.

        It counts as lost once its target shows a sign of a crash.
        """
        if self._unconfirmed.add(UnconfirmedRun(fingerprint, lifetime, sent_s, now_s)):
            self.record_loss(fingerprint, lifetime, sent_s, now_s)

    def record_loss(
        self, fingerprint: bytes, lifetime: Lifetime, sent_s: float, now_s: float
    ) -> None:
        """Record that the connection of a run broke, or that its target has crashed since."""
        for key in self._quarantine.record_loss(fingerprint, lifetime, sent_s, now_s):
            self._queue_report(key, now_s, lifetime.target)

    def record_lifetime_change(self, target: str, now_s: float) -> None:
        """Record that a target is gone or has started; only one known before can have crashed."""
        if target in self._domains:
            self.record_crash(target, now_s)

    def record_crash(self, target: str, now_s: float) -> None:
        """Record that a target is down; runs there without an answer are lost."""
        for run in self._unconfirmed.take_lost(target, now_s):
            self._quarantine.record_loss(run.fingerprint, run.lifetime, run.sent_s, run.known_s)
        for fingerprint in self._quarantine.record_crash(target, None, now_s):
            self._queue_report(fingerprint, now_s, target)

    @property
    def has_new_reports(self) -> bool:
        """Return whether reports wait that the other VMs may not know yet."""
        return any(self._queues.values())

    def next_reports(self, now_s: float) -> tuple[CrashReport, ...]:
        """Return the reports to send in this round, the most important first, within the bound."""
        budget = self._sending.available(now_s)
        chosen: dict[bytes, None] = {}
        for standing, queue in self._queues.items():
            reserved = RESERVED_FOR_ANSWERS if standing is Standing.SUSPECTED else 0
            has_answers = bool(self._queues[Standing.CLEAR])
            room = budget - len(chosen) - (reserved if has_answers else 0)
            chosen.update(dict.fromkeys(queue.next_updates(max(0, room))))
        if len(chosen) < budget:
            for fingerprint in self._repeated.next_slice(
                self._quarantine.limited, REPEATED_PER_ROUND
            ):
                if self._quarantine.judgement(fingerprint, now_s).standing > Standing.CLEAR:
                    chosen[fingerprint] = None
        reports = self._reports(chosen, now_s)
        self._sending.spend(len(reports))
        return reports

    def reports_for_newcomer(self, now_s: float) -> tuple[CrashReport, ...]:
        """Return the reports on all suspected and quarantined requests, up to a limit."""
        limited = self._quarantine.limited
        count = min(MAX_REPORTS_FOR_NEWCOMER, self._sending_to_newcomers.available(now_s))
        worst_first = sorted(limited, key=lambda fingerprint: -limited[fingerprint])
        reports = self._reports(worst_first[:count], now_s)
        self._sending_to_newcomers.spend(len(reports))
        return reports

    def receive_reports(self, reports: tuple[CrashReport, ...], now_s: float) -> None:
        """Merge the reports of another entry VM; pass on what is new here and limits a request.

        A report that says nothing new costs little and is not charged. Beyond the bound, reports
        are dropped, those with the fewest crashes first; the reports of limited requests are
        repeated.
        """
        new = []
        for report in reports:
            if self._quarantine.knows(report, now_s):
                self._count_down(report.fingerprint)
            else:
                new.append(report)
        available = self._merging.available(now_s)
        for report in sorted(new, key=_count_crashes, reverse=True):
            reserve = MERGED_RESERVE if _count_crashes(report) < QUARANTINE_CRASHES else 0
            if available > reserve:
                available -= 1
                self._merging.spend(1)
                self._merge(report, now_s)

    def _merge(self, report: CrashReport, now_s: float) -> None:
        if not self._quarantine.receive_report(report, now_s):
            self._count_down(report.fingerprint)
            return
        was_limited = report.fingerprint in self._quarantine.limited
        standing = self._log_standing(report.fingerprint, now_s, "peer")
        if standing > Standing.CLEAR or self._quarantine.has_crash(report.fingerprint):
            self._queue_urgent(report.fingerprint, standing)
        elif was_limited:
            self._queue_cleared(report.fingerprint)

    def _count_down(self, fingerprint: bytes) -> None:
        """Send a report that arrives again for one round less."""
        for queue in self._queues.values():
            queue.decrement(fingerprint)

    def _reports(self, fingerprints: Iterable[bytes], now_s: float) -> tuple[CrashReport, ...]:
        found = [self._quarantine.report(fingerprint, now_s) for fingerprint in fingerprints]
        return tuple(report for report in found if report is not None)

    def _queue_report(self, fingerprint: bytes, now_s: float, target: str) -> None:
        """Queue the report on a request; a single loss without a crash is told to a few VMs only.

        A crash is told to all, also where it does not limit a content yet: the crash that another
        caller of the content causes may show on another VM.
        """
        standing = self._log_standing(fingerprint, now_s, target)
        if standing > Standing.CLEAR or self._quarantine.has_crash(fingerprint):
            self._queue_urgent(fingerprint, standing)
        else:
            self._queues[standing].add(fingerprint, 1)

    def _queue_cleared(self, fingerprint: bytes) -> None:
        self._queues[Standing.CLEAR].add(fingerprint, self.fleet_size)
        self.on_urgent_report()

    def _queue_urgent(self, fingerprint: bytes, standing: Standing) -> None:
        queue = self._queues[max(standing, Standing.SUSPECTED)]
        queue.add(fingerprint, self.fleet_size)
        self.on_urgent_report()

    def _log_standing(self, fingerprint: bytes, now_s: float, peer: str) -> Standing:
        """Log the standing of a request if it allows less than before, and return it."""
        known = self._quarantine.limited.get(fingerprint, Standing.CLEAR)
        judgement = self._quarantine.judgement(fingerprint, now_s)
        if judgement.standing > known:
            log_problem(
                f"request {judgement.standing.name.lower()}",
                step="crash",
                peer=peer,
                fingerprint=fingerprint.hex(),
                crashes=judgement.crashes,
                losses=judgement.losses,
            )
        return judgement.standing


def fingerprint_request(head: RequestHead, caller: str) -> bytes:
    """Return a fingerprint that a request shares with the caller's resends of it.

    The service is left out, as a route may send the same request to several services, and so are
    the headers that a resend may change. The fingerprint is needed before the body is read, so it
    includes only the body's length.
    """
    host = header_value(head.headers, b"host") or b""
    length = header_value(head.headers, b"content-length") or b""
    scope, method, path = (
        host.decode("latin-1"),
        head.method.decode(),
        head.target.decode("latin-1"),
    )
    return request_fingerprint(scope, method, path, length.decode("latin-1"), caller)


def _count_crashes(report: CrashReport) -> int:
    return sum(loss.is_crash for loss in report.losses)


def only_target(verdict: Verdict) -> str | None:
    """Return the only target at which a request may run, or None if it may run at any."""
    return verdict.target if isinstance(verdict, LimitedToTarget) else None
