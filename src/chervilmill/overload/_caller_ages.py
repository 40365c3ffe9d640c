"""Tell how long a caller has been trying from the time it has left.

Load pattern: callers that come back after a refusal. Their objective counts from the first attempt,
and a returning caller states less time than a new one of the same route does.
"""

FRESH_SHARE = 0.97  # of the longest time stated; callers round and lose a few milliseconds


class CallerAges:
    """Hold the longest time that callers of each route have stated."""

    __slots__ = ("_longest_s",)

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def age_s(self, route: str, patience_s: float) -> float:
        """Return how long a caller with this much time left has been trying; 0 for a new one."""
        longest_s = max(patience_s, self._longest_s.get(route, 0.0))
        self._longest_s[route] = longest_s
        if patience_s >= longest_s * FRESH_SHARE:
            return 0.0
        return longest_s - patience_s
