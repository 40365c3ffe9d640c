"""One soak: a small site, its callers, and random faults drawn from a seed."""

import asyncio
import contextlib
import functools
import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

from chervilmill.addresses import Address
from chervilmill.overload import TICK_S, Lateness
from soak.builds import ROOT
from soak.callers import (
    Caller,
    CrashingCaller,
    PressingCaller,
    RatedCrashingCaller,
    RouteCaller,
)
from soak.checks import breaches
from soak.compactions import Compactions
from soak.options import SoakOptions
from soak.outages import READY_TIMEOUT_S, Outages
from soak.proxy import Proxy
from soak.records import (
    Breach,
    ConfigurationWrite,
    ExclusionSpan,
    History,
    LimitSpan,
    TargetRun,
    VmStart,
)
from soak.routes import SERVICES, Routing
from soak.shared_core import SharedCore
from soak.site import REGION_BY_DOMAIN, VmPorts, configuration
from soak.store import StandInStore
from soak.target import CrashMode, StandInTarget
from soak.vms import VmProcess

STARTUP_S = 4.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 2.0  # between two actions
CALM_PAUSE_S = 0.8  # the longest one if all are planned changes
RECOVERY_S = 6.0  # from the last disruption until requests must be served again
OBSERVATION_S = 4.0
CRASHING_CALLERS = 2
ROUTE_CALLERS = 4
PLANNED_CHANGES = ("hang up", "configure", "drain", "evacuate")
DESK_DOMAINS = ("north-a", "south-a")  # of the targets of the second service
ENTRY_EXPIRY_S = 4.5  # three missed heartbeats
DISRUPTION_TAIL_S = 4.0  # for this time after its end a disruption still excuses failures
STOP_GRACE_S = 6.0
VM_PORTS = (8161, 8164, 8167, 8166, 7720, 7735)
TARGET_PORT = 8300
STORE_PORT = 8169


class Soak:
    """The site of one soak, with its callers and its faults."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self.options = options
        self.history = History()
        self._rng = random.Random(options.seed)
        self._limit_rng = random.Random(f"{options.seed}/limits")
        self._build_rng = random.Random(f"{options.seed}/builds")
        self._crash_rng = random.Random(f"{options.seed}/crashes")
        self._route_rng = random.Random(f"{options.seed}/routes")
        self._routing = Routing()
        self._shared_core = SharedCore()
        # Where every crash is silent, nothing confirms one before its entry expires.
        self._crash_modes = self._crash_rng.choice([list(CrashMode), [CrashMode.SILENT]])
        self._folder = folder
        self._store = StandInStore(seed=f"{options.seed}/store")
        self._store.faults.answer_s = options.answer_s
        self._store.faults.linearizable_answer_s = options.linearizable_answer_s
        self._store.faults.replica_age_s = options.replica_age_s
        if options.replicas_state_present:
            self._store.faults.replicas_state_present = True
            self._store.faults.replica_wait_s = 0.5
        self._vms: list[VmProcess] = []
        self._store_links: list[Proxy] = []
        self._targets: dict[str, tuple[StandInTarget, Proxy, str, Address]] = {}
        # Of the second service; random faults leave these alone.
        self._desk_targets: dict[str, tuple[StandInTarget, Proxy, str, Address]] = {}
        self._all_targets: list[tuple[StandInTarget, str, str]] = []
        self._configuration_version = 1
        self._target_serial = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.log: list[str] = []
        self._compactions = Compactions(
            self._store,
            self._change_configuration,
            self.log,
            random.Random(f"{options.seed}/compactions"),
        )

    async def run(self) -> list[Breach]:
        """Run the soak and return the breaches."""
        loop = asyncio.get_running_loop()
        try:
            await self._set_up()
            await asyncio.sleep(STARTUP_S)
            watching = asyncio.create_task(self._watch_own_loop())
            self._shared_core.start_busy(self.options.busy_processes, self.options.seconds)
            end_s = loop.time() + self.options.seconds
            last_s = end_s + (RECOVERY_S if self.options.is_disrupted else 0.0) + OBSERVATION_S
            seed = str(self.options.seed)
            callers = self._make_callers(Caller, self.options.callers, "c", seed)
            crashing = self._make_crashing_callers(seed)
            caller_tasks = [
                *(asyncio.create_task(caller.run(last_s)) for caller in callers),
                *(asyncio.create_task(caller.run(end_s)) for caller in crashing),
                *self._start_route_callers(end_s, last_s),
            ]
            if self.options.names_limits:
                self._tasks.append(asyncio.create_task(self._name_limits(end_s)))
            if self.options.previous is not None:
                replacing = self._replace_builds(self.options.previous)
                self._tasks.append(asyncio.create_task(replacing))
            if self.options.outages:
                self._tasks.append(asyncio.create_task(self._run_outages(end_s)))
            if self.options.compactions:
                self._tasks.append(asyncio.create_task(self._compactions.run(end_s)))
            with self._reads_refused():
                while loop.time() < end_s:
                    if not self.options.only_crashes:
                        await self._start_random_action()
                    longest_s = CALM_PAUSE_S if self.options.is_calm else MAX_PAUSE_S
                    await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, longest_s))
                while not all(task.done() for task in self._tasks):
                    await asyncio.gather(*self._tasks)
            self._shared_core.end_busy()
            self.history.recovered_from_s = (
                loop.time() + RECOVERY_S if self.options.is_disrupted else end_s
            )
            await asyncio.gather(*caller_tasks)
            watching.cancel()
            self._collect()
            return breaches(self.history)
        finally:
            self._tear_down()

    def _start_route_callers(self, end_s: float, last_s: float) -> list[asyncio.Task[None]]:
        """Start the callers of moved routes, and those that press while the core is full."""
        seed = f"{self.options.seed}/route"
        callers = self._make_callers(RouteCaller, ROUTE_CALLERS, "route", seed)
        tasks = [asyncio.create_task(caller.run(last_s)) for caller in callers]
        if self.options.press_per_s:
            caller = PressingCaller("press", [], "", self.history, f"{seed}/press")
            caller.rate_per_s = self.options.press_per_s
            caller.use_vms([vm.caller_address for vm in self._vms])
            tasks.append(asyncio.create_task(caller.run(end_s)))
            began_s = asyncio.get_running_loop().time()
            self.history.overloads.append((began_s, end_s + DISRUPTION_TAIL_S))
        return tasks

    @contextlib.contextmanager
    def _reads_refused(self) -> Iterator[None]:
        """Refuse a share of the linearizable reads during the block."""
        share = self._store.faults.busy_reads_share = self.options.busy_reads_share
        from_s = asyncio.get_running_loop().time()
        yield
        self._store.faults.busy_reads_share = 0.0
        if share:
            self.history.store_refusals.append((from_s, asyncio.get_running_loop().time()))

    async def _run_outages(self, until_s: float) -> None:
        outages = Outages(
            self._vms,
            self._start_vm,
            self._store,
            self._store_links,
            lambda: self._targets.keys() | self._desk_targets.keys(),
            self.history,
            self.log,
            random.Random(f"{self.options.seed}/outages"),
        )
        await outages.run(until_s, self._run_action, disturbs_store=self.options.disturbs_store)

    async def _watch_own_loop(self) -> None:
        """Record the spans in which this event loop stood still, and records are late."""
        loop = asyncio.get_running_loop()
        lateness = Lateness(loop.time())
        while True:
            began_s = loop.time()
            await asyncio.sleep(TICK_S)
            if lateness.record_tick(loop.time()) > TICK_S:
                self.history.own_delays.append((began_s, loop.time()))

    def _start_vm(self, vm: VmProcess) -> None:
        before = vm.pid
        vm.start()
        if vm.pid == before or vm.pid is None:
            return
        self.history.vm_lifetimes.append((vm.caller_address, asyncio.get_running_loop().time()))
        if self.options.press_per_s:
            self._shared_core.pin(vm.pid)

    def _make_callers(
        self, caller_type: type[Caller], count: int, prefix: str, seed: str
    ) -> list[Caller]:
        lookup_addresses = [vm.lookup_address for vm in self._vms]
        domains = sorted(REGION_BY_DOMAIN)
        return [
            caller_type(
                f"{prefix}{n}",
                lookup_addresses,
                domains[n % len(domains)],
                self.history,
                f"{seed}/{n}",
            )
            for n in range(count)
        ]

    def _make_crashing_callers(self, seed: str) -> list[Caller]:
        if self.options.press_per_s or self.options.is_calm:
            return []
        callers = (
            self._make_callers(RatedCrashingCaller, 1, "crash", seed)
            if self.options.only_crashes
            else self._make_callers(CrashingCaller, CRASHING_CALLERS, "crash", f"{seed}/crash")
        )
        hosts = range(1, self.options.crash_hosts + 1)
        for caller in callers:
            caller.own_hosts = tuple(f"127.{self.options.network}.3.{number}" for number in hosts)
        return callers

    async def _set_up(self) -> None:
        net = self.options.network
        store = Address(f"127.{net}.9.1", STORE_PORT)
        await self._store.listen(store)
        self._write_configuration()
        for number in range(self.options.targets):
            await self._add_target(sorted(REGION_BY_DOMAIN)[number % len(REGION_BY_DOMAIN)])
        for domain in DESK_DOMAINS:
            await self._add_target(domain, "desk")
        for number in range(self.options.vms):
            host = f"127.{net}.1.{number + 1}"
            link = Proxy(store)
            address = Address(f"127.{net}.8.{number + 1}", STORE_PORT)
            await link.listen(address)
            self._store_links.append(link)
            domain = sorted(REGION_BY_DOMAIN)[number % len(REGION_BY_DOMAIN)]
            vm = VmProcess(f"vm-{number}", domain, VmPorts(host, *VM_PORTS), address, self._folder)
            vm.build = self.options.previous or vm.build
            self._vms.append(vm)
            self._start_vm(vm)

    async def _add_target(self, domain: str, service: str = "app") -> None:
        self._target_serial += 1
        name = f"t{self._target_serial}"
        target = StandInTarget(name, slots=4, work_s=0.03)
        target_address = Address(f"127.{self.options.network}.5.{self._target_serial}", TARGET_PORT)
        proxy_address = Address(f"127.{self.options.network}.6.{self._target_serial}", TARGET_PORT)
        link = Proxy(target_address)
        await target.listen(target_address)
        await link.listen(proxy_address)
        if service == "app":
            target.crash_mode = self._crash_rng.choice(self._crash_modes)
        target.on_crash = lambda: self._handle_crash(name)
        targets = self._targets if service == "app" else self._desk_targets
        targets[name] = (target, link, domain, proxy_address)
        self._all_targets.append((target, domain, service))
        self._store.put(
            "servers", name, target.entry(service, proxy_address, domain, self._target_serial)
        )

    def _handle_crash(self, name: str) -> None:
        """Have a new target take the place of one that a request crashes."""
        self.log.append(f"{asyncio.get_running_loop().time():.2f} {name} crashed by a request")
        replace = functools.partial(self._replace_crashed, name)
        self._tasks.append(asyncio.create_task(self._run_action(replace, False)))

    async def _replace_crashed(self, name: str) -> None:
        service = "desk" if name in self._desk_targets else "app"
        targets = self._desk_targets if service == "desk" else self._targets
        if name not in targets:  # it was leaving or has crashed otherwise
            return
        target, link, domain, _ = targets[name]
        if target.crash_mode is CrashMode.SILENT:
            link.faults.drops_answers = True
        else:
            link.stop_listening()
        await self._add_target(domain, service)
        targets.pop(name, None)
        await asyncio.sleep(ENTRY_EXPIRY_S)
        self._store.delete("servers", name)
        link.stop()

    async def _start_random_action(self) -> None:
        """Start one random action.

        Planned actions must not cause failures, so only unplanned ones count as disruptions.
        """
        actions: list[tuple[str, Callable[[], Awaitable[None]], bool]] = [
            ("term", self._terminate_vm, True),
            ("kill", self._kill_vms, False),
            ("pause", self._pause_vm, False),
            ("hang up", self._send_sighup, True),
            ("configure", self._change_configuration, True),
            ("drain", self._drain_target, True),
            ("evacuate", self._evacuate_domain, True),
            ("crash", self._crash_target, False),
            ("store down", self._stop_store, False),
            ("store slow", self._slow_store_down, False),
            ("store refuses", self._refuse_store_connections, False),
            ("store forgets", self._compactions.compact, True),
            ("store loses answers", self._lose_store_answers, False),
            ("link", self._disturb_target_link, False),
            ("target faults", self._inject_target_faults, False),
        ]
        if not self.options.disturbs_store:
            actions = [action for action in actions if not action[0].startswith("store")]
        if self.options.press_per_s or self.options.is_calm:
            actions = [action for action in actions if action[0] in PLANNED_CHANGES]
        name, action, is_planned = self._rng.choice(actions)
        self.log.append(f"{asyncio.get_running_loop().time():.2f} {name}")
        self._tasks.append(asyncio.create_task(self._run_action(action, is_planned)))

    async def _run_action(self, action: Callable[[], Awaitable[None]], is_planned: bool) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await action()
        if not is_planned:
            self.history.disruptions.append((started_s, loop.time() + DISRUPTION_TAIL_S))

    async def _replace_builds(self, previous: Path) -> None:
        """Upgrade all VMs within the first half of the soak, and downgrade them in the second."""
        pause_s = self.options.seconds / (2 * len(self._vms))
        for build in (ROOT, previous):
            for vm in self._build_rng.sample(self._vms, len(self._vms)):
                vm.build = build
                self.log.append(f"{asyncio.get_running_loop().time():.2f} {vm.name} runs {build}")
                await asyncio.gather(self._restart(vm), asyncio.sleep(pause_s))

    async def _terminate_vm(self) -> None:
        await self._restart(self._rng.choice(self._vms))

    async def _restart(self, vm: VmProcess) -> None:
        with self.history.vm_disturbed(vm.caller_address):
            vm.signal(signal.SIGTERM)
            if not await vm.wait_for_exit(STOP_GRACE_S):
                vm.kill()
            self._start_vm(vm)

    async def _kill_vms(self) -> None:
        killed = self._rng.sample(self._vms, self._rng.randint(1, len(self._vms)))
        with contextlib.ExitStack() as disturbed:
            for vm in killed:
                disturbed.enter_context(self.history.vm_disturbed(vm.caller_address))
                vm.kill()
                self._start_vm(vm)
            times = await asyncio.gather(*(vm.wait_until_ready(READY_TIMEOUT_S) for vm in killed))
        for vm, took_s in zip(killed, times, strict=True):
            if took_s is not None:
                self.history.vm_starts.append(VmStart(vm.name, took_s))

    async def _pause_vm(self) -> None:
        vm = self._rng.choice(self._vms)
        with self.history.vm_disturbed(vm.caller_address):
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))
            vm.signal(signal.SIGCONT)

    async def _send_sighup(self) -> None:
        for vm in self._vms:
            vm.signal(signal.SIGHUP)

    async def _change_configuration(self) -> None:
        self._configuration_version += self._rng.randint(1, 3)
        self._routing = self._routing.changed(self._route_rng, self._configuration_version)
        self._write_configuration()

    def _write_configuration(self) -> None:
        content = configuration(self._configuration_version, self._routing.rows(), SERVICES)
        self._store.put("config", "main", content)
        now_s = asyncio.get_running_loop().time()
        self.history.configurations.append(ConfigurationWrite(now_s, self._routing))

    async def _drain_target(self) -> None:
        if len(self._targets) <= 2:
            await self._add_target(self._rng.choice(sorted(REGION_BY_DOMAIN)))
            return
        name = self._rng.choice(sorted(self._targets))
        target, link, domain, proxy_address = self._targets.pop(name)
        registration = target.entry("app", proxy_address, domain, 0)
        loop = asyncio.get_running_loop()
        self._store.put("servers", name, registration | {"state": "draining"})
        self.history.exclusions.append(ExclusionSpan(name, loop.time(), float("inf"), False))
        await self._add_target(domain)
        await asyncio.sleep(4.0)
        self._store.delete("servers", name)
        await asyncio.sleep(2.5)
        target.crash()
        link.stop()

    async def _evacuate_domain(self) -> None:
        domain = self._rng.choice(sorted(REGION_BY_DOMAIN))
        if self._store.names("evacuations"):
            return
        loop = asyncio.get_running_loop()
        self._store.put("evacuations", domain, {})
        from_s = loop.time()
        await asyncio.sleep(8.0)
        self.history.exclusions.append(ExclusionSpan(domain, from_s, loop.time(), True))
        self._store.delete("evacuations", domain)

    async def _crash_target(self) -> None:
        name = self._rng.choice(sorted(self._targets))
        target, link, domain, _ = self._targets.pop(name)
        target.crash()
        link.stop()
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self._store.delete("servers", name)
        await self._add_target(domain)

    async def _name_limits(self, until_s: float) -> None:
        """Have one target after the other name a limit, which some of them change or withdraw."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            name = self._limit_rng.choice(sorted(self._targets))
            target = self._targets[name][0]
            for _ in range(self._limit_rng.randint(1, 2)):
                per_s = round(self._limit_rng.uniform(0.5, 6.0), 1)
                from_s = loop.time()
                target.limit = str(per_s).encode()
                await asyncio.sleep(self._limit_rng.uniform(6.0, 9.0))
                self.history.limits.append(LimitSpan(name, per_s, from_s, loop.time()))
            target.limit = None

    async def _stop_store(self) -> None:
        with self.history.store_disturbed():
            self._store.faults.is_down = True
            for link in self._store_links:
                link.reset()
            await asyncio.sleep(self._rng.uniform(1.0, 5.0))
            self._store.faults.is_down = False

    async def _slow_store_down(self) -> None:
        with self.history.store_disturbed():
            self._store.faults.delay_s = 0.3
            await asyncio.sleep(3.0)
            self._store.faults.delay_s = 0.0

    async def _refuse_store_connections(self) -> None:
        vm, link = self._rng.choice(list(zip(self._vms, self._store_links, strict=True)))
        with self.history.vm_disturbed(vm.caller_address):
            link.faults.refuses = True
            link.reset()
            await asyncio.sleep(5.0)
            link.faults.refuses = False

    async def _lose_store_answers(self) -> None:
        with self.history.store_disturbed():
            self._store.faults.loses_answers = True
            await asyncio.sleep(2.0)
            self._store.faults.loses_answers = False

    async def _disturb_target_link(self) -> None:
        name = self._rng.choice(sorted(self._targets))
        link = self._targets[name][1]
        from_s = asyncio.get_running_loop().time()
        fault = self._rng.choice(["delay", "reset", "requests", "answers"])
        if fault == "delay":
            link.faults.delay_s = 0.2
        elif fault == "reset":
            link.reset()
        elif fault == "requests":
            link.faults.drops_requests = True
        else:
            link.faults.drops_answers = True
        await asyncio.sleep(2.0)
        link.faults.delay_s = 0.0
        link.faults.drops_requests = link.faults.drops_answers = False
        link.reset()
        until_s = asyncio.get_running_loop().time()
        self.history.link_disruptions.append((name, from_s, until_s))

    async def _inject_target_faults(self) -> None:
        target = self._targets[self._rng.choice(sorted(self._targets))][0]
        fault = self._rng.choice(
            ["shed", "lose_answer", "break_off", "spoil", "answer_crossed", "answer_early"]
        )
        setattr(target.faults, fault, self._rng.randint(1, 6))
        await asyncio.sleep(1.0)

    def _collect(self) -> None:
        for target, domain, service in self._all_targets:
            self.history.runs += [
                TargetRun(
                    run.request_id,
                    run.method,
                    run.path,
                    run.body_digest,
                    target.name,
                    domain,
                    run.at_s,
                    service,
                )
                for run in target.records.runs
            ]

    def _tear_down(self) -> None:
        self._shared_core.end_busy()
        for vm in self._vms:
            vm.kill()
        for _, link, _, _ in (*self._targets.values(), *self._desk_targets.values()):
            link.stop()
        for link in self._store_links:
            link.stop()
        self._store.stop()
        for target, _, _ in self._all_targets:
            target.crash()
