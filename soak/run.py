"""Run one soak: a small site, callers, and faults drawn from a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from chervilmill.addresses import Address
from soak.callers import Caller
from soak.checks import Breach, breaches
from soak.proxy import Proxy
from soak.records import History, Left, Ran, Start
from soak.site import DOMAINS, VmPorts, configuration
from soak.store import StandInStore
from soak.target import StandInTarget
from soak.vms import VmProcess

STARTED_S = 4.0
RECOVERY_S = 6.0  # after the last disruption, before all must be served again
CALM_S = 4.0
AFTERMATH_S = 4.0  # in which a disruption may still excuse what callers see
GRACE_S = 6.0
READY_LIMIT_S = 20.0  # over the bound of the check, so that a breach shows
VM_PORTS = (8161, 8164, 8167, 8166, 7720, 7735)
TARGET_PORT = 8300
STORE_PORT = 8169


@dataclass(frozen=True, slots=True)
class Plan:
    """Describe one soak; `network` is the second number of its 127.n.0.0 addresses."""

    seed: int
    seconds: float = 20.0
    vms: int = 4
    targets: int = 6
    callers: int = 8
    network: int = 77


class Soak:
    """Hold the site of one soak."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.history = History()
        self._rng = random.Random(plan.seed)
        self._folder = folder
        self._store = StandInStore()
        self._vms: list[VmProcess] = []
        self._store_links: list[Proxy] = []
        self._targets: dict[str, tuple[StandInTarget, Proxy, str, Address]] = {}
        self._all: list[tuple[StandInTarget, str]] = []
        self._version = 1
        self._serial = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.log: list[str] = []

    async def run(self) -> list[Breach]:
        """Play the soak and return what was broken."""
        loop = asyncio.get_running_loop()
        try:
            await self._set_up()
            await asyncio.sleep(STARTED_S)
            end_s = loop.time() + self.plan.seconds
            last_s = end_s + RECOVERY_S + CALM_S
            lookups = [vm.lookups for vm in self._vms]
            domains = sorted(DOMAINS)
            calling = [
                asyncio.create_task(
                    Caller(
                        f"c{n}", lookups, domains[n % 4], self.history, f"{self.plan.seed}/{n}"
                    ).run(last_s)
                )
                for n in range(self.plan.callers)
            ]
            while loop.time() < end_s:
                await self._disrupt()
                await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            await asyncio.gather(*self._tasks)
            self.history.calm_from_s = loop.time() + RECOVERY_S
            await asyncio.gather(*calling)
            self._collect()
            return breaches(self.history)
        finally:
            self._tear_down()

    async def _set_up(self) -> None:
        net = self.plan.network
        store = Address(f"127.{net}.9.1", STORE_PORT)
        await self._store.listen(store)
        self._store.put("config", "main", configuration(1))
        for number in range(self.plan.targets):
            await self._add_target(sorted(DOMAINS)[number % len(DOMAINS)])
        for number in range(self.plan.vms):
            host = f"127.{net}.1.{number + 1}"
            link = Proxy(store)
            address = Address(f"127.{net}.8.{number + 1}", STORE_PORT)
            await link.listen(address)
            self._store_links.append(link)
            domain = sorted(DOMAINS)[number % len(DOMAINS)]
            vm = VmProcess(f"vm-{number}", domain, VmPorts(host, *VM_PORTS), address, self._folder)
            self._vms.append(vm)
            vm.start()

    async def _add_target(self, domain: str) -> None:
        self._serial += 1
        name = f"t{self._serial}"
        target = StandInTarget(name, slots=4, work_s=0.03)
        real = Address(f"127.{self.plan.network}.5.{self._serial}", TARGET_PORT)
        shown = Address(f"127.{self.plan.network}.6.{self._serial}", TARGET_PORT)
        link = Proxy(real)
        await target.listen(real)
        await link.listen(shown)
        self._targets[name] = (target, link, domain, shown)
        self._all.append((target, domain))
        self._store.put("servers", name, target.entry("app", shown, domain, self._serial))

    async def _disrupt(self) -> None:
        """Begin one thing that happens; planned work leaves no excuse behind."""
        actions: list[tuple[str, Callable[[], Awaitable[None]], bool]] = [
            ("term", self._term, True),
            ("kill", self._kill, False),
            ("pause", self._pause, False),
            ("hang up", self._hup, True),
            ("configure", self._configure, True),
            ("drain", self._drain, True),
            ("evacuate", self._evacuate, True),
            ("crash", self._crash, False),
            ("store down", self._store_down, False),
            ("store slow", self._store_slow, False),
            ("store refuses", self._store_refuses, False),
            ("store forgets", self._store_forgets, True),
            ("store loses answers", self._store_loses, False),
            ("link", self._link, False),
            ("target faults", self._target_faults, False),
        ]
        name, action, is_planned = self._rng.choice(actions)
        self.log.append(f"{asyncio.get_running_loop().time():.2f} {name}")
        self._tasks.append(asyncio.create_task(self._play(action, is_planned)))

    async def _play(self, action: Callable[[], Awaitable[None]], is_planned: bool) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await action()
        if not is_planned:
            self.history.disrupted.append((began_s, loop.time() + AFTERMATH_S))

    async def _term(self) -> None:
        vm = self._rng.choice(self._vms)
        vm.signal(signal.SIGTERM)
        if not await vm.wait_for_end(GRACE_S):
            vm.kill()
        vm.start()

    async def _kill(self) -> None:
        killed = self._rng.sample(self._vms, self._rng.randint(1, len(self._vms)))
        for vm in killed:
            vm.kill()
            vm.start()
        times = await asyncio.gather(*(vm.wait_until_ready(READY_LIMIT_S) for vm in killed))
        for vm, took_s in zip(killed, times, strict=True):
            if took_s is not None:
                self.history.starts.append(Start(vm.name, took_s))

    async def _pause(self) -> None:
        vm = self._rng.choice(self._vms)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        vm.signal(signal.SIGCONT)

    async def _hup(self) -> None:
        for vm in self._vms:
            vm.signal(signal.SIGHUP)

    async def _configure(self) -> None:
        self._version += self._rng.randint(1, 3)
        self._store.put("config", "main", configuration(self._version))

    async def _drain(self) -> None:
        if len(self._targets) <= 2:
            await self._add_target(self._rng.choice(sorted(DOMAINS)))
            return
        name = self._rng.choice(sorted(self._targets))
        target, link, domain, shown = self._targets.pop(name)
        entry = target.entry("app", shown, domain, 0)
        loop = asyncio.get_running_loop()
        self._store.put("servers", name, entry | {"state": "draining"})
        self.history.left.append(Left(name, loop.time(), float("inf"), False))
        await self._add_target(domain)
        await asyncio.sleep(4.0)
        self._store.delete("servers", name)
        await asyncio.sleep(2.5)
        target.crash()
        link.stop()

    async def _evacuate(self) -> None:
        domain = self._rng.choice(sorted(DOMAINS))
        if self._store.names("evacuations"):
            return
        loop = asyncio.get_running_loop()
        self._store.put("evacuations", domain, {})
        from_s = loop.time()
        await asyncio.sleep(8.0)
        self.history.left.append(Left(domain, from_s, loop.time(), True))
        self._store.delete("evacuations", domain)

    async def _crash(self) -> None:
        name = self._rng.choice(sorted(self._targets))
        target, link, domain, _ = self._targets.pop(name)
        target.crash()
        link.stop()
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self._store.delete("servers", name)
        await self._add_target(domain)

    async def _store_down(self) -> None:
        self._store.faults.is_down = True
        for link in self._store_links:
            link.reset()
        await asyncio.sleep(self._rng.uniform(1.0, 5.0))
        self._store.faults.is_down = False

    async def _store_slow(self) -> None:
        self._store.faults.delay_s = 0.3
        await asyncio.sleep(3.0)
        self._store.faults.delay_s = 0.0

    async def _store_refuses(self) -> None:
        link = self._rng.choice(self._store_links)
        link.faults.refuses = True
        link.reset()
        await asyncio.sleep(5.0)
        link.faults.refuses = False

    async def _store_forgets(self) -> None:
        self._store.compact()

    async def _store_loses(self) -> None:
        self._store.faults.loses_answers = True
        await asyncio.sleep(2.0)
        self._store.faults.loses_answers = False

    async def _link(self) -> None:
        link = self._targets[self._rng.choice(sorted(self._targets))][1]
        fault = self._rng.choice(["delay", "reset", "requests", "answers"])
        if fault == "delay":
            link.faults.delay_s = 0.2
        elif fault == "reset":
            link.reset()
        elif fault == "requests":
            link.faults.silences_requests = True
        else:
            link.faults.silences_answers = True
        await asyncio.sleep(2.0)
        link.faults.delay_s = 0.0
        link.faults.silences_requests = link.faults.silences_answers = False
        link.reset()

    async def _target_faults(self) -> None:
        target = self._targets[self._rng.choice(sorted(self._targets))][0]
        fault = self._rng.choice(
            ["shed", "lose_answer", "break_off", "spoil", "answer_crossed", "answer_early"]
        )
        setattr(target.faults, fault, self._rng.randint(1, 6))
        await asyncio.sleep(1.0)

    def _collect(self) -> None:
        for target, domain in self._all:
            self.history.runs += [
                Ran(
                    run.request_id,
                    run.method,
                    run.path,
                    run.body_digest,
                    target.name,
                    domain,
                    run.at_s,
                )
                for run in target.records.runs
            ]

    def _tear_down(self) -> None:
        for vm in self._vms:
            vm.kill()
        for _, link, _, _ in self._targets.values():
            link.stop()
        for link in self._store_links:
            link.stop()
        self._store.stop()
        for target, _ in self._all:
            target.crash()
