"""Check at the moments that matter whether a request in progress moves to another target."""

import asyncio
from collections.abc import Callable

from chervilmill.overload import TargetRecord

# Interval of the checks while a request waits for a chance to move: a third of the shortest
# objective. Requests whose target answers as expected are not checked, as a wake-up of each of
# them every 0.1 s was a third of all wake-ups of the event loop.
CHECK_INTERVAL_S = 0.1


class MoveChecks:
    """Checks one attempt when it is overdue and after its target has been ejected.

    Times are readings of the event loop's clock. From `latest_s` the request no longer moves.
    `on_overdue` is called at each check from `overdue_s`. `may_move` decides whether the request
    moves, and `abandon` ends the attempt.
    """

    def __init__(
        self,
        record: TargetRecord,
        overdue_s: float,
        latest_s: float,
        on_overdue: Callable[[], None],
        may_move: Callable[[], bool],
        abandon: Callable[[], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._record = record
        self._overdue_s = overdue_s
        self._latest_s = latest_s
        self._on_overdue = on_overdue
        self._may_move = may_move
        self._abandon = abandon
        self._loop = loop
        self._began_s = loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the first check."""
        if self._began_s < self._latest_s:
            self._record.ejection_listeners.add(self._handle_ejection)
            if self._record.is_ejected(self._began_s):
                self._handle_ejection()
                return
        self._schedule(self._overdue_s)

    def stop(self) -> None:
        """Schedule no further check."""
        self._record.ejection_listeners.discard(self._handle_ejection)
        if self._timer is not None:
            self._timer.cancel()

    def _handle_ejection(self) -> None:
        """Schedule a check within CHECK_INTERVAL_S.

        The requests at an ejected target are checked at different times, and those whose
        connections break meanwhile end by themselves.
        """
        now_s = self._loop.time()
        elapsed_s = (now_s - self._began_s) % CHECK_INTERVAL_S
        check_s = now_s + CHECK_INTERVAL_S - elapsed_s
        if self._timer is None or check_s < self._timer.when():
            self._schedule(min(check_s, self._overdue_s) if now_s < self._overdue_s else check_s)

    def _schedule(self, at_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at_s, self._check)

    def _check(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        is_overdue = now_s >= self._overdue_s
        if is_overdue:
            self._on_overdue()
        should_move = is_overdue or self._record.is_ejected(now_s)
        if should_move and now_s < self._latest_s:
            if self._may_move():
                self._abandon()
                return
            self._schedule(now_s + CHECK_INTERVAL_S)
        elif not is_overdue:
            self._schedule(self._overdue_s)
