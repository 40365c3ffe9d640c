"""Learn from answers that targets are leaving, and tell the other entry VMs.

The entry of a target says the same, but it reaches an entry VM late or not at all while the store
is away.
"""

from collections.abc import Callable

from chervilmill.logs import log_event
from chervilmill.peers import TableCursor, UpdateQueue
from chervilmill.requests import Lifetime

MAX_CHANGES_PER_ROUND = 24
REPEATED_PER_ROUND = 1
REPORTED_FOR_S = 120.0
MAX_REPORTS_FOR_NEWCOMER = 96


class LeavingTracker:
    """Records which targets are leaving, and queues the reports for the other entry VMs.

    `fleet_size` is the number of live entry VMs, which decides how often a report is passed on.
    `on_leaving` is called once for each lifetime of a target that is found to be leaving.
    """

    def __init__(self, on_leaving: Callable[[Lifetime], None]) -> None:
        self.fleet_size = 1
        self._on_leaving = on_leaving
        self._found_s: dict[Lifetime, float] = {}
        self._new: UpdateQueue[Lifetime] = UpdateQueue(MAX_CHANGES_PER_ROUND)
        self._repeated: TableCursor[Lifetime] = TableCursor()

    def record_answer(self, lifetime: Lifetime, now_s: float) -> None:
        """Record that a target said in an answer that it is leaving."""
        self._add(lifetime, now_s, "answer")

    @property
    def has_new_reports(self) -> bool:
        """Return whether reports wait that the other VMs may not know yet."""
        return bool(self._new)

    def next_reports(self, now_s: float) -> tuple[Lifetime, ...]:
        """Return the reports to send in this round, and count this round for each."""
        self._drop_old(now_s)
        chosen = dict.fromkeys(self._new.next_updates())
        chosen.update(dict.fromkeys(self._repeated.next_slice(self._found_s, REPEATED_PER_ROUND)))
        return tuple(chosen)

    def reports_for_newcomer(self, now_s: float) -> tuple[Lifetime, ...]:
        """Return the latest reports, up to a number."""
        self._drop_old(now_s)
        return tuple(self._found_s)[-MAX_REPORTS_FOR_NEWCOMER:]

    def receive_reports(self, reports: tuple[Lifetime, ...], now_s: float) -> None:
        """Apply the reports of another entry VM, and pass on what is new here."""
        for lifetime in reports:
            if lifetime in self._found_s:
                self._new.decrement(lifetime)
            else:
                self._add(lifetime, now_s, "peer")

    def _add(self, lifetime: Lifetime, now_s: float, source: str) -> None:
        if lifetime in self._found_s:
            return
        self._found_s[lifetime] = now_s
        self._new.add(lifetime, self.fleet_size)
        log_event(
            "target leaving",
            step="leave",
            target=lifetime.target,
            incarnation=lifetime.incarnation,
            source=source,
        )
        self._on_leaving(lifetime)

    def _drop_old(self, now_s: float) -> None:
        for lifetime, found_s in list(self._found_s.items()):
            if now_s - found_s < REPORTED_FOR_S:
                return
            del self._found_s[lifetime]
