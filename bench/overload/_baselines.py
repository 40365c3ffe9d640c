"""Place requests by the rules of common balancers, for comparison with chervilmill.

Each baseline sends requests to targets of its own region and learns nothing from answers. Only
the hashing baseline refuses requests itself. With the others, a full target rejects the requests
that do not fit in its queue.
"""

import heapq
import random
from collections.abc import Sequence

from bench.overload._replay import ONE_WAY_S, Call, Replay
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

FULL_RETRY_AFTER_S = 0.4  # about the time until a slot of a full target becomes free
HASHED_TARGETS = 3  # targets tried for each object
SAME_REGION_ROUND_TRIP_S = 2 * ONE_WAY_S[True]


class _Baseline(TargetFleet):
    """A fleet that admits each request to the target that a simple rule chooses."""

    def place(self, query: PlacementQuery, view: SiteView, now_s: float) -> Admitted | Refused:
        """Return the chosen target, or a refusal if the rule finds none."""
        usable = [
            target
            for target in view.usable_targets(query.service)
            if target.name not in query.excluded_targets
        ]
        in_region = [
            target for target in usable if self._regions[target.failure_domain] == self._region
        ]
        records = [self._records[target.name] for target in in_region]
        if not records:
            return Refused(FULL_RETRY_AFTER_S)
        record = self._pick(records, query.affinity_workload.key)
        if record is None:
            return Refused(FULL_RETRY_AFTER_S)
        return Admitted(Candidate(record, 0.0, 0.0, 0.0, None))

    def record_answer(
        self, affinity_workload: AffinityWorkload, candidate: Candidate, took_s: float, now_s: float
    ) -> None:
        """Ignore the answer."""

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        raise NotImplementedError


class RoundRobin(_Baseline):
    """Choose the targets in turn."""

    _turn = 0

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        self._turn += 1
        return records[self._turn % len(records)]


class LeastInFlight(_Baseline):
    """Choose the target with the fewest requests of this VM, and among equals at random."""

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        return min(records, key=lambda record: (record.in_flight, self._rng.random()))


class TwoChoices(_Baseline):
    """Draw two targets at random and choose the one with fewer requests of this VM.

    After Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
    """

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        sampled = self._rng.sample(records, min(2, len(records)))
        return min(sampled, key=lambda record: record.in_flight)


class HashFirst(_Baseline):
    """Choose the first target with a free slot among the three ranked first by the object's hash.

    The request is refused if none of the three has a free slot.

    Rendezvous hashing after Thaler and Ravishankar (1998).
    """

    def _pick(self, records: Sequence[TargetRecord], key: str) -> TargetRecord | None:
        ranked = heapq.nsmallest(
            HASHED_TARGETS, records, key=lambda record: unit_hash(key, record.target.name)
        )
        free = (record for record in ranked if record.in_flight < record.target.slots)
        return next(free, None)


def single_queue_in_time_share(calls: Sequence[Call], slots: int, seed: int) -> float:
    """Return the share in time if all slots shared one queue and held every object.

    Each call starts in the first slot to become free if it can still be in time there, and is
    dropped otherwise. Every round trip takes as long as one within a region. No placement by
    separate VMs achieves more with the same work in the same order.
    """
    rng = random.Random(seed)
    free_at_s = [0.0] * slots
    in_time = 0
    for call in sorted(calls, key=lambda call: call.began_s):
        work_s = call.kind.work_s * call.kind.warm_share * rng.lognormvariate(0.0, 0.15)
        start_s = max(call.began_s, free_at_s[0])
        if start_s + work_s + SAME_REGION_ROUND_TRIP_S - call.began_s <= call.kind.objective_s:
            heapq.heapreplace(free_at_s, start_s + work_s)
            in_time += 1
    return in_time / max(1, len(calls))


def total_slots(replay: Replay) -> int:
    """Return the number of slots of all targets of a replay."""
    return sum(simulated.target.slots for simulated in replay.targets.values())
