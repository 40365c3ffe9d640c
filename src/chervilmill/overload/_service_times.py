"""Estimate how long the requests of a route occupy a slot, warm and cold.

Load pattern: steady overload. Both times decide whether a wait at the target that holds an object
is better than a free slot elsewhere, and they differ by site and route.

This VM cannot know whether a target holds an object that other entry VMs may have sent there. The
estimates therefore depend on the target's rank for the object, and so reflect how often targets of
that rank hold it. The target that ranks first is assumed to hold the object, so that a target that
joins takes over the objects for which it ranks first. A route without answers, such as one that a
new configuration has just added, uses the estimates of its service.
"""

from dataclasses import dataclass

MEDIAN_STEP_SHARE = 0.05  # twenty answers, a second or two, change the estimate by a factor of e
WARM_PRIOR_OBJECTIVE_RATIO = 0.4  # used until the first answers
COLD_PRIOR_OBJECTIVE_RATIO = 1.3  # used until the first answers
# After the last answer. A wrong estimate could otherwise refuse all requests that would correct it.
TRUST_DURATION_S = 2.0
# Ranks after the first with their own estimates; lower ranks are as cold as the last.
UNPROVEN_RANKS = 3
MIN_TRUSTED_ANSWERS = 10  # of a route, before its requests may be refused for their work alone


@dataclass(frozen=True, slots=True)
class Workload:
    """The service and route for which work is estimated; `objective_s` gives the first estimate."""

    service: str
    route: str
    objective_s: float


@dataclass(slots=True)
class _WorkEstimate:
    warm_s: float
    unproven_s: list[float]
    answers: int = 0
    last_answer_s: float = 0.0

    def expected_s(self, rank: int | None) -> float:
        return self.warm_s if not rank else self.unproven_s[min(rank, UNPROVEN_RANKS) - 1]

    def by_rank_s(self) -> tuple[float, ...]:
        return (self.warm_s, *self.unproven_s)

    def record_answer(self, work_s: float, rank: int | None, now_s: float) -> None:
        self.answers += 1
        self.last_answer_s = now_s
        if rank == 0:
            return
        if rank is None:
            self.warm_s = _step_towards(self.warm_s, work_s)
            return
        index = min(rank, UNPROVEN_RANKS) - 1
        self.unproven_s[index] = _step_towards(self.unproven_s[index], work_s)


def _step_towards(median_s: float, sample_s: float) -> float:
    """Return a running median after one more sample.

    A mean would be distorted by requests that queued or whose object the target had dropped.
    """
    if sample_s > median_s:
        return median_s * (1 + MEDIAN_STEP_SHARE)
    return median_s / (1 + MEDIAN_STEP_SHARE)


class ServiceTimes:
    """The median work of each route, in seconds of a target at its normal speed."""

    __slots__ = ("_by_route", "_by_service")

    def __init__(self) -> None:
        self._by_route: dict[str, _WorkEstimate] = {}
        self._by_service: dict[str, _WorkEstimate] = {}

    def expected_s(self, workload: Workload, rank: int | None) -> float:
        """Return the expected work of a request.

        `rank` is the target's rank for the object, or None if this VM has seen the target hold the
        object.
        """
        estimate = self._by_route.get(workload.route) or self._service_estimate(workload)
        return estimate.expected_s(rank)

    def by_rank_s(self, workload: Workload) -> tuple[float, ...]:
        """Return the expected work of a request for the ranks 0 to UNPROVEN_RANKS."""
        estimate = self._by_route.get(workload.route) or self._service_estimate(workload)
        return estimate.by_rank_s()

    def is_trusted(self, workload: Workload, now_s: float) -> bool:
        """Return whether a route's estimate is good enough to refuse requests for their work."""
        estimate = self._by_route.get(workload.route)
        if estimate is None or estimate.answers < MIN_TRUSTED_ANSWERS:
            return False
        return now_s - estimate.last_answer_s < TRUST_DURATION_S

    def record_answer(
        self, workload: Workload, work_s: float, rank: int | None, now_s: float
    ) -> None:
        """Update the estimates of route and service with the work of an answered request."""
        service = self._service_estimate(workload)
        estimate = self._by_route.get(workload.route)
        if estimate is None:
            estimate = _WorkEstimate(service.warm_s, list(service.unproven_s))
            self._by_route[workload.route] = estimate
        estimate.record_answer(work_s, rank, now_s)
        service.record_answer(work_s, rank, now_s)

    def _service_estimate(self, workload: Workload) -> _WorkEstimate:
        estimate = self._by_service.get(workload.service)
        if estimate is None:
            warm_s, cold_s = (
                WARM_PRIOR_OBJECTIVE_RATIO * workload.objective_s,
                COLD_PRIOR_OBJECTIVE_RATIO * workload.objective_s,
            )
            estimate = _WorkEstimate(warm_s, [cold_s] * UNPROVEN_RANKS)
            self._by_service[workload.service] = estimate
        return estimate
