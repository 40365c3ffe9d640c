"""Place requests on targets, using what one entry VM has learned about them."""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from chervilmill.overload._admission import (
    AdmissionRequest,
    Admitted,
    Refused,
    admit,
    affordable_wait_s,
)
from chervilmill.overload._affinity import AffinityRanking
from chervilmill.overload._candidates import AffinityWorkload, Candidate, choose_candidates
from chervilmill.overload._fair_shares import FairShares
from chervilmill.overload._fair_waits import FairWaits
from chervilmill.overload._hot_objects import HotObjects, HotRanks
from chervilmill.overload._others_per_slot import OthersPerSlot
from chervilmill.overload._region_chooser import RegionChooser
from chervilmill.overload._service_times import ServiceTimes
from chervilmill.overload._short_list import ShortLists
from chervilmill.overload._spill_budget import SpillBudget
from chervilmill.overload._target_groups import RegionTargets, TargetGroups
from chervilmill.overload._target_rates import RatedTarget, TargetRates
from chervilmill.overload._target_record import TargetRecord
from chervilmill.requests import Lifetime
from chervilmill.routing import (
    Configuration,
    EvacuationChanged,
    Organisation,
    SiteView,
    Target,
    TargetChanged,
    TargetRemoved,
    ViewChange,
    unit_hash,
)

NOT_HELD_RATIO = 2.0  # to the usual work; above this, the target did not hold the object
SAME_SPEED_RATIO = 1.2  # of two statements of a target, up to which its speed is unchanged
MIN_WORK_SHARE = 0.3  # of the usual work; a lower result means that the wait was overestimated
LIMITED_WORK_S = 0.5  # of a request, to convert a limit to slots; the same on every VM
MIN_USABLE_SLOTS = 0.1  # of a target with a limit, so that no region is without capacity
NO_TARGET_RETRY_AFTER_S = 0.5  # targets register within about a second of their return
# Between evaluations of all targets of a region because those of the short list are busy. With 200
# targets in a region, one takes half a millisecond.
EVALUATE_ALL_INTERVAL_S = 0.05
MAX_FOUND_FREE = 8  # targets that one such evaluation adds to those known to have free slots


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """A request for which a target is to be chosen.

    `excluded_targets` have already received the request. With `only_target`, no other target may
    run it. `region_position` is a number from 0 to 1 that selects the region of a request without
    affinity. `organisation` is that of the caller, if it is known.
    """

    service: str
    affinity_workload: AffinityWorkload
    admission: AdmissionRequest
    home_regions: frozenset[str]
    region_position: float
    excluded_targets: frozenset[str] = frozenset()
    only_target: str | None = None
    organisation: Organisation | None = None


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
        self._groups = TargetGroups(regions, self._records)
        self._region_chooser = RegionChooser(region, regions)
        self._short_lists = ShortLists(rng)
        self._hot_objects = HotObjects(rng)
        self._evaluated_all_s: dict[str, float] = {}
        self._spill_budget = SpillBudget()
        self._fair_waits: dict[str, FairWaits] = {}
        self._fair_shares: dict[str, FairShares] = {}
        self._others_per_slot = OthersPerSlot()
        self.service_times = ServiceTimes()
        self.rates = TargetRates(vm, region)
        self.round_trips_s: dict[str, float] = {}

    def apply(self, changes: Iterable[ViewChange], view: SiteView, now_s: float) -> None:
        """Update the records with changes of the site."""
        for change in changes:
            if isinstance(change, TargetChanged):
                self._update_record(change.target, now_s, is_new=change.previous is None)
                self._groups.forget(change.target.service)
                if change.previous is not None:
                    self._groups.forget(change.previous.service)
            elif isinstance(change, TargetRemoved):
                self._records.pop(change.target.name, None)
                self._groups.forget(change.target.service)
                self.rates.forget(change.target.name)
            elif isinstance(change, EvacuationChanged):
                self._groups.forget_all()
                if not change.is_evacuated:
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
        if query.organisation is None or query.excluded_targets:
            return self._place(query, view, now_s)  # a request that moves was counted before
        organisation = query.organisation
        shares = self._fair_shares.setdefault(query.service, FairShares())
        facts = (
            organisation.name,
            organisation.rate_per_s,
            self.service_times.expected_s(query.affinity_workload.workload, None),
            now_s,
        )
        retry_after_s = shares.retry_after_s(organisation.name, now_s, self._rng)
        if retry_after_s is not None:
            shares.record_held_back(*facts)
            return Refused(retry_after_s, is_above_fair_share=True)
        decision = self._place(query, view, now_s)
        shares.record_placed(*facts, is_admitted=isinstance(decision, Admitted))
        return decision

    def _place(self, query: PlacementQuery, view: SiteView, now_s: float) -> Admitted | Refused:
        usable = self._groups.by_region(query.service, view)
        homes = query.home_regions
        allowed = {name: usable[name] for name in homes & usable.keys()} if homes else usable
        if query.only_target is not None:
            allowed, region = _only_target(allowed, query.only_target)
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
        if key:
            self._short_lists.record_sent(record.target.name, key)
            self._hot_objects.record_sent(self._group_name(record.target), key, now_s)
        return record.start(key, candidate.expected_answer_s, now_s)

    def record_load(
        self, record: TargetRecord, total: int, now_s: float, work_ratio: float | None = None
    ) -> None:
        """Record how many requests a target reported to have, and how long its work takes.

        `work_ratio` is the ratio to the usual work, or None if the target does not state it.
        """
        others = record.record_load(total, now_s, work_ratio)
        group = self._group_name(record.target)
        self._others_per_slot.record(group, others, now_s)
        has_room = total + 1 <= record.target.slots
        self._short_lists.record_room(group, record.target.name, has_room=has_room)

    def record_answer(
        self, affinity_workload: AffinityWorkload, candidate: Candidate, took_s: float, now_s: float
    ) -> None:
        """Update the estimates for target and route with the time of an answered request.

        What the target stated of its speed, before the request and with the answer, is taken out of
        the time, as the stated slowness would count twice if it were learnt as well. An answer of a
        target that changed its speed meanwhile tells nothing of the usual work.
        """
        record, workload = candidate.record, affinity_workload.workload
        round_trip_s = candidate.unqueued_s - candidate.work_s
        rank = candidate.unproven_rank
        usual_s = self.service_times.expected_s(workload, rank)
        work_s = max(took_s - round_trip_s - candidate.wait_s, MIN_WORK_SHARE * usual_s)
        stated = (candidate.stated_slowness, record.stated_slowness(now_s))
        unexplained_s = work_s / max(stated)
        if rank is None and unexplained_s > NOT_HELD_RATIO * usual_s:
            record.forget(affinity_workload.key)
        record.record_work(unexplained_s, unexplained_s / usual_s if rank is None else None, now_s)
        if max(stated) <= SAME_SPEED_RATIO * min(stated):
            usual_work_s = work_s / record.slowness(now_s)
            self.service_times.record_answer(workload, usual_work_s, rank, now_s)

    def record_round_trip(self, domain: str, seconds: float) -> None:
        """Update the round-trip estimate of a failure domain with the duration of a handshake.

        The estimate follows the shortest handshakes: a longer one raises it by 2% at most.
        """
        previous = self.round_trips_s.get(domain)
        self.round_trips_s[domain] = seconds if previous is None else min(previous * 1.02, seconds)

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

    def _group_name(self, target: Target) -> str:
        return f"{target.service}/{self._regions.get(target.failure_domain, '')}"

    def _is_in_home_region(self, target: Target, homes: Collection[str]) -> bool:
        return not homes or self._regions.get(target.failure_domain) in homes

    def _choose_region(
        self, query: PlacementQuery, targets: Mapping[str, RegionTargets], now_s: float
    ) -> str | None:
        key = query.affinity_workload.key
        position = unit_hash(key, "region") if key else query.region_position
        has_limits = not self.rates.limits.is_empty
        return self._region_chooser.choose(
            query.service,
            query.home_regions,
            position,
            lambda: {name: self._capacity(group, now_s) for name, group in targets.items()},
            (self._groups.version, has_limits),
            now_s,
        )

    def _capacity(self, group: RegionTargets, now_s: float) -> float:
        if self.rates.limits.is_empty:
            return group.slots
        return sum(self._usable_slots(target, now_s) for target in group.targets)

    def _usable_slots(self, target: Target, now_s: float) -> float:
        """Return the slots that a target can fill, which a limit of its rate may reduce."""
        per_s = self.rates.limits.per_s(_lifetime(target), now_s)
        if per_s is None:
            return target.slots
        return min(target.slots, max(MIN_USABLE_SLOTS, per_s * LIMITED_WORK_S))

    def _place_in_region(
        self,
        region: str,
        query: PlacementQuery,
        targets: Mapping[str, RegionTargets],
        cfg: Configuration | None,
        now_s: float,
    ) -> Admitted | Refused | None:
        """Place a request at a target of the short list, or else at any target of a region.

        All targets are evaluated if none of the short list may receive the request. If those of the
        short list are only busy, all are evaluated at intervals.
        """
        group = targets.get(region) if region else None
        if group is None:
            return None
        key = query.affinity_workload.key
        ranks: Mapping[str, int] = {}
        if key and query.only_target is None:
            ranks = self._ranking.ranks(group.name, group.targets, key)
        hot = self._hot_ranks(group, query, ranks, now_s)
        ranks = hot.ranks if hot is not None else ranks
        listed = self._short_lists.choose(group, key, ranks)
        if hot is not None:
            listed = hot.choose(listed)
        is_all = len(listed) == len(group.records)
        records = self._available(listed, query, cfg, now_s, may_be_ejected=is_all)
        decision = self._choose(records, group, query, ranks, now_s)
        if is_all or isinstance(decision, Admitted):
            return decision
        evaluated_s = self._evaluated_all_s.get(group.name, -math.inf)
        if decision is not None and now_s - evaluated_s < EVALUATE_ALL_INTERVAL_S:
            return decision
        self._evaluated_all_s[group.name] = now_s
        records = self._available(group.records, query, cfg, now_s, may_be_ejected=True)
        self._record_free(group, records, now_s)
        return self._choose(records, group, query, ranks, now_s)

    def _hot_ranks(
        self, group: RegionTargets, query: PlacementQuery, ranks: Mapping[str, int], now_s: float
    ) -> HotRanks | None:
        """Return the targets of a popular object, or None for other objects and without ranks."""
        if not ranks:
            return None
        workload = query.affinity_workload
        work_s = self.service_times.expected_s(workload.workload, None)
        vms = len(self.rates.vms_by_region.get(self._region, ())) or 1
        count = self._hot_objects.target_count(group, workload.key, work_s, vms, now_s)
        return self._hot_objects.ranks(group, workload.key, ranks, count)

    def _available(
        self,
        records: Iterable[TargetRecord],
        query: PlacementQuery,
        cfg: Configuration | None,
        now_s: float,
        *,
        may_be_ejected: bool,
    ) -> list[TargetRecord]:
        """Return the records of targets that may receive a request now.

        Ejected targets count only with `may_be_ejected`, and only if all are ejected.
        """
        excluded = query.excluded_targets
        allowed = [record for record in records if record.target.name not in excluded]
        reachable = [record for record in allowed if not record.is_ejected(now_s)]
        if may_be_ejected:
            reachable = reachable or allowed
        return [record for record in reachable if self._may_receive(record, cfg, now_s)]

    def _choose(
        self,
        records: Iterable[TargetRecord],
        group: RegionTargets,
        query: PlacementQuery,
        ranks: Mapping[str, int],
        now_s: float,
    ) -> Admitted | Refused | None:
        options = choose_candidates(
            records,
            query.affinity_workload,
            ranks,
            self.round_trips_s,
            self.service_times,
            self._others_per_slot.mean(group.name, now_s),
            now_s,
        )
        if options is None:
            return None
        return admit(self._admission_request(query, now_s), options, self._rng)

    def _admission_request(self, query: PlacementQuery, now_s: float) -> AdmissionRequest:
        """Return the facts about a request with those that the fleet knows."""
        workload, priority = query.affinity_workload.workload, query.admission.priority
        waits = self._fair_waits.setdefault(query.service, FairWaits())
        admission = replace(
            query.admission,
            longest_round_trip_s=max(self.round_trips_s.values(), default=0.0),
            longest_wait_s=waits.longest_s(priority, now_s),
        )
        wait_s = affordable_wait_s(admission, self.service_times.expected_s(workload, None))
        waits.record(workload.route, priority, wait_s, now_s)
        return admission

    def _record_free(
        self, group: RegionTargets, records: Iterable[TargetRecord], now_s: float
    ) -> None:
        free = [record.target.name for record in records if record.has_free_slot(now_s)]
        for name in self._rng.sample(free, min(MAX_FOUND_FREE, len(free))):
            self._short_lists.record_room(group.name, name, has_room=True)

    def _place_in_other_region(
        self,
        full_region: str,
        query: PlacementQuery,
        targets: Mapping[str, RegionTargets],
        view: SiteView,
        now_s: float,
    ) -> Admitted | None:
        for region in sorted(targets.keys() - {full_region}):
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
        targets: Mapping[str, RegionTargets],
        cfg: Configuration | None,
        now_s: float,
    ) -> Refused:
        rated = [
            self._rated(record, cfg, now_s)
            for group in targets.values()
            for record in group.records
            if record.target.name not in query.excluded_targets
        ]
        retry_after_s = self.rates.retry_after_s(rated, now_s)
        if retry_after_s is None:
            return Refused(NO_TARGET_RETRY_AFTER_S)
        return Refused(retry_after_s, is_rate_limited=True)


def _only_target(
    groups: Mapping[str, RegionTargets], name: str
) -> tuple[dict[str, RegionTargets], str | None]:
    """Return the group that has only the named target, and its region if it is known."""
    for region, group in groups.items():
        record = group.by_name.get(name)
        if record is not None:
            only = RegionTargets(
                group.name, (record.target,), (record,), {name: record}, record.target.slots
            )
            return {region: only}, region or None
    return {}, None


def _lifetime(target: Target) -> Lifetime:
    return Lifetime(target.name, target.incarnation)
