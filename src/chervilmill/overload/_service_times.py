"""Learn how long the requests of a route keep a slot, warm and cold.

Load pattern: steady overload. Whether a wait at the target that holds an object is worth more than
a free slot elsewhere depends on both times, which differ by site and route. A route without answers
yet, such as one that a configuration has just added, goes by its service.
"""

from dataclasses import dataclass

LEARNING_WEIGHT = 0.05  # twenty answers of memory: a second or two at a busy entry VM
WARM_PRIOR = 0.4  # of the objective, until answers tell
COLD_PRIOR = 1.3  # of the objective, until answers tell
MIN_COLD_RATIO = 1.5  # below this, spreading an object costs nothing
TRUSTED_ANSWERS = 10  # of a route, before its requests are refused for the work alone


@dataclass(frozen=True, slots=True)
class Workload:
    """Name what a request's work is learnt by; `objective_s` gives the first guess."""

    service: str
    route: str
    objective_s: float


@dataclass(slots=True)
class _Means:
    warm_s: float
    cold_s: float
    answers: int = 0

    def learn(self, work_s: float, *, is_held: bool) -> None:
        self.answers += 1
        if is_held:
            self.warm_s += LEARNING_WEIGHT * (work_s - self.warm_s)
        else:
            self.cold_s += LEARNING_WEIGHT * (work_s - self.cold_s)


class ServiceTimes:
    """Hold mean work per route; times are in seconds of a target at its usual speed."""

    __slots__ = ("_by_route", "_by_service")

    def __init__(self) -> None:
        self._by_route: dict[str, _Means] = {}
        self._by_service: dict[str, _Means] = {}

    def expected_s(self, work: Workload, *, is_held: bool) -> float:
        """Return the work of a request where the target holds its object, or does not."""
        means = self._by_route.get(work.route) or self._of_service(work)
        return means.warm_s if is_held else max(means.cold_s, MIN_COLD_RATIO * means.warm_s)

    def is_trusted(self, work: Workload) -> bool:
        """Return whether the work of a route is known well enough to refuse by it."""
        means = self._by_route.get(work.route)
        return means is not None and means.answers >= TRUSTED_ANSWERS

    def learn(self, work: Workload, work_s: float, *, is_held: bool) -> None:
        """Take in the work of one answered request."""
        service = self._of_service(work)
        means = self._by_route.setdefault(work.route, _Means(service.warm_s, service.cold_s))
        means.learn(work_s, is_held=is_held)
        service.learn(work_s, is_held=is_held)

    def _of_service(self, work: Workload) -> _Means:
        means = self._by_service.get(work.service)
        if means is None:
            means = _Means(WARM_PRIOR * work.objective_s, COLD_PRIOR * work.objective_s)
            self._by_service[work.service] = means
        return means
