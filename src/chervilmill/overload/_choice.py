"""Choose the target that is expected to answer first.

Load patterns: steady overload, where a short wait at the target that holds the object is better
than a free slot that does not, for the caller and for all who want the slot after it; slow and grey
targets, which lose their requests to others as soon as they show; a hot object, which overflows to
the target next in its ranking.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilmill.overload._service_times import ServiceTimes, Workload
from chervilmill.overload._target_record import TargetRecord

FAILURE_COST_S = 0.4  # a failed request takes a further attempt, or is lost
RANK_COST_S = 0.0001  # settles ties in the same order on every entry VM


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Describe a request for which a target is wanted; `key` is empty without affinity."""

    work: Workload
    key: str


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold a target with what is expected of it, in seconds.

    `finish_s` is the time until the answer is back: the way, the wait and the work.
    """

    record: TargetRecord
    finish_s: float
    wait_s: float
    work_s: float
    is_held: bool


def best_candidate(
    records: Iterable[TargetRecord],
    request: PlacementRequest,
    ranks: Mapping[str, int],
    round_trips_s: Mapping[str, float],
    times: ServiceTimes,
    now_s: float,
) -> Candidate | None:
    """Return the candidate with the lowest cost, or None where there is no record.

    `ranks` is empty without affinity; `round_trips_s` is by failure domain.
    """
    best: Candidate | None = None
    best_cost_s = float("inf")
    for record in records:
        rank = ranks.get(record.target.name, 0)
        round_trip_s = round_trips_s.get(record.target.failure_domain, 0.0)
        candidate = _expect(record, request, rank, round_trip_s, times, now_s)
        cost_s = candidate.finish_s + rank * RANK_COST_S
        cost_s += record.failure(now_s) * FAILURE_COST_S
        if cost_s < best_cost_s:
            best, best_cost_s = candidate, cost_s
    return best


def _expect(
    record: TargetRecord,
    request: PlacementRequest,
    rank: int,
    round_trip_s: float,
    times: ServiceTimes,
    now_s: float,
) -> Candidate:
    is_first = bool(request.key) and rank == 0
    is_held = is_first or record.holds(request.key)
    work_s = times.expected_s(request.work, is_held=is_held)
    work_s *= record.slowness(now_s)
    wait_s = record.wait_s(now_s)
    return Candidate(record, round_trip_s + wait_s + work_s, wait_s, work_s, is_held)
