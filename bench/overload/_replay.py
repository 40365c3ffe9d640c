"""Replay a load pattern: entry VMs with the real decisions, and targets on a virtual clock.

The VMs do not talk to each other. Work, arrivals and the order of events come from one seed, so a
replay gives the same figures every time.
"""

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from chervilmill.addresses import Address
from chervilmill.overload import (
    AdmissionRequest,
    Admitted,
    AffinityWorkload,
    CallerAgeEstimator,
    Candidate,
    PlacementQuery,
    TargetFleet,
    Workload,
)
from chervilmill.routing import (
    CallerLimits,
    Configuration,
    ServicePolicy,
    SiteView,
    Target,
    TargetChanged,
)

SERVICE = "app"
REGIONS = {
    "north-a": "north",
    "north-b": "north",
    "south-a": "south",
    "south-b": "south",
    "west-a": "west",
    "west-b": "west",
}
WAY_S = {True: 0.001, False: 0.055}  # one way, within a region and between two
KEPT_OBJECTS = 30
CONNECT_AGAIN_S = 0.3  # between attempts of callers whose VM is away


MakeFleet = Callable[[str, str, Mapping[str, str], random.Random], TargetFleet]


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe the requests of one route; work is that of a target that lacks the object."""

    route: str
    work_s: float
    objective_s: float
    timeout_s: float
    priority: int
    objects: int
    worth: float = 1.0
    warm_share: float = 0.3


READ = Kind("read", 0.64, 0.5, 2.0, 2, 64)
ORDER = Kind("order", 0.84, 0.6, 2.5, 1, 25, worth=2.0)


@dataclass(slots=True)
class Call:
    """Hold one request of a caller and what became of it; `attempts` counts its refusals too."""

    kind: Kind
    domain: str
    key: str
    began_s: float
    attempts: int = 0
    answered_s: float | None = None
    ran_in: str = ""
    last_refused_s: float = 0.0

    @property
    def is_in_time(self) -> bool:
        """Return whether the answer met the objective, from the first attempt on."""
        return self.answered_s is not None and (
            self.answered_s - self.began_s <= self.kind.objective_s
        )


@dataclass(slots=True)
class SimTarget:
    """Play one target: slots, a queue that sheds, and the objects it holds."""

    target: Target
    queue: int
    factor: float = 1.0
    is_up: bool = True
    running: int = 0
    starts: list[float] = field(default_factory=list)
    waiting: list[Callable[[], None]] = field(default_factory=list)
    held: OrderedDict[str, None] = field(default_factory=OrderedDict)
    shed: int = 0

    def take_object(self, key: str) -> bool:
        """Return whether the object is held, and hold it."""
        is_held = key in self.held
        self.held[key] = None
        self.held.move_to_end(key)
        if len(self.held) > KEPT_OBJECTS:
            self.held.popitem(last=False)
        return is_held


class Replay:
    """Run callers, entry VMs and targets."""

    def __init__(
        self,
        slots: dict[str, tuple[int, int]],
        vms: dict[str, int],
        *,
        seed: int = 1,
        returns: int = 1,
        heeds_retry_after: bool = True,
        make_fleet: MakeFleet = TargetFleet,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.calls: list[Call] = []
        self.targets: dict[str, SimTarget] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._returns = returns
        self._heeds = heeds_retry_after
        self.view = SiteView()
        self.view.apply_configuration(
            Configuration(
                1, (), {SERVICE: ServicePolicy(SERVICE, "/", 390, 3.0, 6.9)}, CallerLimits()
            )
        )
        self._seed = seed
        self._make_fleet = make_fleet
        self._away_until_s = 0.0
        self.vms: dict[str, list[tuple[TargetFleet, CallerAgeEstimator]]] = {}
        names: dict[str, list[str]] = {}
        for domain, count in vms.items():
            for number in range(count):
                names.setdefault(REGIONS[domain], []).append(f"{domain}-{number}")
        self._names = names
        self._start_vms(0)
        for domain, (count, size) in slots.items():
            for number in range(count):
                self.add_target(f"t-{domain}-{number}", domain, size)

    def _start_vms(self, incarnation: int) -> None:
        for region, names in self._names.items():
            for name in names:
                domain = name.rpartition("-")[0]
                rng = random.Random(f"{self._seed}/{incarnation}/{name}")
                fleet = self._make_fleet(name, region, REGIONS, rng)
                fleet.vms_by_region = self._names
                fleet.round_trips_s = {
                    other: 2 * WAY_S[REGIONS[other] == region] for other in REGIONS
                }
                self.vms.setdefault(domain, []).append((fleet, CallerAgeEstimator()))

    def restart_vms(self, at_s: float, away_s: float) -> None:
        """Have all VMs end at a moment and come back knowing nothing; callers try until then."""

        def begin() -> None:
            self._away_until_s = at_s + away_s

        def end() -> None:
            self.vms.clear()
            self._start_vms(1)
            changes = [TargetChanged(one.target, None) for one in self.targets.values()]
            self._apply(changes, lambda: None)

        self.at(at_s, begin)
        self.at(at_s + away_s, end)

    def add_target(self, name: str, domain: str, slots: int, cold_s: float = 0.0) -> None:
        """Add a target that every VM knows of at once."""
        address = Address("127.0.0.1", 1)
        target = Target(name, 1, SERVICE, address, domain, slots, False, cold_s)
        self.targets[name] = SimTarget(target, queue=3 * slots)
        self._apply([TargetChanged(target, None)], lambda: self.view.put_target(target))

    def remove_target(self, name: str) -> None:
        """Take a target away in the eyes of every VM."""
        changes = self.view.remove_target(name)
        self._apply(changes, lambda: None)

    def at(self, moment_s: float, action: Callable[[], None]) -> None:
        """Do something at a moment of the virtual clock."""
        self._serial += 1
        heapq.heappush(self._events, (moment_s, self._serial, action))

    def arrive(
        self, kind: Kind, domain: str, rate: Callable[[float], float], until_s: float
    ) -> None:
        """Have callers of a failure domain ask at a rate that may change."""
        moment_s = 0.0
        while moment_s < until_s:
            moment_s += self.rng.expovariate(max(0.01, rate(moment_s)))
            key = f"{kind.route}-{self.rng.randrange(kind.objects)}"
            call = Call(kind, domain, key, moment_s)
            self.calls.append(call)
            self.at(moment_s, lambda call=call: self._ask(call))  # type: ignore[misc]

    def run(self, until_s: float) -> None:
        """Play until a moment of the virtual clock."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def since(self, from_s: float, to_s: float = float("inf")) -> list[Call]:
        """Return the calls that began in a span."""
        return [call for call in self.calls if from_s <= call.began_s < to_s]

    def _apply(self, changes: Iterable[object], then: Callable[[], object]) -> None:
        then()
        for fleets in self.vms.values():
            for fleet, _ in fleets:
                fleet.apply(list(changes), self.view, self.now_s)  # type: ignore[arg-type]

    def _ask(self, call: Call) -> None:
        if self.now_s < self._away_until_s:
            again_s = self._away_until_s + self.rng.uniform(0.0, CONNECT_AGAIN_S)
            if again_s - call.began_s < call.kind.timeout_s:
                self.at(again_s, lambda: self._ask(call))
            return
        fleet, ages = self.rng.choice(self.vms[call.domain])
        left_s = call.kind.timeout_s - (self.now_s - call.began_s)
        call.attempts += 1
        fleet.count_request()
        self._place(call, fleet, ages.age_s(call.kind.route, left_s), frozenset())

    def _place(
        self, call: Call, fleet: TargetFleet, age_s: float, excluded_targets: frozenset[str]
    ) -> None:
        kind = call.kind
        work = Workload(SERVICE, kind.route, kind.objective_s)
        left_s = kind.timeout_s - (self.now_s - call.began_s)
        query = PlacementQuery(
            SERVICE,
            AffinityWorkload(work, call.key),
            AdmissionRequest(
                kind.objective_s,
                age_s,
                left_s,
                kind.priority,
                fleet.service_times.is_trusted(work, self.now_s),
            ),
            frozenset(),
            self.rng.random(),
            excluded_targets,
        )
        decision = fleet.place(query, self.view, self.now_s)
        if isinstance(decision, Admitted):
            self._send(call, fleet, age_s, decision.candidate, excluded_targets)
            return
        call.last_refused_s = self.now_s
        wait_s = decision.retry_after_s if self._heeds else 0.001
        if call.attempts <= self._returns and wait_s < left_s / 3 + 1e-9:
            self.at(self.now_s + wait_s, lambda: self._ask(call))

    def _send(
        self,
        call: Call,
        fleet: TargetFleet,
        age_s: float,
        candidate: Candidate,
        excluded_targets: frozenset[str],
    ) -> None:
        record = candidate.record
        serial = fleet.start(candidate, call.key, self.now_s)
        sent_s = self.now_s
        target = self.targets[record.target.name]
        way_s = WAY_S[REGIONS[call.domain] == REGIONS[record.target.failure_domain]]

        def back(is_run: bool, load: int) -> None:
            record.end(serial)
            fleet.record_load(record, load, self.now_s)
            record.record_result(self.now_s, has_failed=not is_run)
            if not is_run:
                if not excluded_targets:
                    self._place(call, fleet, age_s, frozenset({record.target.name}))
                return
            call.answered_s = self.now_s
            call.ran_in = REGIONS[record.target.failure_domain]
            took_s = self.now_s - sent_s
            work = Workload(SERVICE, call.kind.route, call.kind.objective_s)
            fleet.record_answer(AffinityWorkload(work, call.key), candidate, took_s, self.now_s)

        def answer(is_run: bool) -> None:
            load = target.running + len(target.waiting)
            self.at(self.now_s + way_s, lambda: back(is_run, load))

        def begin() -> None:
            target.running += 1
            target.starts.append(self.now_s)
            is_held = target.take_object(call.key)
            work_s = call.kind.work_s * (call.kind.warm_share if is_held else 1.0)
            work_s *= target.factor * self.rng.lognormvariate(0.0, 0.15)

            def finish() -> None:
                target.running -= 1
                answer(True)
                if target.waiting:
                    target.waiting.pop(0)()

            self.at(self.now_s + work_s, finish)

        def reach() -> None:
            if not target.is_up or len(target.waiting) >= target.queue:
                target.shed += 1
                answer(False)
            elif target.running < record.target.slots:
                begin()
            else:
                target.waiting.append(begin)

        self.at(self.now_s + way_s, reach)


def in_time_share(calls: list[Call]) -> float:
    """Return the share of calls answered within their objective."""
    return sum(call.is_in_time for call in calls) / max(1, len(calls))


def served_share(calls: list[Call]) -> float:
    """Return the share of calls answered at all."""
    return sum(call.answered_s is not None for call in calls) / max(1, len(calls))
