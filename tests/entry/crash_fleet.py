"""Model a fleet of entry VMs, on a virtual clock, to which requests come that crash targets.

The crash trackers are the real ones. Callers, targets and the links between the VMs are modelled.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from chervilmill.entry._crashes import CrashTracker
from chervilmill.peers._membership import ROUND_S, UPDATE_FANOUT
from chervilmill.requests import Lifetime, LimitedToTarget, Quarantined, request_fingerprint

STEP_S = 0.1
STABLE_S = 4.0  # stable-window-s of both user sites
DOMAINS = 6
POPULAR_PATH = "/popular"
POPULAR_CALLERS = 20
HARMLESS_WORK_S = 0.5


@dataclass(frozen=True, slots=True)
class CrashCase:
    """How the requests come, and how their crashes show.

    One of `contents` crashing contents comes every `period_s`, from one of `callers`. From
    `crashes_from_s` on it crashes its target; before, it is answered. Each crash takes `beside`
    harmless requests with it, which come again, and with `popular_per_s` one more, of a content
    that comes at this rate from many callers and is answered elsewhere.

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
    callers: int = 1
    contents: int = 1
    crashes_from_s: float = 0.0
    beside: int = 0
    popular_per_s: float = 0.0
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
class _Content:
    """A crashing content, and when it crashed its third target."""

    path: str
    crashes: int = 0
    late_sends: int = 0
    third_crash_s: float | None = None


@dataclass(slots=True)
class CrashFleet:
    """The fleet of one case; the harmless requests sent and refused are counted while it runs."""

    case: CrashCase
    seed: int
    harmless_sent: int = 0
    harmless_refused: int = 0
    contents: list[_Content] = field(init=False)
    _rng: random.Random = field(init=False)
    _targets: dict[str, _Target] = field(init=False)
    _vms: list[CrashTracker] = field(init=False)
    _urgent: set[int] = field(default_factory=set)
    _due: list[tuple[float, Callable[[float], None]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self.contents = [_Content(f"/crash/{number}") for number in range(self.case.contents)]
        self._targets = {
            f"t{number}": _Target(f"d{number % DOMAINS}") for number in range(self.case.targets)
        }
        self._vms = [self._new_vm(number) for number in range(self.case.vms)]

    @property
    def crashes(self) -> int:
        """Return how many targets crashed."""
        return sum(content.crashes for content in self.contents)

    @property
    def late_sends(self) -> int:
        """Return the most sends of one content after the stable window of its third crash."""
        return max(content.late_sends for content in self.contents)

    def run(self) -> None:
        """Let the requests come again and again, for the duration of the case."""
        case = self.case
        next_s = {"round": 0.0, "request": 0.0, "restart": case.restart_every_s or float("inf")}
        now_s = 0.0
        while now_s < case.duration_s:
            due = [item for item in self._due if item[0] <= now_s]
            self._due = [item for item in self._due if item[0] > now_s]
            for _, action in due:
                action(now_s)
            is_round = now_s >= next_s["round"]
            next_s["round"] += ROUND_S if is_round else 0.0
            self._gossip(now_s, is_round=is_round)
            if now_s >= next_s["restart"]:
                next_s["restart"] += case.restart_every_s or 0.0
                self._restart_vm(now_s)
            if now_s >= next_s["request"]:
                next_s["request"] += case.period_s
                content = self._rng.choice(self.contents)
                for vm in self._rng.sample(self._vms, case.at_once):
                    caller = f"caller-{self._rng.randrange(case.callers)}"
                    self._ask(vm, now_s, content, caller, case.sends_per_attempt)
            self._ask_popular(now_s)
            self._lose_others(now_s)
            now_s = round(now_s + STEP_S, 3)

    def _new_vm(self, number: int) -> CrashTracker:
        tracker = CrashTracker(self._rng.random())
        tracker.on_urgent_report = lambda: self._urgent.add(number)
        tracker.fleet_size = self.case.vms
        tracker.set_targets({name: target.domain for name, target in self._targets.items()})
        return tracker

    def _ask(
        self, vm: CrashTracker, now_s: float, content: _Content, caller: str, sends_left: int
    ) -> None:
        fingerprint = _fingerprint(content.path, caller)
        name = self._choose_target(vm, fingerprint, now_s)
        if name is None:
            return
        vm.record_sent(fingerprint, Lifetime(name, self._targets[name].incarnation), now_s)
        if now_s < self.case.crashes_from_s:
            self._answer(vm, fingerprint, name, now_s)
            return
        if content.third_crash_s is not None and now_s > content.third_crash_s + STABLE_S:
            content.late_sends += 1
        content.crashes += 1
        if content.crashes == 3:
            content.third_crash_s = now_s
        self._crash(vm, fingerprint, name, now_s)
        if sends_left > 1:
            retry_s = now_s + self.case.loss_seen_s
            self._due.append(
                (retry_s, lambda at_s: self._ask(vm, at_s, content, caller, sends_left - 1))
            )

    def _choose_target(self, vm: CrashTracker, fingerprint: bytes, now_s: float) -> str | None:
        """Return a running target at which the request may run, or None if it is refused."""
        running = [name for name, target in self._targets.items() if target.is_up(now_s)]
        verdict = vm.verdict(fingerprint, now_s, lambda name: self._targets[name].is_up(now_s))
        if isinstance(verdict, Quarantined) or not running:
            return None
        limited = isinstance(verdict, LimitedToTarget)
        name = verdict.target if limited else self._rng.choice(running)
        return name if name and self._targets[name].is_up(now_s) else None

    def _answer(self, vm: CrashTracker, fingerprint: bytes, name: str, now_s: float) -> None:
        """Let a target answer a request after its work, or lose it if the target crashes first."""
        lifetime = Lifetime(name, self._targets[name].incarnation)

        def end(at_s: float) -> None:
            if self._targets[name].incarnation == lifetime.incarnation:
                vm.record_answer(fingerprint, name, now_s, at_s)
            else:
                vm.record_loss(fingerprint, lifetime, now_s, at_s)

        self._due.append((now_s + HARMLESS_WORK_S, end))

    def _crash(self, vm: CrashTracker, fingerprint: bytes, name: str, now_s: float) -> None:
        back_s = now_s + self.case.back_s
        self._targets[name].down_until_s = back_s
        loss_s = now_s + self.case.loss_seen_s
        lifetime = Lifetime(name, self._targets[name].incarnation)
        self._targets[name].incarnation += 1
        self._due.append((loss_s, lambda at_s: vm.record_loss(fingerprint, lifetime, now_s, at_s)))
        self._lose_beside(lifetime, now_s, loss_s)
        if self.case.refusal_s is not None:
            refused_s = loss_s + self._rng.expovariate(1 / self.case.refusal_s)
            if refused_s < back_s:
                self._due.append((refused_s, lambda at_s: vm.record_crash(name, at_s)))
        self._due.append((back_s, lambda at_s: self._register_lifetime(name, at_s)))

    def _lose_beside(self, lifetime: Lifetime, now_s: float, loss_s: float) -> None:
        """Lose the harmless requests at a target that crashes; each comes again at once."""
        paths = [f"/beside/{lifetime.target}/{now_s}/{n}" for n in range(self.case.beside)]
        if self.case.popular_per_s:
            paths.append(POPULAR_PATH)
        for path in paths:
            caller = f"caller-{self._rng.randrange(POPULAR_CALLERS)}"
            self._lose(self._rng.choice(self._vms), path, caller, lifetime, now_s, loss_s)

    def _lose(
        self,
        vm: CrashTracker,
        path: str,
        caller: str,
        lifetime: Lifetime,
        sent_s: float,
        loss_s: float,
    ) -> None:
        def lose_and_resend(at_s: float) -> None:
            vm.record_loss(_fingerprint(path, caller), lifetime, sent_s, at_s)
            self._ask_harmless(self._rng.choice(self._vms), path, caller, at_s)

        self._due.append((loss_s, lose_and_resend))

    def _ask_popular(self, now_s: float) -> None:
        for _ in range(int(self.case.popular_per_s)):
            if self._rng.random() < STEP_S:
                caller = f"caller-{self._rng.randrange(POPULAR_CALLERS)}"
                self._ask_harmless(self._rng.choice(self._vms), POPULAR_PATH, caller, now_s)

    def _ask_harmless(self, vm: CrashTracker, path: str, caller: str, now_s: float) -> None:
        self.harmless_sent += 1
        fingerprint = _fingerprint(path, caller)
        name = self._choose_target(vm, fingerprint, now_s)
        if name is None:
            self.harmless_refused += 1
        else:
            vm.record_sent(fingerprint, Lifetime(name, self._targets[name].incarnation), now_s)
            self._answer(vm, fingerprint, name, now_s)

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
                vm.record_loss(_fingerprint(name, "caller"), Lifetime(name), now_s, now_s)
                vm.record_crash(name, now_s)

    def _restart_vm(self, now_s: float) -> None:
        """Replace a VM; the first peers that it reaches tell it what they know."""
        number = self._rng.randrange(len(self._vms))
        self._vms[number] = self._new_vm(number)
        for peer in self._rng.sample(self._vms, UPDATE_FANOUT):
            if peer is not self._vms[number]:
                reports = peer.reports_for_newcomer(now_s)
                self._vms[number].receive_reports(reports, now_s)

    def _gossip(self, now_s: float, *, is_round: bool) -> None:
        """Send the reports of all VMs, or between rounds only those of VMs with urgent ones."""
        half = len(self._vms) // 2
        is_cut = self.case.cut_s[0] <= now_s < self.case.cut_s[1]
        for number, vm in enumerate(self._vms):
            if number not in self._urgent and not is_round:
                continue
            self._urgent.discard(number)
            reports = vm.next_reports(now_s)
            if not is_round and vm.has_new_reports:
                self._urgent.add(number)
            for peer in self._rng.sample(range(len(self._vms)), UPDATE_FANOUT):
                if reports and not (is_cut and (number < half) != (peer < half)):
                    self._vms[peer].receive_reports(reports, now_s)


def _fingerprint(path: str, caller: str) -> bytes:
    return request_fingerprint("host", "GET", path, "", caller)
