"""Choose the target that is expected to answer first.

Load patterns: steady overload, where a short wait at the target that holds the object is better
than a free slot that does not, for the caller and for all who want the slot after it; slow and grey
targets, which lose their requests to others as soon as they show; a hot object, which overflows to
the target next in its ranking. Where no target answers in time, a target with a free slot is the
second choice: the answer is late, but the slot would be idle, and the object is held there from
then on.
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

    `finish_s` is the time until the answer is back: the way, the wait and the work. `unproven_rank`
    is the target's rank for the object, or None where this VM has sent the object there before.
    """

    record: TargetRecord
    finish_s: float
    wait_s: float
    work_s: float
    unproven_rank: int | None

    @property
    def unwaited_s(self) -> float:
        """Return the time of the way and the work alone."""
        return self.finish_s - self.wait_s


@dataclass(frozen=True, slots=True)
class Choices:
    """Hold the candidate expected first, and the first with a free slot if that is another."""

    first: Candidate
    idle: Candidate | None


def choose(
    records: Iterable[TargetRecord],
    request: PlacementRequest,
    ranks: Mapping[str, int],
    round_trips_s: Mapping[str, float],
    times: ServiceTimes,
    usual_others: float,
    now_s: float,
) -> Choices | None:
    """Return the candidates with the lowest cost, or None where there is no record.

    `ranks` is empty without affinity; `round_trips_s` is by failure domain, and
    `usual_others` is what other entry VMs have at these targets on average, a slot.
    """
    best: Candidate | None = None
    idle: Candidate | None = None
    best_cost_s = idle_cost_s = float("inf")
    for record in records:
        rank = ranks.get(record.target.name, 0)
        round_trip_s = round_trips_s.get(record.target.failure_domain, 0.0)
        candidate = _expect(record, request, rank, round_trip_s, times, usual_others, now_s)
        cost_s = candidate.finish_s + rank * RANK_COST_S
        cost_s += record.failure(now_s) * FAILURE_COST_S
        if cost_s < best_cost_s:
            best, best_cost_s = candidate, cost_s
        if record.is_idle(now_s, usual_others) and cost_s < idle_cost_s:
            idle, idle_cost_s = candidate, cost_s
    return Choices(best, idle if idle is not best else None) if best else None


def _expect(
    record: TargetRecord,
    request: PlacementRequest,
    rank: int,
    round_trip_s: float,
    times: ServiceTimes,
    usual_others: float,
    now_s: float,
) -> Candidate:
    is_proven = bool(request.key) and record.holds(request.key)
    unproven_rank = None if is_proven else rank
    work_s = times.expected_s(request.work, unproven_rank)
    work_s *= record.slowness(now_s)
    wait_s = record.wait_s(now_s, usual_others, work_s / record.slowness(now_s))
    return Candidate(record, round_trip_s + wait_s + work_s, wait_s, work_s, unproven_rank)
