"""Learn how long the requests of a route keep a slot, warm and cold.

Load pattern: steady overload. Whether a wait at the target that holds an object is worth more than
a free slot elsewhere depends on both times, which differ by site and route. Whether a target holds
an object that other entry VMs may have sent there is not known here, but how often it did is learnt
by the target's rank for the object. The first is presumed to hold it, so that a target that joins
takes the objects over for which it ranks first. A route without answers yet, such as one that a
configuration has just added, goes by its service.
"""

from dataclasses import dataclass

LEARNING_STEP = 0.05  # of the figure; twenty answers, a second or two, for a change by e
WARM_PRIOR = 0.4  # of the objective, until answers tell
COLD_PRIOR = 1.3  # of the objective, until answers tell
TRUSTED_S = 2.0  # after the last answer, lest a wrong figure refuses all that could correct it
RANKS = 3  # below the first that are told apart; what ranks lower is as cold as the last
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
    unproven_s: list[float]
    answers: int = 0
    answered_s: float = 0.0

    def expected_s(self, rank: int | None) -> float:
        return self.warm_s if not rank else self.unproven_s[min(rank, RANKS) - 1]

    def learn(self, work_s: float, rank: int | None, now_s: float) -> None:
        self.answers += 1
        self.answered_s = now_s
        if rank == 0:
            return
        if rank is None:
            self.warm_s = _towards(self.warm_s, work_s)
            return
        place = min(rank, RANKS) - 1
        self.unproven_s[place] = _towards(self.unproven_s[place], work_s)


def _towards(usual_s: float, sample_s: float) -> float:
    """Move a running median by one sample.

    A mean would count a request that met a queue, or whose object had been dropped, many times.
    """
    if sample_s > usual_s:
        return usual_s * (1 + LEARNING_STEP)
    return usual_s / (1 + LEARNING_STEP)


class ServiceTimes:
    """Hold the usual work per route; times are in seconds of a target at its usual speed."""

    __slots__ = ("_by_route", "_by_service")

    def __init__(self) -> None:
        self._by_route: dict[str, _Means] = {}
        self._by_service: dict[str, _Means] = {}

    def expected_s(self, work: Workload, rank: int | None) -> float:
        """Return the work of a request.

        `rank` is the target's for the object, or None where this VM has seen it hold the object.
        """
        means = self._by_route.get(work.route) or self._of_service(work)
        return means.expected_s(rank)

    def is_trusted(self, work: Workload, now_s: float) -> bool:
        """Return whether the work of a route is known well enough to refuse by it."""
        means = self._by_route.get(work.route)
        if means is None or means.answers < TRUSTED_ANSWERS:
            return False
        return now_s - means.answered_s < TRUSTED_S

    def learn(self, work: Workload, work_s: float, rank: int | None, now_s: float) -> None:
        """Take in the work of one answered request."""
        service = self._of_service(work)
        means = self._by_route.get(work.route)
        if means is None:
            means = _Means(service.warm_s, list(service.unproven_s))
            self._by_route[work.route] = means
        means.learn(work_s, rank, now_s)
        service.learn(work_s, rank, now_s)

    def _of_service(self, work: Workload) -> _Means:
        means = self._by_service.get(work.service)
        if means is None:
            warm_s, cold_s = WARM_PRIOR * work.objective_s, COLD_PRIOR * work.objective_s
            means = _Means(warm_s, [cold_s] * RANKS)
            self._by_service[work.service] = means
        return means
