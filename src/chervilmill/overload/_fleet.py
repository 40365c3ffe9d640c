"""Place requests on targets, using what one entry VM has learned about them."""

import math
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from chervilmill.overload._admission import AdmissionRequest, Admitted, Refused, admit
from chervilmill.overload._affinity import AffinityRanking
from chervilmill.overload._candidates import AffinityWorkload, Candidate, choose_candidates
from chervilmill.overload._region_shares import RegionShares, desired_region_shares, region_at
from chervilmill.overload._service_times import ServiceTimes
from chervilmill.overload._spill_budget import SpillBudget
from chervilmill.overload._target_rates import RatedTarget, TargetRates
from chervilmill.overload._target_record import TargetRecord
from chervilmill.requests import Lifetime
from chervilmill.routing import (
    Configuration,
    EvacuationChanged,
    SiteView,
    Target,
    TargetChanged,
    TargetRemoved,
    ViewChange,
    unit_hash,
)

OTHERS_PER_SLOT_WEIGHT = 0.1  # a memory of ten reports, under a second at a busy entry VM
OTHERS_PER_SLOT_HALF_LIFE_S = 1.0  # without further reports
NOT_HELD_RATIO = 2.0  # to the usual work; above this, the target did not hold the object
MIN_WORK_SHARE = 0.3  # of the usual work; a lower result means that the wait was overestimated
LIMITED_WORK_S = 0.5  # of a request, to convert a limit to slots; the same on every VM
MIN_USABLE_SLOTS = 0.1  # of a target with a limit, so that no region is without capacity
NO_TARGET_RETRY_AFTER_S = 0.5  # targets register within about a second of their return


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """A request for which a target is to be chosen.

    `excluded_targets` have already received the request. With `only_target`, no other target may
    run it. `region_position` is a number from 0 to 1 that selects the region of a request without
    affinity.
    """

    service: str
    affinity_workload: AffinityWorkload
    admission: AdmissionRequest
    home_regions: frozenset[str]
    region_position: float
    excluded_targets: frozenset[str] = frozenset()
    only_target: str | None = None


class TargetFleet:
    """The records of all targets, and the choice among them."""

    def __init__(
        self, vm: str, region: str, regions: Mapping[str, str], rng: random.Random
    ) -> None:
        self._region = region
        self._regions = regions
        self._rng = rng
        self._records: dict[str, TargetRecord] = {}
        self._ranking = AffinityRanking()
        self._shares_by_group: dict[str, RegionShares] = {}
        self._spill_budget = SpillBudget()
        self._others_per_slot_by_group: dict[str, tuple[float, float]] = {}
        self._usable_by_service: dict[str, list[Target]] = {}
        self.service_times = ServiceTimes()
        self.rates = TargetRates(vm, region)
        self.round_trips_s: dict[str, float] = {}

    def apply(self, changes: Iterable[ViewChange], view: SiteView, now_s: float) -> None:
        """Update the records with changes of the site."""
        for change in changes:
            self._usable_by_service.clear()
            if isinstance(change, TargetChanged):
                self._update_record(change.target, now_s, is_new=change.previous is None)
            elif isinstance(change, TargetRemoved):
                self._records.pop(change.target.name, None)
                self.rates.forget(change.target.name)
            elif isinstance(change, EvacuationChanged) and not change.is_evacuated:
                self._mark_domain_cold(change.failure_domain, view.configuration, now_s)

    def record(self, name: str) -> TargetRecord | None:
        """Return the record of a target, or None if the target is unknown."""
        return self._records.get(name)

    def count_request(self) -> None:
        """Record a request of a caller."""
        self._spill_budget.deposit()

    def is_allowed(
        self, target: Target, service: str, home_regions: frozenset[str], view: SiteView
    ) -> bool:
        """Return whether a target may run a request for a service with these home regions."""
        is_usable = view.is_usable(target, service)
        return is_usable and self._is_in_home_region(target, home_regions)

    def place(self, query: PlacementQuery, view: SiteView, now_s: float) -> Admitted | Refused:
        """Choose a target for a request, or refuse the request."""
        usable = self._usable_targets(query.service, view)
        allowed = [
            target for target in usable if self._is_in_home_region(target, query.home_regions)
        ]
        if query.only_target is not None:
            allowed = [target for target in allowed if target.name == query.only_target]
            region = self._regions.get(allowed[0].failure_domain) if allowed else None
        else:
            region = self._choose_region(query, allowed, now_s)
        if region is None:
            return self._refuse_without_room(query, usable, view.configuration, now_s)
        decision = self._place_in_region(region, query, allowed, view.configuration, now_s)
        if not isinstance(decision, Admitted) and self._spill_budget.can_withdraw():
            decision = self._place_in_other_region(region, query, allowed, view, now_s) or decision
        return decision or self._refuse_without_room(query, allowed, view.configuration, now_s)

    def is_sender(self, record: TargetRecord, cfg: Configuration | None, now_s: float) -> bool:
        """Return whether this VM may send requests to a target, now or as soon as it has room."""
        is_paused = self.rates.pauses.left_s(_lifetime(record.target), now_s) > 0
        return not is_paused and math.isfinite(self._room_in_s(record, cfg, now_s))

    def start(self, candidate: Candidate, key: str, now_s: float) -> int:
        """Record a request that is sent to a candidate, and return its serial number there."""
        record = candidate.record
        lifetime = _lifetime(record.target)
        if record.is_cold(now_s) or self.rates.limits.per_s(lifetime, now_s) is not None:
            self.rates.count(lifetime, now_s)
        return record.start(key, candidate.expected_answer_s, now_s)

    def record_load(self, record: TargetRecord, total: int, now_s: float) -> None:
        """Record how many requests a target reported to have."""
        others = record.record_load(total, now_s)
        region = self._regions.get(record.target.failure_domain, "")
        group = f"{record.target.service}/{region}"
        previous = (
            self._others_per_slot(group, now_s)
            if group in self._others_per_slot_by_group
            else others
        )
        mean = previous + OTHERS_PER_SLOT_WEIGHT * (others - previous)
        self._others_per_slot_by_group[group] = (mean, now_s)

    def record_answer(
        self, affinity_workload: AffinityWorkload, candidate: Candidate, took_s: float, now_s: float
    ) -> None:
        """Update the estimates for target and route with the time of an answered request."""
        record, workload = candidate.record, affinity_workload.workload
        round_trip_s = candidate.unqueued_s - candidate.work_s
        rank = candidate.unproven_rank
        usual_s = self.service_times.expected_s(workload, rank)
        work_s = max(took_s - round_trip_s - candidate.wait_s, MIN_WORK_SHARE * usual_s)
        if rank is None and work_s > NOT_HELD_RATIO * usual_s:
            record.forget(affinity_workload.key)
        record.record_work(work_s, work_s / usual_s if rank is None else None, now_s)
        self.service_times.record_answer(workload, work_s / record.slowness(now_s), rank, now_s)

    def record_round_trip(self, domain: str, seconds: float) -> None:
        """Update the round-trip estimate of a failure domain with the duration of a handshake.

        The estimate follows the shortest handshakes: a longer one raises it by 2% at most.
        """
        previous = self.round_trips_s.get(domain)
        self.round_trips_s[domain] = seconds if previous is None else min(previous * 1.02, seconds)

    def _others_per_slot(self, group: str, now_s: float) -> float:
        """Return the average number of other VMs' requests for each slot in a group of targets.

        The average decays without reports. Otherwise, a VM that refuses every request would never
        learn that the targets have free slots again.
        """
        mean, at_s = self._others_per_slot_by_group.get(group, (0.0, now_s))
        return mean * math.exp2(-(now_s - at_s) / OTHERS_PER_SLOT_HALF_LIFE_S)

    def _update_record(self, target: Target, now_s: float, *, is_new: bool) -> None:
        record = self._records.get(target.name)
        if record is None or is_new:
            self._records[target.name] = TargetRecord(target, now_s)
            return
        record.target = target
        if target.cold_left_s > 0:
            record.cold_until_s = max(record.cold_until_s, now_s + target.cold_left_s)

    def _mark_domain_cold(self, domain: str, cfg: Configuration | None, now_s: float) -> None:
        """Treat the targets of a failure domain as cold when its evacuation ends.

        The targets count as cold for the cold start time of their service, or for longer if they
        say so.
        """
        for record in self._records.values():
            policy = cfg.services.get(record.target.service) if cfg else None
            if record.target.failure_domain == domain and policy is not None:
                until_s = now_s + policy.cold_start_s
                record.cold_until_s = max(record.cold_until_s, until_s)

    def _usable_targets(self, service: str, view: SiteView) -> list[Target]:
        found = self._usable_by_service.get(service)
        if found is None:
            found = view.usable_targets(service)
            self._usable_by_service[service] = found
        return found

    def _is_in_home_region(self, target: Target, homes: Collection[str]) -> bool:
        return not homes or self._regions.get(target.failure_domain) in homes

    def _choose_region(
        self, query: PlacementQuery, targets: Sequence[Target], now_s: float
    ) -> str | None:
        capacity: dict[str, float] = {}
        for target in targets:
            region = self._regions.get(target.failure_domain, "")
            capacity[region] = capacity.get(region, 0.0) + self._usable_slots(target, now_s)
        if not capacity:
            return None
        demand: dict[str, float] = {}
        for region in self._regions.values():
            demand[region] = demand.get(region, 0.0) + 1.0
        desired = desired_region_shares(self._region, demand, capacity)
        group = f"{query.service}/{','.join(sorted(query.home_regions))}"
        shares = self._shares_by_group.setdefault(group, RegionShares()).advance(desired, now_s)
        key = query.affinity_workload.key
        position = unit_hash(key, "region") if key else query.region_position
        return region_at(shares, position)

    def _usable_slots(self, target: Target, now_s: float) -> float:
        """Return the slots that a target can fill, which a limit of its rate may reduce."""
        if self.rates.limits.is_empty:
            return target.slots
        per_s = self.rates.limits.per_s(_lifetime(target), now_s)
        if per_s is None:
            return target.slots
        return min(target.slots, max(MIN_USABLE_SLOTS, per_s * LIMITED_WORK_S))

    def _place_in_region(
        self,
        region: str,
        query: PlacementQuery,
        targets: Sequence[Target],
        cfg: Configuration | None,
        now_s: float,
    ) -> Admitted | Refused | None:
        local = [target for target in targets if self._regions.get(target.failure_domain) == region]
        key = query.affinity_workload.key
        ranks = self._ranking.ranks(f"{query.service}/{region}", local, key) if key else {}
        records = [
            self._records[target.name]
            for target in local
            if target.name not in query.excluded_targets
        ]
        reachable = [record for record in records if not record.is_ejected(now_s)] or records
        available = [record for record in reachable if self._may_receive(record, cfg, now_s)]
        options = choose_candidates(
            available,
            query.affinity_workload,
            ranks,
            self.round_trips_s,
            self.service_times,
            self._others_per_slot(f"{query.service}/{region}", now_s),
            now_s,
        )
        if options is None:
            return None
        admission = replace(
            query.admission, longest_round_trip_s=max(self.round_trips_s.values(), default=0.0)
        )
        return admit(admission, options, self._rng)

    def _place_in_other_region(
        self,
        full_region: str,
        query: PlacementQuery,
        targets: Sequence[Target],
        view: SiteView,
        now_s: float,
    ) -> Admitted | None:
        others = sorted(
            {self._regions.get(target.failure_domain, "") for target in targets} - {full_region}
        )
        for region in others:
            decision = self._place_in_region(region, query, targets, view.configuration, now_s)
            if isinstance(decision, Admitted):
                self._spill_budget.withdraw()
                return decision
        return None

    def _may_receive(self, record: TargetRecord, cfg: Configuration | None, now_s: float) -> bool:
        """Return whether this VM may send a request to a target now."""
        return self._room_in_s(record, cfg, now_s) <= 0

    def _room_in_s(self, record: TargetRecord, cfg: Configuration | None, now_s: float) -> float:
        if not record.is_cold(now_s) and self.rates.is_unlimited:
            return 0.0
        return self.rates.room_in_s(self._rated(record, cfg, now_s), now_s)

    def _rated(self, record: TargetRecord, cfg: Configuration | None, now_s: float) -> RatedTarget:
        target = record.target
        cold_per_s = None
        if record.is_cold(now_s):
            policy = cfg.services.get(target.service) if cfg else None
            cold_per_s = policy.cold_rate_per_s if policy is not None else 0.0
        region = self._regions.get(target.failure_domain, "")
        return RatedTarget(_lifetime(target), region, cold_per_s)

    def _refuse_without_room(
        self,
        query: PlacementQuery,
        targets: Sequence[Target],
        cfg: Configuration | None,
        now_s: float,
    ) -> Refused:
        rated = [
            self._rated(self._records[target.name], cfg, now_s)
            for target in targets
            if target.name not in query.excluded_targets
        ]
        retry_after_s = self.rates.retry_after_s(rated, now_s)
        if retry_after_s is None:
            return Refused(NO_TARGET_RETRY_AFTER_S)
        return Refused(retry_after_s, is_rate_limited=True)


def _lifetime(target: Target) -> Lifetime:
    return Lifetime(target.name, target.incarnation)
