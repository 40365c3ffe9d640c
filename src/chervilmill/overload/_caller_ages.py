"""Estimate how long a caller has been trying from the time it has left.

Load pattern: callers that return after a refusal. Their objective counts from the first attempt. A
returning caller states less remaining time than a new caller of the same route.
"""

NEW_CALLER_TIME_SHARE = 0.97  # of the longest time; callers round it and lose a few milliseconds


class CallerAgeEstimator:
    """An estimator of callers' ages, based on the longest remaining time stated on each route."""

    __slots__ = ("_longest_time_left_s",)

    def __init__(self) -> None:
        self._longest_time_left_s: dict[str, float] = {}

    def age_s(self, route: str, time_left_s: float) -> float:
        """Return how long a caller with `time_left_s` has been trying; 0 for a new caller.

        A longer time than any seen before on the route becomes the reference for later calls.
        """
        longest_time_left_s = max(time_left_s, self._longest_time_left_s.get(route, 0.0))
        self._longest_time_left_s[route] = longest_time_left_s
        if time_left_s >= longest_time_left_s * NEW_CALLER_TIME_SHARE:
            return 0.0
        return longest_time_left_s - time_left_s
