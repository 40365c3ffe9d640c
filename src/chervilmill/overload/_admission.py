"""Admit a request that can meet its objective, or refuse it at once.

Load pattern: steady overload, waves and bursts. A request that would queue past its objective takes
a slot from one that could still be answered in time.

Load pattern: callers that return after a refusal. They have waited already, so they go before new
callers while their answers can be in time. Later than that, they are allowed only a shorter queue.

Load pattern: work that exceeds its objective even without a queue. Such a request is late on every
target, so it may wait only briefly for a slot.
"""

import math
import random
from dataclasses import dataclass

from chervilmill.overload._candidates import Candidate, PlacementOptions

URGENT_PRIORITY = 1  # routes with this priority or a lower number may use the whole objective
LESS_URGENT_OBJECTIVE_SHARE = 0.9  # leaves urgent requests a shorter queue
NEW_CALLER_OBJECTIVE_SHARE = 0.95  # leaves returning callers a shorter queue
RETURNING_OBJECTIVE_SHARE = 0.95  # from the first attempt on; the rest covers a misjudged wait
LATE_RETURNING_WAIT_SHARE = 0.75  # of the wait allowed otherwise, to which overload fills queues
LATE_WORK_WAIT_SHARE = 0.05  # of the objective, for work that exceeds the objective by itself
MIN_RETRY_AFTER_S = 0.1  # a caller that returns sooner meets the same queue
MAX_RETRY_AFTER_S = 1.0  # after longer, most callers have no time left
RETRY_AFTER_SPREAD_SHARE = 0.5  # of the wait, added at random so that returns spread out


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The facts about a request on which its admission depends.

    `age_s` is the time since the caller's first attempt, 0 for a new caller. `longest_round_trip_s`
    is the round trip to the farthest targets of the service. Without `is_work_known`, the request
    is refused only for its wait, never because its work would exceed the time left.
    `longest_wait_s` is the longest queue that leaves room for more urgent requests.
    """

    objective_s: float
    age_s: float
    time_left_s: float
    priority: int
    longest_round_trip_s: float = 0.0
    is_work_known: bool = True
    longest_wait_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Admitted:
    """The decision to send the request to a candidate."""

    candidate: Candidate


@dataclass(frozen=True, slots=True)
class Refused:
    """The decision to refuse the request, with the time after which a slot is expected to be free.

    `expected_s` is the time in which the best target would have answered, or None without a target.
    `is_rate_limited` says that targets have slots, but take no more requests a second.
    `is_above_fair_share` says that targets are busy and the organisation has its share of them.
    """

    retry_after_s: float
    expected_s: float | None = None
    is_rate_limited: bool = False
    is_above_fair_share: bool = False


def admit(
    request: AdmissionRequest, options: PlacementOptions, rng: random.Random
) -> Admitted | Refused:
    """Admit the request to the best candidate, else to the best idle one, or refuse it."""
    decision = _admit_to(request, options.first, rng)
    if isinstance(decision, Admitted) or options.idle is None:
        return decision
    idle_decision = _admit_to(request, options.idle, rng)
    return idle_decision if isinstance(idle_decision, Admitted) else decision


def _admit_to(
    request: AdmissionRequest, candidate: Candidate, rng: random.Random
) -> Admitted | Refused:
    allowed_s = _allowed_wait_s(request, candidate)
    unqueued_s = candidate.unqueued_s
    can_be_in_time = unqueued_s <= request.time_left_s or not request.is_work_known
    if candidate.wait_s <= allowed_s and can_be_in_time:
        return Admitted(candidate)
    return Refused(_retry_after_s(candidate.wait_s - allowed_s, rng), candidate.expected_answer_s)


def _allowed_wait_s(request: AdmissionRequest, candidate: Candidate) -> float:
    """Return the longest time for which the request may queue.

    Every request is allowed only the wait that the farthest callers can afford. Otherwise, callers
    near a target would fill its queue to a length with which callers from a region with few targets
    miss their objective.

    A returning caller may wait longer than a new caller of the same kind while its answer can be in
    time, counted from its first attempt. A returning caller that is late already is allowed a
    shorter wait, so that it does not delay requests that can still be in time. Without overload
    there is no queue, and the shorter wait makes no difference.
    """
    share = 1.0 if request.priority <= URGENT_PRIORITY else LESS_URGENT_OBJECTIVE_SHARE
    share *= 1.0 if request.age_s > 0 else NEW_CALLER_OBJECTIVE_SHARE
    allowed_s = request.objective_s * share - request.longest_round_trip_s - candidate.work_s
    if request.age_s > 0:
        round_trip_s = candidate.unqueued_s - candidate.work_s
        wait_in_time_s = (
            request.objective_s * RETURNING_OBJECTIVE_SHARE
            - request.age_s
            - round_trip_s
            - candidate.work_s
        )
        allowed_s = min(allowed_s, max(wait_in_time_s, allowed_s * LATE_RETURNING_WAIT_SHARE))
    allowed_s = min(allowed_s, request.longest_wait_s)
    return max(allowed_s, request.objective_s * LATE_WORK_WAIT_SHARE)


def affordable_wait_s(request: AdmissionRequest, work_s: float) -> float:
    """Return for how long a new request with a usual amount of work can queue and be in time."""
    objective_s = request.objective_s * NEW_CALLER_OBJECTIVE_SHARE
    return objective_s - request.longest_round_trip_s - work_s


def _retry_after_s(excess_s: float, rng: random.Random) -> float:
    drain_s = max(MIN_RETRY_AFTER_S, excess_s)
    return min(MAX_RETRY_AFTER_S, drain_s * rng.uniform(1.0, 1.0 + RETRY_AFTER_SPREAD_SHARE))
