"""Pace the writes of one entry VM, so that the changes that wait are written in groups."""

BURST_S = 0.1


class WritePacer:
    """Schedules writes at a given rate, with a small burst.

    All times are in seconds of the same clock.
    """

    __slots__ = ("_burst_s", "_interval_s", "_next_s")

    def __init__(self, writes_per_s: float) -> None:
        self._next_s = float("-inf")
        self.set_rate(writes_per_s)

    def set_rate(self, writes_per_s: float) -> None:
        """Set the rate of further writes."""
        self._interval_s = 1.0 / writes_per_s
        self._burst_s = max(BURST_S, self._interval_s)

    def schedule(self, now_s: float) -> float:
        """Return how long to wait before the next write, and schedule that write."""
        self._next_s = max(self._next_s + self._interval_s, now_s - self._burst_s)
        return max(0.0, self._next_s - now_s)
