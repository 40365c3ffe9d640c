"""Model a fleet of entry VMs, on a virtual clock, to which one request comes that crashes targets.

The crash trackers are the real ones. Callers, targets and the links between the VMs are modelled.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilmill.entry._crashes import CrashTracker
from chervilmill.peers._membership import ROUND_S, UPDATE_FANOUT
from chervilmill.requests import Lifetime, LimitedToTarget, Quarantined

STEP_S = 0.1
STABLE_S = 4.0  # stable-window-s of both user sites
FINGERPRINT = b"crashes targets!"
DOMAINS = 6


@dataclass(frozen=True, slots=True)
class CrashCase:
    """How the request comes, and how its crashes show.

    `loss_seen_s` is the time until the VM that sent the request counts it as lost, and `refusal_s`
    the mean time until this VM finds that the target refuses connections, or None if it never
    does. All VMs see the new lifetime of a target `back_s` after its crash. Between the times of
    `cut_s`, the two halves of the fleet receive nothing from each other. `other_losses_per_s` is
    the rate at which each VM loses other requests at targets that crash for other reasons. A VM
    sends the request to up to `sends_per_attempt` targets, each as soon as the one before is lost.
    """

    vms: int = 12
    targets: int = 34
    period_s: float = 0.5
    at_once: int = 1
    loss_seen_s: float = 0.0
    refusal_s: float | None = 0.5
    back_s: float = 3.0
    restart_every_s: float | None = None
    cut_s: tuple[float, float] = (0.0, 0.0)
    other_losses_per_s: float = 0.0
    sends_per_attempt: int = 1
    duration_s: float = 40.0


@dataclass(slots=True)
class _Target:
    domain: str
    down_until_s: float = 0.0
    incarnation: int = 1

    def is_up(self, now_s: float) -> bool:
        return self.down_until_s <= now_s


@dataclass(slots=True)
class CrashFleet:
    """The fleet of one case; `crashes` and `late_sends` are counted while it runs."""

    case: CrashCase
    seed: int
    crashes: int = 0
    late_sends: int = 0
    _rng: random.Random = field(init=False)
    _targets: dict[str, _Target] = field(init=False)
    _vms: list[CrashTracker] = field(init=False)
    _due: list[tuple[float, Callable[[float], None]]] = field(default_factory=list)
    _third_crash_s: float | None = None

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._targets = {
            f"t{number}": _Target(f"d{number % DOMAINS}") for number in range(self.case.targets)
        }
        self._vms = [self._new_vm() for _ in range(self.case.vms)]

    def run(self) -> None:
        """Let the request come again and again, for the duration of the case."""
        case = self.case
        next_s = {"round": 0.0, "request": 0.0, "restart": case.restart_every_s or float("inf")}
        now_s = 0.0
        while now_s < case.duration_s:
            due = [item for item in self._due if item[0] <= now_s]
            self._due = [item for item in self._due if item[0] > now_s]
            for _, action in due:
                action(now_s)
            if now_s >= next_s["round"]:
                next_s["round"] += ROUND_S
                self._gossip(now_s)
            if now_s >= next_s["restart"]:
                next_s["restart"] += case.restart_every_s or 0.0
                self._restart_vm(now_s)
            if now_s >= next_s["request"]:
                next_s["request"] += case.period_s
                for vm in self._rng.sample(self._vms, case.at_once):
                    self._ask(vm, now_s, case.sends_per_attempt)
            self._lose_others(now_s)
            now_s = round(now_s + STEP_S, 3)

    def _new_vm(self) -> CrashTracker:
        tracker = CrashTracker()
        tracker.fleet_size = self.case.vms
        tracker.set_targets({name: target.domain for name, target in self._targets.items()})
        return tracker

    def _ask(self, vm: CrashTracker, now_s: float, sends_left: int) -> None:
        running = [name for name, target in self._targets.items() if target.is_up(now_s)]
        verdict = vm.verdict(FINGERPRINT, now_s, lambda name: self._targets[name].is_up(now_s))
        if isinstance(verdict, Quarantined) or not running:
            return
        limited = isinstance(verdict, LimitedToTarget)
        name = verdict.target if limited else self._rng.choice(running)
        if not self._targets[name].is_up(now_s):
            return
        if self._third_crash_s is not None and now_s > self._third_crash_s + STABLE_S:
            self.late_sends += 1
        self._crash(vm, name, now_s)
        if sends_left > 1:
            retry_s = now_s + self.case.loss_seen_s
            self._due.append((retry_s, lambda at_s: self._ask(vm, at_s, sends_left - 1)))

    def _crash(self, vm: CrashTracker, name: str, now_s: float) -> None:
        self.crashes += 1
        if self.crashes == 3:
            self._third_crash_s = now_s
        back_s = now_s + self.case.back_s
        self._targets[name].down_until_s = back_s
        loss_s = now_s + self.case.loss_seen_s
        lifetime = Lifetime(name, self._targets[name].incarnation)
        self._targets[name].incarnation += 1
        self._due.append((loss_s, lambda at_s: vm.record_loss(FINGERPRINT, lifetime, now_s, at_s)))
        if self.case.refusal_s is not None:
            refused_s = loss_s + self._rng.expovariate(1 / self.case.refusal_s)
            if refused_s < back_s:
                self._due.append((refused_s, lambda at_s: vm.record_crash(name, at_s)))
        self._due.append((back_s, lambda at_s: self._register_lifetime(name, at_s)))

    def _register_lifetime(self, name: str, now_s: float) -> None:
        for vm in self._vms:
            vm.record_crash(name, now_s)

    def _lose_others(self, now_s: float) -> None:
        """Lose other requests, each at a target that is not in the fleet's list."""
        if not self.case.other_losses_per_s:
            return
        for number, vm in enumerate(self._vms):
            if self._rng.random() < self.case.other_losses_per_s * STEP_S:
                name = f"other-{number}-{now_s}"
                vm.record_loss(name.encode(), Lifetime(name), now_s, now_s)
                vm.record_crash(name, now_s)

    def _restart_vm(self, now_s: float) -> None:
        """Replace a VM; the first peers that it reaches tell it what they know."""
        number = self._rng.randrange(len(self._vms))
        self._vms[number] = self._new_vm()
        for peer in self._rng.sample(self._vms, UPDATE_FANOUT):
            if peer is not self._vms[number]:
                reports = peer.reports_for_newcomer(now_s)
                self._vms[number].receive_reports(reports, now_s)

    def _gossip(self, now_s: float) -> None:
        half = len(self._vms) // 2
        is_cut = self.case.cut_s[0] <= now_s < self.case.cut_s[1]
        for number, vm in enumerate(self._vms):
            reports = vm.next_reports(now_s)
            for peer in self._rng.sample(range(len(self._vms)), UPDATE_FANOUT):
                if reports and not (is_cut and (number < half) != (peer < half)):
                    self._vms[peer].receive_reports(reports, now_s)
