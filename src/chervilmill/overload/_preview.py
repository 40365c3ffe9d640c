"""Show where a request would be placed now, without changing what this VM knows.

The decision is that of `TargetFleet.place`. It runs on a copy of all state that a placement
changes, with the same state of the random source, so the next placement of the same request makes
the same choice. Caches of values that follow from the targets alone are shared.
"""

import copy
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilmill.overload._admission import Admitted, Refused
from chervilmill.overload._candidates import Candidate, choose_candidates
from chervilmill.overload._fleet import PlacementQuery, TargetFleet
from chervilmill.overload._target_groups import RegionTargets
from chervilmill.overload._target_record import TargetRecord
from chervilmill.routing import SiteView


@dataclass(frozen=True, slots=True)
class PlacementPreview:
    """A decision, the shares of the regions, and the evaluated targets with the shortest first."""

    decision: Admitted | Refused
    region_shares: Mapping[str, float]
    candidates: tuple[Candidate, ...]


def preview_placement(
    fleet: TargetFleet, query: PlacementQuery, view: SiteView, now_s: float
) -> PlacementPreview:
    """Return what `fleet.place` would decide."""
    trial = _TrialFleet(fleet)
    decision = trial.place(query, view, now_s)
    shares = trial.region_shares(query)
    ordered = sorted(trial.evaluated.values(), key=lambda one: one.expected_answer_s)
    return PlacementPreview(decision, shares, tuple(ordered))


class _TrialFleet(TargetFleet):
    """A copy of a fleet for one placement, which records the evaluated targets."""

    def __init__(self, fleet: TargetFleet) -> None:
        self.__dict__.update(fleet.__dict__)
        self.evaluated: dict[str, Candidate] = {}
        self._rng = random.Random()
        self._rng.setstate(fleet._rng.getstate())
        self._region_chooser = copy.deepcopy(fleet._region_chooser)
        self._evaluated_all_s = dict(fleet._evaluated_all_s)
        self._spill_budget = copy.copy(fleet._spill_budget)
        self._short_lists = fleet._short_lists.copy_with(self._rng)
        self._hot_objects = fleet._hot_objects.copy_with(self._rng)
        self._fair_shares = copy.deepcopy(fleet._fair_shares)
        self._fair_waits = copy.deepcopy(fleet._fair_waits)
        self.rates = copy.copy(fleet.rates)
        self.rates._limiter = copy.deepcopy(fleet.rates._limiter)

    def region_shares(self, query: PlacementQuery) -> Mapping[str, float]:
        """Return the shares that applied to a query, after it was placed."""
        in_use = self._region_chooser._in_use.get((query.service, query.home_regions))
        return dict(in_use.current) if in_use is not None else {}

    def _choose(
        self,
        records: Iterable[TargetRecord],
        group: RegionTargets,
        query: PlacementQuery,
        ranks: Mapping[str, int],
        now_s: float,
    ) -> Admitted | Refused | None:
        listed = list(records)
        others_per_slot = self._others_per_slot.mean(group.name, now_s)
        for record in listed:
            options = choose_candidates(
                (record,),
                query.affinity_workload,
                ranks,
                self.round_trips_s,
                self.service_times,
                others_per_slot,
                now_s,
            )
            if options is not None:
                self.evaluated[record.target.name] = options.first
        return super()._choose(listed, group, query, ranks, now_s)
