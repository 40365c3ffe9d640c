"""Watch how late the event loop of an entry VM is."""

import asyncio
from collections.abc import Callable

from chervilmill.logs import log_event, log_problem
from chervilmill.metrics import Metrics
from chervilmill.overload import TICK_S, Lateness

LATE_S = 0.3  # below the shortest time-out of a call to the store
ON_TIME_S = 2.0  # without a late tick before the loop counts as on time again


class LoopWatch:
    """Ticks at a fixed interval, and records and logs how late the ticks are.

    `on_tick` is called at each tick.
    """

    def __init__(self, metrics: Metrics, now_s: float) -> None:
        self.lateness = Lateness(now_s)
        self.on_tick: Callable[[], None] = lambda: None
        self._metrics = metrics
        self._is_late = False

    def was_late_since(self, at_s: float) -> bool:
        """Return whether the loop was late by more than LATE_S at once since a time."""
        return self.lateness.longest_since(at_s, asyncio.get_running_loop().time()) > LATE_S

    async def run(self) -> None:
        """Tick until cancelled."""
        loop = asyncio.get_running_loop()
        self.lateness.record_tick(loop.time())
        while True:
            await asyncio.sleep(TICK_S)
            late_s = self.lateness.record_tick(loop.time())
            self._metrics.loop_lateness.observe(late_s)
            self._log(late_s, loop.time())
            self.on_tick()

    def _log(self, late_s: float, now_s: float) -> None:
        """Log when the loop becomes late, and when it has been on time for a while."""
        if late_s > LATE_S and not self._is_late:
            self._is_late = True
            log_problem("event loop is late", step="tick", peer="self", late_s=round(late_s, 3))
        elif self._is_late and not self.was_late_since(now_s - ON_TIME_S):
            self._is_late = False
            log_event("event loop is on time", step="tick")
