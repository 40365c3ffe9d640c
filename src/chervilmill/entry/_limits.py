"""Learn the limits that targets name, from their answers and from the other entry VMs.

Only a few entry VMs send to a target with a limit, so most of them learn only from the others that
it has changed or ended. Each VM that learns of a change passes it on, and one limit a round is
repeated, for VMs that missed it.
"""

from collections.abc import Iterable

from chervilmill.logs import log_event, log_problem
from chervilmill.overload import LimitReport, StatedLimit, TargetLimits
from chervilmill.peers import TableCursor, UpdateQueue
from chervilmill.requests import Lifetime

MAX_LOGGED_TEXT_CHARS = 40
MAX_CHANGES_PER_ROUND = 24
REPEATED_PER_ROUND = 1
MAX_REPORTS_FOR_NEWCOMER = 96


class LimitTracker:
    """Records what targets say of their limits, and queues the reports for the other entry VMs.

    `fleet_size` is the number of live entry VMs, which decides how often a change is passed on.
    """

    def __init__(self, limits: TargetLimits) -> None:
        self.fleet_size = 1
        self._limits = limits
        self._changes: UpdateQueue[Lifetime] = UpdateQueue(MAX_CHANGES_PER_ROUND)
        self._repeated: TableCursor[Lifetime] = TableCursor()

    def record_answer(self, lifetime: Lifetime, stated: StatedLimit | None, now_s: float) -> None:
        """Record the limit in an answer of a target, or that the answer names none.

        A malformed limit is logged and changes nothing.
        """
        if stated is not None and stated.per_s is None:
            text = stated.text[:MAX_LOGGED_TEXT_CHARS]
            log_problem("limit refused", step="limit", peer=lifetime.target, text=text)
            return
        per_s = stated.per_s if stated is not None else None
        if self._limits.record(lifetime, per_s, now_s):
            self._pass_on(lifetime, now_s, "answer")

    @property
    def has_new_reports(self) -> bool:
        """Return whether changes wait that the other VMs may not know yet."""
        return bool(self._changes)

    def next_reports(self, now_s: float) -> tuple[LimitReport, ...]:
        """Return the reports to send in this round, and count this round for each."""
        chosen = dict.fromkeys(self._changes.next_updates())
        known = self._limits.lifetimes(now_s)
        chosen.update(dict.fromkeys(self._repeated.next_slice(known, REPEATED_PER_ROUND)))
        return self._reports(chosen, now_s)

    def reports_for_newcomer(self, now_s: float) -> tuple[LimitReport, ...]:
        """Return the reports on all limits, up to a number."""
        return self._reports(self._limits.lifetimes(now_s)[:MAX_REPORTS_FOR_NEWCOMER], now_s)

    def receive_reports(self, reports: tuple[LimitReport, ...], now_s: float) -> None:
        """Apply the reports of another entry VM, and pass on what is new here."""
        for report in reports:
            if self._limits.receive(report, now_s):
                self._pass_on(report.lifetime, now_s, "peer")
            else:
                self._changes.decrement(report.lifetime)

    def _reports(self, lifetimes: Iterable[Lifetime], now_s: float) -> tuple[LimitReport, ...]:
        found = [self._limits.report(lifetime, now_s) for lifetime in lifetimes]
        return tuple(report for report in found if report is not None)

    def _pass_on(self, lifetime: Lifetime, now_s: float, source: str) -> None:
        self._changes.add(lifetime, self.fleet_size)
        log_event(
            "target limit",
            step="limit",
            target=lifetime.target,
            incarnation=lifetime.incarnation,
            per_s=self._limits.per_s(lifetime, now_s),
            source=source,
        )
