"""Give requests places at the targets of one service, or refuse them early."""

import random
import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from chervilmill.coordination import Vm
from chervilmill.requests import (
    AdmissionQueue,
    AttemptEnd,
    Domains,
    LoadReading,
    Priority,
    TargetCondition,
    TargetInfo,
    TargetPolicy,
    TooBusy,
    Waiting,
)

REFRESH_S = 0.25


class ServiceTargets(Protocol):
    """Know the VMs that take new work."""

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        ...

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        ...

    def report_leaving(self, name: str) -> None:
        """Take a target's own sign that it leaves."""
        ...


@dataclass(frozen=True, slots=True)
class Wanted:
    """Describe the place that a request wants; `only` names the one target it may run at.

    `domains` is None where steering does not limit the request.
    """

    priority: Priority
    deadline_s: float
    excluded: Collection[str] = ()
    only: str | None = None
    domains: Domains | None = None


class NoPlace(Exception):  # noqa: N818 - an answer to a request for a place
    """Report that no place was given; `retry_after_s` is None where no target is listed."""

    def __init__(self, retry_after_s: float | None) -> None:
        super().__init__("no place at a target")
        self.retry_after_s = retry_after_s


class _Waiter:
    __slots__ = ("ready", "target", "waiting", "wanted")

    def __init__(self, waiting: Waiting, wanted: Wanted) -> None:
        self.waiting = waiting
        self.wanted = wanted
        self.ready = threading.Event()
        self.target: Vm | None = None


class Places:
    """Hold the places of one service; safe for use from many threads."""

    def __init__(
        self,
        service: str,
        slots: int,
        directory: ServiceTargets,
        node: str,
        region: str,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.service = service
        self._slots = slots
        self._directory = directory
        self._node = node
        self._region = region
        self._rng = rng
        self._clock = clock
        self._policy = TargetPolicy(node)
        self._queue = AdmissionQueue()
        self._waiters: dict[int, _Waiter] = {}
        self._by_name: dict[str, Vm] = {}
        self._refreshed_s = float("-inf")
        self._lock = threading.Lock()

    def take(self, wanted: Wanted) -> Vm:
        """Return the target whose place the request now holds, or raise NoPlace.

        A request waits for a place only where one is expected before its deadline.
        """
        with self._lock:
            now_s = self._clock()
            self._refresh(now_s)
            if not self._policy.has_target(wanted.excluded):
                raise NoPlace(None)
            name = None if len(self._queue) else self._take(wanted, now_s)
            if name is not None:
                return self._by_name[name]
            waiter = self._join(wanted, now_s)
        return self._wait(waiter)

    def end(
        self, target: str, end: AttemptEnd, held_s: float, latency_s: float | None = None
    ) -> None:
        """Give back a place that was held for a time and learn how the attempt ended."""
        with self._lock:
            now_s = self._clock()
            self._policy.end(target, end, now_s, latency_s)
            self._queue.free(now_s, held_s)
            self._admit(now_s)

    def read(self, target: str, reading: LoadReading) -> None:
        """Take in the load that a target stated."""
        with self._lock:
            self._policy.read(target, reading, self._clock())

    def set_condition(self, target: str, condition: TargetCondition) -> None:
        """Take in what a target states of itself in an answer."""
        with self._lock:
            begins_to_leave = self._policy.set_condition(target, condition, self._clock())
        if begins_to_leave:
            self._directory.report_leaving(target)

    def set_probed_condition(self, target: str, condition: TargetCondition) -> None:
        """Take in what a probe tells of a target."""
        with self._lock:
            begins_to_leave = self._policy.set_probed_condition(target, condition, self._clock())
        if begins_to_leave:
            self._directory.report_leaving(target)

    def probes_due(self) -> list[Vm]:
        """Return the targets to probe now."""
        with self._lock:
            due = self._policy.probes_due(self._clock())
            return [self._by_name[name] for name in due if name in self._by_name]

    def probed(self, target: str, is_reached: bool) -> None:
        """Take in the end of a probe."""
        with self._lock:
            self._policy.probed(target, is_reached, self._clock())
            self._admit(self._clock())

    def is_open(self, target: str) -> bool:
        """Return whether a target takes requests of this node."""
        with self._lock:
            return self._policy.is_open(target, self._clock())

    def domains(self) -> dict[str, str]:
        """Return the failure domain of each listed target."""
        with self._lock:
            self._refresh(self._clock())
            return {name: vm.failure_domain for name, vm in self._by_name.items()}

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a place."""
        return len(self._queue)

    def _take(self, wanted: Wanted, now_s: float) -> str | None:
        if wanted.only is not None and wanted.only not in self._by_name:
            return None
        name = self._policy.take(now_s, self._rng, wanted.excluded, wanted.only, wanted.domains)
        if name is not None:
            self._queue.take()
        return name

    def _join(self, wanted: Wanted, now_s: float) -> _Waiter:
        waiting = Waiting(wanted.priority, now_s, wanted.deadline_s)
        refusal = self._queue.join(waiting, now_s)
        if isinstance(refusal, TooBusy):
            raise NoPlace(refusal.retry_after_s)
        waiter = _Waiter(waiting, wanted)
        self._waiters[id(waiting)] = waiter
        return waiter

    def _wait(self, waiter: _Waiter) -> Vm:
        waiter.ready.wait(max(0.0, waiter.waiting.gives_up_s() - self._clock()))
        with self._lock:
            self._queue.leave(waiter.waiting)
            self._waiters.pop(id(waiter.waiting), None)
            if waiter.target is None:
                raise NoPlace(self._queue.expected_wait_s(waiter.waiting.priority) or None)
            return waiter.target

    def _admit(self, now_s: float) -> None:
        skipped: list[Waiting] = []
        while (waiting := self._queue.next(now_s, skipped)) is not None:
            waiter = self._waiters[id(waiting)]
            name = self._take(waiter.wanted, now_s)
            if name is not None:
                self._queue.leave(waiting)
                waiter.target = self._by_name[name]
                waiter.ready.set()
            elif waiter.wanted.only is None and waiter.wanted.domains is None:
                return
            else:
                skipped.append(waiting)

    def _refresh(self, now_s: float) -> None:
        if now_s - self._refreshed_s < REFRESH_S and self._by_name:
            return
        self._refreshed_s = now_s
        targets = self._directory.targets(self.service)
        entries = [vm.name for vm in self._directory.entry_vms() if vm.region == self._region]
        infos = [
            TargetInfo(vm.name, self._slots, vm.region == self._region, vm.failure_domain)
            for vm in targets
        ]
        self._by_name.update({vm.name: vm for vm in targets})
        for gone in self._by_name.keys() - {vm.name for vm in targets}:
            del self._by_name[gone]
        self._policy.update(infos, entries, now_s)
