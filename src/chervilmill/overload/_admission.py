"""Admit a request while it can meet its objective, or turn it away at once.

Load patterns: steady overload, waves and bursts, where a request that would wait past its objective
only takes the slot of one that could meet it; callers that come back, who go before newcomers since
they have waited already, as long as their answers can be in time, and find a shorter queue after
that; work that is over its objective even without a wait, which is late wherever it goes and waits
only briefly for a slot.
"""

import random
from dataclasses import dataclass

from chervilmill.overload._candidates import Candidate, Choices

URGENT_PRIORITY = 1  # routes of this rank and below may use the whole objective
LESS_URGENT_SHARE = 0.9  # of the objective, so that urgent requests find the shorter queue
NEWCOMER_SHARE = 0.95  # of the objective, so that callers that were refused find the shorter queue
RETURN_SHARE = 0.95  # of the objective since the first attempt; the rest is for a misjudged wait
LATE_RETURN_SHARE = 0.75  # of the wait that would be allowed in time; an overload fills it
LATE_WAIT_SHARE = 0.05  # of the objective, for work that cannot meet it
MIN_RETURN_S = 0.1  # below this, a refused caller meets the same queue again
MAX_RETURN_S = 1.0  # beyond this, most callers have no time left
RETURN_SPREAD = 0.5  # spreads the returns over half of the wait again


@dataclass(frozen=True, slots=True)
class Admission:
    """Describe the request for which a candidate was found; `age_s` is 0 for a newcomer.

    `longest_way_s` is the round trip to the farthest targets of the service. Without
    `is_work_known`, the request is not refused for its work, only for its wait.
    """

    objective_s: float
    age_s: float
    time_left_s: float
    priority: int
    longest_way_s: float = 0.0
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


def admit(asked: Admission, choices: Choices, rng: random.Random) -> Admitted | Refused:
    """Decide on a request by the best that can be expected for it."""
    decision = _admit_to(asked, choices.first, rng)
    if isinstance(decision, Admitted) or choices.idle is None:
        return decision
    late = _admit_to(asked, choices.idle, rng)
    return late if isinstance(late, Admitted) else decision


def _admit_to(asked: Admission, candidate: Candidate, rng: random.Random) -> Admitted | Refused:
    allowed_s = _allowed_wait_s(asked, candidate)
    unwaited_s = candidate.unwaited_s
    is_in_time = unwaited_s <= asked.time_left_s or not asked.is_work_known
    if candidate.wait_s <= allowed_s and is_in_time:
        return Admitted(candidate)
    return Refused(_return_s(candidate.wait_s - allowed_s, rng), candidate.finish_s)


def _allowed_wait_s(asked: Admission, candidate: Candidate) -> float:
    """Return the longest wait that the request may be given.

    All are allowed the wait of those with the longest way, lest callers near a target fill its
    queue up to a length that callers of a region with few targets cannot bear.

    A caller that was refused before may wait longer than a newcomer of the same kind, as far as its
    answer is in time: its objective counts from its first attempt. Past that it finds a shorter
    queue, lest it make others late that are in time yet; without overload there is none.
    """
    share = 1.0 if asked.priority <= URGENT_PRIORITY else LESS_URGENT_SHARE
    share *= 1.0 if asked.age_s > 0 else NEWCOMER_SHARE
    allowed_s = asked.objective_s * share - asked.longest_way_s - candidate.work_s
    if asked.age_s > 0:
        way_s = candidate.unwaited_s - candidate.work_s
        left_s = asked.objective_s * RETURN_SHARE - asked.age_s - way_s - candidate.work_s
        allowed_s = min(allowed_s, max(left_s, allowed_s * LATE_RETURN_SHARE))
    return max(allowed_s, asked.objective_s * LATE_WAIT_SHARE)


def _return_s(excess_s: float, rng: random.Random) -> float:
    drained_s = max(MIN_RETURN_S, excess_s)
    return min(MAX_RETURN_S, drained_s * rng.uniform(1.0, 1.0 + RETURN_SPREAD))
