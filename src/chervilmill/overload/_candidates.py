"""Choose the target that is expected to answer first.

Load pattern: steady overload. A short wait at the target that holds the object is better than a
free slot at one that does not, both for the caller and for all requests that need the slot next.

Load pattern: slow and grey targets. They lose their requests to other targets as soon as their
answers show the fault.

Load pattern: a hot object. Its requests overflow to the next target in the object's ranking.

Where no target can answer in time, the second option is a target with a free slot: the answer is
late, but the slot would otherwise be idle, and the target holds the object from then on.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilmill.overload._service_times import UNPROVEN_RANKS, ServiceTimes, Workload
from chervilmill.overload._target_record import TargetRecord

FAILURE_COST_S = 0.4  # a failed request takes another attempt, or is lost
RANK_COST_S = 0.0001  # breaks ties in the same order on every entry VM

_Estimate = tuple[TargetRecord, float, float, float, int | None, float]  # the fields of a Candidate


@dataclass(frozen=True, slots=True)
class AffinityWorkload:
    """The workload of a request and the key of its object; `key` is empty without affinity."""

    workload: Workload
    key: str


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target with the times expected there, in seconds.

    `expected_answer_s` is the time until the answer is back: round trip, wait and work.
    `unproven_rank` is the target's rank for the object, or None if this VM has sent the object
    there before. `stated_slowness` is the part of the target's slowness that it stated itself.
    """

    record: TargetRecord
    expected_answer_s: float
    wait_s: float
    work_s: float
    unproven_rank: int | None
    stated_slowness: float = 1.0

    @property
    def unqueued_s(self) -> float:
        """Return the time of the round trip and the work, without the wait."""
        return self.expected_answer_s - self.wait_s


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """The best candidate for a request, and the best with a free slot if that is another one."""

    first: Candidate
    idle: Candidate | None


def choose_candidates(
    records: Iterable[TargetRecord],
    affinity_workload: AffinityWorkload,
    ranks: Mapping[str, int],
    round_trips_s: Mapping[str, float],
    service_times: ServiceTimes,
    others_per_slot: float,
    now_s: float,
) -> PlacementOptions | None:
    """Return the candidates with the lowest cost, or None if there are no records.

    `ranks` has the first targets of the object and is empty without affinity. Other targets count
    as next after them. `round_trips_s` is keyed by failure domain. `others_per_slot` is the average
    number of requests, for each slot of these targets, that other entry VMs have there.
    """
    key = affinity_workload.key
    work_by_rank_s = service_times.by_rank_s(affinity_workload.workload)
    best: _Estimate | None = None
    idle: _Estimate | None = None
    best_cost_s = idle_cost_s = float("inf")
    for record in records:
        target = record.target
        rank = ranks.get(target.name, len(ranks))
        unproven_rank = None if key and record.holds(key) else rank
        usual_s = work_by_rank_s[min(unproven_rank or 0, UNPROVEN_RANKS)]
        slowness = record.slowness(now_s)
        load = record.load(now_s, others_per_slot)
        wait_s = record.wait_behind_s(load, usual_s, slowness)
        answer_s = round_trips_s.get(target.failure_domain, 0.0) + wait_s + usual_s * slowness
        cost_s = answer_s + rank * RANK_COST_S + record.failure_share(now_s) * FAILURE_COST_S
        if cost_s < best_cost_s:
            best_cost_s = cost_s
            stated = record.stated_slowness(now_s)
            best = (record, answer_s, wait_s, usual_s * slowness, unproven_rank, stated)
        if cost_s < idle_cost_s and record.is_idle_at(load):
            idle_cost_s = cost_s
            stated = record.stated_slowness(now_s)
            idle = (record, answer_s, wait_s, usual_s * slowness, unproven_rank, stated)
    if best is None:
        return None
    is_other = idle is not None and idle[0] is not best[0]
    return PlacementOptions(Candidate(*best), Candidate(*idle) if idle and is_other else None)
