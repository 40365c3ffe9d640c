"""Bound the messages about allowances that one VM sends."""

# With 53 bytes a message, at most 2.7 KB per second in all.
ASKS_PER_S = 20.0
GRANTS_PER_S = 30.0
BURST_S = 1.0
FURTHER_ASKS_ABOVE = 0.5  # of the burst; the rest is for the first owner asked for a request


class MessageBudget:
    """A token bucket for messages of one form."""

    __slots__ = ("_left", "_most", "_per_s", "_refilled_s")

    def __init__(self, per_s: float, now_s: float) -> None:
        self._per_s = per_s
        self._most = per_s * BURST_S
        self._left = self._most
        self._refilled_s = now_s

    def take(self, now_s: float, *, is_further: bool = False) -> bool:
        """Count a message, and return whether it may be sent."""
        passed_s = max(0.0, now_s - self._refilled_s)
        self._left = min(self._most, self._left + passed_s * self._per_s)
        self._refilled_s = now_s
        if self._left < 1.0 + (FURTHER_ASKS_ABOVE * self._most if is_further else 0.0):
            return False
        self._left -= 1.0
        return True
