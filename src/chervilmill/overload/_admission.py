"""Admit a request while it can meet its objective, or turn it away at once.

Load patterns: steady overload, waves and bursts, where a request that would wait past its objective
only takes the slot of one that could meet it; callers that come back, who go before newcomers since
they have waited already; work that is over its objective even without a wait, which is late
wherever it goes and waits only briefly for a slot.
"""

import random
from dataclasses import dataclass

from chervilmill.overload._choice import Candidate

URGENT_PRIORITY = 1  # routes of this rank and below may use the whole objective
LESS_URGENT_SHARE = 0.85  # of the objective, so that urgent requests find the shorter queue
LATE_WAIT_SHARE = 0.25  # of the objective, for work that cannot meet it
RETURN_WAIT_SHARE = 0.75  # of the objective, for callers that were refused before
MIN_RETURN_S = 0.1  # below this, a refused caller meets the same queue again
MAX_RETURN_S = 1.0  # beyond this, most callers have no time left
RETURN_SPREAD = 0.5  # spreads the returns over half of the wait again


@dataclass(frozen=True, slots=True)
class Admission:
    """Describe the request for which a candidate was found; `age_s` is 0 for a newcomer.

    Without `is_work_known`, the request is not refused for its work, only for its wait.
    """

    objective_s: float
    age_s: float
    time_left_s: float
    priority: int
    is_work_known: bool = True


@dataclass(frozen=True, slots=True)
class Admitted:
    """Send the request to the candidate."""

    candidate: Candidate


@dataclass(frozen=True, slots=True)
class Refused:
    """Turn the request away and tell when a slot is expected.

    `expected_s` is the time in which the best target would have answered, if there was one.
    """

    retry_after_s: float
    expected_s: float | None = None


def admit(asked: Admission, candidate: Candidate, rng: random.Random) -> Admitted | Refused:
    """Decide on a request by the best that can be expected for it."""
    allowed_s = _allowed_wait_s(asked, candidate)
    unwaited_s = candidate.finish_s - candidate.wait_s
    is_in_time = unwaited_s <= asked.time_left_s or not asked.is_work_known
    if candidate.wait_s <= allowed_s and is_in_time:
        return Admitted(candidate)
    return Refused(_return_s(candidate.wait_s - allowed_s, rng), candidate.finish_s)


def _allowed_wait_s(asked: Admission, candidate: Candidate) -> float:
    share = 1.0 if asked.priority <= URGENT_PRIORITY else LESS_URGENT_SHARE
    unwaited_s = candidate.finish_s - candidate.wait_s
    in_time_s = asked.objective_s * share - asked.age_s - unwaited_s
    late_share = RETURN_WAIT_SHARE if asked.age_s > 0 else LATE_WAIT_SHARE
    late_s = asked.objective_s * late_share
    if in_time_s > 0 and asked.age_s == 0:
        return in_time_s
    spare_s = asked.time_left_s - unwaited_s if asked.is_work_known else late_s
    return min(max(in_time_s, late_s), spare_s)


def _return_s(excess_s: float, rng: random.Random) -> float:
    drained_s = max(MIN_RETURN_S, excess_s)
    return min(MAX_RETURN_S, drained_s * rng.uniform(1.0, 1.0 + RETURN_SPREAD))
