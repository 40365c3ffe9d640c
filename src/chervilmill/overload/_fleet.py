"""Bring the knowledge of targets and the decisions on them together for one entry VM."""

import math
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from chervilmill.overload._admission import Admission, Admitted, Refused, admit
from chervilmill.overload._affinity import AffinityRanking
from chervilmill.overload._candidates import Candidate, PlacementRequest, choose
from chervilmill.overload._cold_rate import ColdGate
from chervilmill.overload._region_shares import RegionShares, home_shares, region_of_key
from chervilmill.overload._service_times import ServiceTimes
from chervilmill.overload._spill_budget import SpillAllowance
from chervilmill.overload._target_record import TargetRecord
from chervilmill.routing import (
    Configuration,
    EvacuationChanged,
    SiteView,
    Target,
    TargetChanged,
    TargetGone,
    ViewChange,
    unit_hash,
)

USUAL_OTHERS_WEIGHT = 0.1  # ten reports of memory: under a second at a busy entry VM
USUAL_OTHERS_HALF_LIFE_S = 1.0  # without a report
NOT_HELD_RATIO = 2.0  # to the usual work, above which a target did not hold the object
MIN_WORK_SHARE = 0.3  # of the usual work; less shows that the wait was overestimated
NO_TARGET_RETURN_S = 0.5  # targets register within about a second of coming back


@dataclass(frozen=True, slots=True)
class Asked:
    """Describe a request for placement; `excluded` are targets that it was sent to before.

    With `only`, no other target may run it.
    """

    service: str
    placement: PlacementRequest
    admission: Admission
    home_regions: frozenset[str]
    spread: float
    excluded: frozenset[str] = frozenset()
    only: str | None = None


class TargetFleet:
    """Hold the records of all targets and choose among them."""

    def __init__(
        self, vm: str, region: str, regions: Mapping[str, str], rng: random.Random
    ) -> None:
        self._region = region
        self._regions = regions
        self._rng = rng
        self._records: dict[str, TargetRecord] = {}
        self._ranking = AffinityRanking()
        self._shares: dict[str, RegionShares] = {}
        self._spill = SpillAllowance()
        self._cold = ColdGate(vm)
        self._usual_others: dict[str, tuple[float, float]] = {}
        self._usable: dict[str, list[Target]] = {}
        self.times = ServiceTimes()
        self.round_trips_s: dict[str, float] = {}
        self.vms_by_region: dict[str, list[str]] = {region: [vm]}

    def apply(self, changes: Iterable[ViewChange], view: SiteView, now_s: float) -> None:
        """Take in what has changed at the site."""
        for change in changes:
            self._usable.clear()
            if isinstance(change, TargetChanged):
                self._put(change.target, now_s, is_new=change.previous is None)
            elif isinstance(change, TargetGone):
                self._records.pop(change.target.name, None)
                self._cold.forget(change.target.name)
            elif isinstance(change, EvacuationChanged) and not change.is_evacuated:
                self._chill(change.failure_domain, view.configuration, now_s)

    def record(self, name: str) -> TargetRecord | None:
        """Return what is known of a target."""
        return self._records.get(name)

    def receive(self) -> None:
        """Count a request of a caller."""
        self._spill.earn()

    def place(self, asked: Asked, view: SiteView, now_s: float) -> Admitted | Refused:
        """Choose a target for a request, or turn it away."""
        usable = self._usable_targets(asked.service, view)
        allowed = [one for one in usable if self._is_home(one, asked.home_regions)]
        if asked.only is not None:
            allowed = [one for one in allowed if one.name == asked.only]
            region = self._regions.get(allowed[0].failure_domain) if allowed else None
        else:
            region = self._run_region(asked, allowed, now_s)
        if region is None:
            return Refused(NO_TARGET_RETURN_S)
        decision = self._place_in(region, asked, allowed, view.configuration, now_s)
        if isinstance(decision, Admitted) or not self._spill.has_room():
            return decision or Refused(NO_TARGET_RETURN_S)
        return self._place_elsewhere(region, asked, allowed, view, now_s) or (
            decision or Refused(NO_TARGET_RETURN_S)
        )

    def start(self, candidate: Candidate, key: str, now_s: float) -> int:
        """Count a request that is sent to a candidate; returns its number there."""
        target = candidate.record.target
        if candidate.record.is_cold(now_s):
            self._cold.count(target.name, target.incarnation)
        return candidate.record.start(key, candidate.finish_s, now_s)

    def learn_load(self, record: TargetRecord, total: int, now_s: float) -> None:
        """Take in how many requests a target said it has."""
        others = record.learn_load(total, now_s)
        region = self._regions.get(record.target.failure_domain, "")
        group = f"{record.target.service}/{region}"
        known = self._usual(group, now_s) if group in self._usual_others else others
        mean = known + USUAL_OTHERS_WEIGHT * (others - known)
        self._usual_others[group] = (mean, now_s)

    def learn(
        self, placement: PlacementRequest, candidate: Candidate, took_s: float, now_s: float
    ) -> None:
        """Take in how long an answered request took, and what that says of target and route."""
        record, work = candidate.record, placement.work
        way_s = candidate.unwaited_s - candidate.work_s
        rank = candidate.unproven_rank
        usual_s = self.times.expected_s(work, rank)
        work_s = max(took_s - way_s - candidate.wait_s, MIN_WORK_SHARE * usual_s)
        if rank is None and work_s > NOT_HELD_RATIO * usual_s:
            record.forget(placement.key)
        record.learn_work(work_s, work_s / usual_s if rank is None else None, now_s)
        self.times.learn(work, work_s / record.slowness(now_s), rank, now_s)

    def learn_round_trip(self, domain: str, seconds: float) -> None:
        """Take in the time of a handshake with a target."""
        known = self.round_trips_s.get(domain)
        self.round_trips_s[domain] = seconds if known is None else min(known * 1.02, seconds)

    def _usual(self, group: str, now_s: float) -> float:
        """Return what other VMs have at a target of a group, a slot; it lapses without reports.

        If it did not, a VM that refuses all it is asked would never learn that there is room.
        """
        mean, at_s = self._usual_others.get(group, (0.0, now_s))
        return mean * math.exp2(-(now_s - at_s) / USUAL_OTHERS_HALF_LIFE_S)

    def _put(self, target: Target, now_s: float, *, is_new: bool) -> None:
        record = self._records.get(target.name)
        if record is None or is_new:
            self._records[target.name] = TargetRecord(target, now_s)
            return
        record.target = target
        if target.cold_left_s > 0:
            record.cold_until_s = max(record.cold_until_s, now_s + target.cold_left_s)

    def _chill(self, domain: str, cfg: Configuration | None, now_s: float) -> None:
        """Treat the targets of a domain that is taken back as cold until they say otherwise."""
        for record in self._records.values():
            policy = cfg.services.get(record.target.service) if cfg else None
            if record.target.failure_domain == domain and policy is not None:
                until_s = now_s + policy.cold_start_s
                record.cold_until_s = max(record.cold_until_s, until_s)

    def _usable_targets(self, service: str, view: SiteView) -> list[Target]:
        found = self._usable.get(service)
        if found is None:
            found = view.usable(service)
            self._usable[service] = found
        return found

    def _is_home(self, target: Target, homes: Collection[str]) -> bool:
        return not homes or self._regions.get(target.failure_domain) in homes

    def _run_region(self, asked: Asked, targets: Sequence[Target], now_s: float) -> str | None:
        capacity: dict[str, float] = {}
        for target in targets:
            region = self._regions.get(target.failure_domain, "")
            capacity[region] = capacity.get(region, 0.0) + target.slots
        if not capacity:
            return None
        demand: dict[str, float] = {}
        for region in self._regions.values():
            demand[region] = demand.get(region, 0.0) + 1.0
        wanted = home_shares(self._region, demand, capacity)
        group = f"{asked.service}/{','.join(sorted(asked.home_regions))}"
        shares = self._shares.setdefault(group, RegionShares()).move(wanted, now_s)
        key = asked.placement.key
        position = unit_hash(key, "region") if key else asked.spread
        return region_of_key(shares, position)

    def _place_in(
        self,
        region: str,
        asked: Asked,
        targets: Sequence[Target],
        cfg: Configuration | None,
        now_s: float,
    ) -> Admitted | Refused | None:
        local = [one for one in targets if self._regions.get(one.failure_domain) == region]
        key = asked.placement.key
        ranks = self._ranking.ranks(f"{asked.service}/{region}", local, key) if key else {}
        records = [self._records[one.name] for one in local if one.name not in asked.excluded]
        working = [one for one in records if not one.is_ejected(now_s)] or records
        open_now = [one for one in working if self._is_open(one, region, cfg, now_s)]
        choices = choose(
            open_now,
            asked.placement,
            ranks,
            self.round_trips_s,
            self.times,
            self._usual(f"{asked.service}/{region}", now_s),
            now_s,
        )
        if choices is None:
            return None
        admission = replace(
            asked.admission, longest_way_s=max(self.round_trips_s.values(), default=0.0)
        )
        return admit(admission, choices, self._rng)

    def _place_elsewhere(
        self, full: str, asked: Asked, targets: Sequence[Target], view: SiteView, now_s: float
    ) -> Admitted | None:
        others = sorted({self._regions.get(one.failure_domain, "") for one in targets} - {full})
        for region in others:
            decision = self._place_in(region, asked, targets, view.configuration, now_s)
            if isinstance(decision, Admitted):
                self._spill.spend()
                return decision
        return None

    def _is_open(
        self, record: TargetRecord, region: str, cfg: Configuration | None, now_s: float
    ) -> bool:
        """Return whether a target is warm, or has room for a cold request of this VM."""
        if not record.is_cold(now_s):
            return True
        policy = cfg.services.get(record.target.service) if cfg else None
        if policy is None:
            return False
        vms = self.vms_by_region.get(region) or self.vms_by_region[self._region]
        target = record.target
        return self._cold.may_send(
            target.name, target.incarnation, policy.cold_rate_per_s, vms, now_s
        )
