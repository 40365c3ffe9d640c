"""Bound the crash reports that an entry VM sends and merges.

The bounds hold for one VM, whatever the size of the fleet and the number of crashes. Each report is
sent to a few peers, so that a VM receives about three times as many as one sends.
"""

# Rates in reports per second, and bursts in reports.
SENT_PER_S, SENT_BURST = 40.0, 80
SENT_TO_NEWCOMERS_PER_S, SENT_TO_NEWCOMERS_BURST = 64.0, 128
MERGED_PER_S, MERGED_BURST = 240.0, 240
# Of the reports merged at a time, kept for requests with several crashes.
MERGED_RESERVE = 40


class ReportBudget:
    """A token bucket of reports that holds `burst` and gains `rate_per_s`."""

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = float(burst)
        self._tokens = self._burst
        self._updated_s: float | None = None

    def available(self, now_s: float) -> int:
        """Return how many reports may be sent or merged at a time."""
        if self._updated_s is not None:
            gained = self._rate_per_s * max(0.0, now_s - self._updated_s)
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_s = now_s
        return int(self._tokens)

    def spend(self, count: int) -> None:
        """Charge reports that were sent or merged."""
        self._tokens -= count
