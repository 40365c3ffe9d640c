"""Estimate how long a caller has been trying from the time it has left.

Load pattern: callers that return after a refusal. Their objective counts from the first attempt. A
returning caller states less remaining time than a new caller of the same route.
"""

NEW_CALLER_TIME_SHARE = 0.97  # of the longest time; callers round it and lose a few milliseconds


class CallerAges:
    """Estimates of callers' ages, from the longest remaining time stated on each route."""

    __slots__ = ("_longest_patience_s",)

    def __init__(self) -> None:
        self._longest_patience_s: dict[str, float] = {}

    def age_s(self, route: str, patience_s: float) -> float:
        """Return how long a caller with `patience_s` left has been trying; 0 for a new caller.

        A longer time than any seen before on the route becomes the reference for later calls.
        """
        longest_patience_s = max(patience_s, self._longest_patience_s.get(route, 0.0))
        self._longest_patience_s[route] = longest_patience_s
        if patience_s >= longest_patience_s * NEW_CALLER_TIME_SHARE:
            return 0.0
        return longest_patience_s - patience_s
