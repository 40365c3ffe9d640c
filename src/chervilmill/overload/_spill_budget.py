"""Limit the requests that are sent to another region because their own region is full.

Load pattern: a burst at one failure domain, or a region that has lost targets. Spilled requests
stay a small share of a region's requests, below the cap on shifts between regions.
"""

SPILL_SHARE = 0.05  # of a region's requests; the cap on shifts is 0.15
MAX_BALANCE_REQUESTS = 3.0


class SpillBudget:
    """A balance that grows by a fraction of a spilled request with each request."""

    __slots__ = ("_balance",)

    def __init__(self) -> None:
        self._balance = 0.0

    def deposit(self) -> None:
        """Record a request of a caller."""
        self._balance = min(MAX_BALANCE_REQUESTS, self._balance + SPILL_SHARE)

    def can_withdraw(self) -> bool:
        """Return whether a request may be spilled."""
        return self._balance >= 1.0

    def withdraw(self) -> None:
        """Record a spilled request."""
        self._balance -= 1.0
