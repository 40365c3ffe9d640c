"""Choose targets as common balancers do, to set the product's decisions beside them.

Each sends to targets of its own region and learns nothing from answers; all but the hashing one
turn nothing away themselves, so that full targets turn away what they cannot queue.
"""

import heapq
import random
from collections.abc import Sequence

from bench.overload._replay import WAY_S, Call, Replay
from chervilmill.overload import (
    Admitted,
    AffinityWorkload,
    Candidate,
    PlacementQuery,
    Refused,
    TargetFleet,
)
from chervilmill.overload._target_record import TargetRecord
from chervilmill.routing import SiteView, unit_hash

FULL_RETURN_S = 0.4  # about the time in which a slot comes free
HASHED = 3  # targets tried for an object
NEAR_WAY_S = 2 * WAY_S[True]


class _Baseline(TargetFleet):
    """Admit every request to a target that a simple rule picks."""

    def place(self, query: PlacementQuery, view: SiteView, now_s: float) -> Admitted | Refused:
        """Return the target picked, or a refusal where there is none."""
        usable = [
            one
            for one in view.usable_targets(query.service)
            if one.name not in query.excluded_targets
        ]
        near = [one for one in usable if self._regions[one.failure_domain] == self._region]
        records = [self._records[one.name] for one in near]
        if not records:
            return Refused(FULL_RETURN_S)
        picked = self._pick(records, query.affinity_workload.key)
        if picked is None:
            return Refused(FULL_RETURN_S)
        return Admitted(Candidate(picked, 0.0, 0.0, 0.0, None))

    def record_answer(
        self, affinity_workload: AffinityWorkload, candidate: Candidate, took_s: float, now_s: float
    ) -> None:
        """Record nothing."""

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        raise NotImplementedError


class RoundRobin(_Baseline):
    """Send to one target after the other."""

    _turn = 0

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        self._turn += 1
        return records[self._turn % len(records)]


class LeastInFlight(_Baseline):
    """Send to the target with the fewest requests of this VM, ties at random."""

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        return min(records, key=lambda one: (one.in_flight, self._rng.random()))


class TwoChoices(_Baseline):
    """Send to the one with fewer requests of this VM among two drawn at random.

    After Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
    """

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        drawn = self._rng.sample(records, min(2, len(records)))
        return min(drawn, key=lambda one: one.in_flight)


class HashFirst(_Baseline):
    """Send to the first with a free slot among three that an object's hash names, or refuse.

    Rendezvous hashing after Thaler and Ravishankar (1998).
    """

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        ranked = heapq.nsmallest(HASHED, records, key=lambda one: unit_hash(key, one.target.name))
        free = (one for one in ranked if one.in_flight < one.target.slots)
        return next(free, None)


def one_queue_in_time(calls: Sequence[Call], slots: int, seed: int) -> float:
    """Return the share in time if all slots were one pool of targets that hold every object.

    Each call takes a free slot as it comes, or the next one if it can still be in time there; no
    way is longer than that within a region. No placement by separate VMs does better with the same
    work and the same order.
    """
    rng = random.Random(seed)
    free_at_s = [0.0] * slots
    in_time = 0
    for call in sorted(calls, key=lambda one: one.began_s):
        work_s = call.kind.work_s * call.kind.warm_share * rng.lognormvariate(0.0, 0.15)
        begin_s = max(call.began_s, free_at_s[0])
        if begin_s + work_s + NEAR_WAY_S - call.began_s <= call.kind.objective_s:
            heapq.heapreplace(free_at_s, begin_s + work_s)
            in_time += 1
    return in_time / max(1, len(calls))


def slots_of(replay: Replay) -> int:
    """Return the slots of all targets of a replay."""
    return sum(one.target.slots for one in replay.targets.values())
