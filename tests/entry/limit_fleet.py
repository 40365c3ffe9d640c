"""Model a fleet of entry VMs, on a virtual clock, two of whose targets name limits.

Placement, limits and their reports are the real ones. Callers, targets and links are modelled.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from chervilmill.addresses import Address
from chervilmill.entry._limits import LimitTracker
from chervilmill.overload import (
    AdmissionRequest,
    Admitted,
    AffinityWorkload,
    PlacementQuery,
    TargetFleet,
    Workload,
    parse_limit,
)
from chervilmill.peers._membership import ROUND_S, UPDATE_FANOUT
from chervilmill.requests import Lifetime
from chervilmill.routing import SiteView, Target

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
WORKLOAD = Workload("app", "reads", 0.5)
WORK_S = 0.3
OBJECTS = 300
NAMED_AT_S = 3.0
STABLE_S = 4.0  # stable-window-s of both user sites
WINDOW_S = 4.0


@dataclass(frozen=True, slots=True)
class LimitCase:
    """How requests come to the fleet.

    With `waves`, half of them come in a burst each 8 s. `only_share` of them may run at one limited
    target only, as suspects do, and `retried_share` come with a target that they have tried.
    """

    vms: int
    limit_per_s: float = 2.0
    requests_per_s: float = 240.0
    targets: int = 34
    waves: bool = False
    only_share: float = 0.0
    retried_share: float = 0.0
    restart_every_s: float | None = None
    limited_region: str | None = None
    duration_s: float = 24.0


class _Vm:
    """One entry VM of the fleet."""

    def __init__(self, name: str, region: str, targets: list[Target], seed: str) -> None:
        self.name = name
        self.region = region
        self.view = SiteView()
        self.fleet = TargetFleet(name, region, REGIONS, random.Random(seed))
        for target in targets:
            self.fleet.apply(self.view.put_target(target), self.view, 0.0)
        self.limits = LimitTracker(self.fleet.rates.limits)


@dataclass(slots=True)
class LimitFleet:
    """The fleet of one case; `sent` has the times of the requests to each target, and `refused`
    those of the refused ones."""

    case: LimitCase
    seed: int
    sent: dict[str, list[float]] = field(default_factory=dict)
    refused: list[float] = field(default_factory=list)
    _due: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _serial: count = field(default_factory=count)  # type: ignore[type-arg]
    _rng: random.Random = field(init=False)
    _targets: list[Target] = field(init=False)
    _vms: list[_Vm] = field(init=False)

    def __post_init__(self) -> None:
        self._rng = random.Random(f"{self.seed}-{self.case.vms}")
        domains = sorted(REGIONS)
        self._targets = [
            Target(
                f"t{number}",
                1,
                "app",
                Address("127.0.0.1", 1000 + number),
                domains[number % len(domains)],
                6,
                False,
                0.0,
            )
            for number in range(self.case.targets)
        ]
        self._vms = [self._new_vm(number) for number in range(self.case.vms)]
        self._update_views()

    @property
    def limited(self) -> list[str]:
        """Return the names of the targets that name a limit."""
        region = self.case.limited_region
        if region is None:
            return [target.name for target in self._targets[:2]]
        return [target.name for target in self._targets if REGIONS[target.failure_domain] == region]

    def run(self) -> None:
        """Let requests come for the duration of the case."""
        for at_s in self._arrivals():
            self._at(at_s, self._ask)
        self._at(0.0, self._gossip)
        if self.case.restart_every_s is not None:
            self._at(self.case.restart_every_s, self._restart_vm)
        while self._due:
            at_s, _, action = heapq.heappop(self._due)
            if at_s < self.case.duration_s:
                action(at_s)

    def most_in_a_window(self, target: str) -> int:
        """Return the most requests to a target in one window, once the limit must hold."""
        times_s = [at_s for at_s in self.sent.get(target, []) if at_s >= NAMED_AT_S + STABLE_S]
        return max(
            (sum(at_s <= other_s < at_s + WINDOW_S for other_s in times_s) for at_s in times_s),
            default=0,
        )

    def used_share(self, target: str) -> float:
        """Return the share of its limit that a target gets, once the limit must hold."""
        from_s = NAMED_AT_S + STABLE_S
        requests = sum(at_s >= from_s for at_s in self.sent.get(target, []))
        return requests / (self.case.duration_s - from_s) / self.case.limit_per_s

    def _arrivals(self) -> list[float]:
        times_s, now_s = [], 0.0
        while now_s < self.case.duration_s:
            now_s += self._rng.expovariate(self.case.requests_per_s)
            is_burst = self.case.waves and self._rng.random() < 0.5
            times_s.append(now_s - now_s % 8.0 + self._rng.random() * 0.3 if is_burst else now_s)
        return times_s

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._serial), action))

    def _new_vm(self, number: int) -> _Vm:
        region = sorted(set(REGIONS.values()))[number % 3]
        return _Vm(f"vm-{number}", region, self._targets, f"{self.seed}-{number}")

    def _update_views(self) -> None:
        vms: dict[str, list[str]] = {}
        for vm in self._vms:
            vms.setdefault(vm.region, []).append(vm.name)
        for vm in self._vms:
            vm.fleet.rates.vms_by_region = vms
            vm.limits.fleet_size = len(self._vms)

    def _ask(self, now_s: float) -> None:
        vm = self._rng.choice(self._vms)
        key = str(self._rng.randrange(OBJECTS))
        only = self._rng.random() < self.case.only_share
        tried = self._rng.random() < self.case.retried_share
        query = PlacementQuery(
            "app",
            AffinityWorkload(WORKLOAD, key),
            AdmissionRequest(0.5, 0.0, 2.0, 1),
            frozenset(),
            self._rng.random(),
            frozenset({self._rng.choice(self._targets[2:]).name} if tried else ()),
            self._rng.choice(self.limited) if only else None,
        )
        decision = vm.fleet.place(query, vm.view, now_s)
        if not isinstance(decision, Admitted):
            self.refused.append(now_s)
            return
        name = decision.candidate.record.target.name
        serial = vm.fleet.start(decision.candidate, key, now_s)
        self.sent.setdefault(name, []).append(now_s)

        def answer(at_s: float) -> None:
            decision.candidate.record.end(serial)
            has_limit = name in self.limited and at_s >= NAMED_AT_S
            stated = parse_limit(str(self.case.limit_per_s)) if has_limit else None
            vm.limits.record_answer(Lifetime(name, 1), stated, at_s)

        self._at(now_s + WORK_S, answer)

    def _gossip(self, now_s: float) -> None:
        for vm in self._vms:
            reports = vm.limits.next_reports(now_s)
            for peer in self._rng.sample(self._vms, min(UPDATE_FANOUT, len(self._vms))):
                peer.limits.receive_reports(reports, now_s)
        self._at(now_s + ROUND_S, self._gossip)

    def _restart_vm(self, now_s: float) -> None:
        number = self._rng.randrange(len(self._vms))
        self._vms[number] = self._new_vm(number)
        self._update_views()
        for peer in self._rng.sample(self._vms, UPDATE_FANOUT):
            reports = peer.limits.reports_for_newcomer(now_s)
            self._vms[number].limits.receive_reports(reports, now_s)
        self._at(now_s + (self.case.restart_every_s or 0.0), self._restart_vm)
