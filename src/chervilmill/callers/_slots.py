"""Assign requests to slots at the targets of one service, or refuse them early."""

import random
import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from chervilmill.callers._target_limits import ServiceLimits
from chervilmill.coordination import Vm
from chervilmill.overload import LimitReport
from chervilmill.requests import (
    AdmissionQueue,
    AllowedDomains,
    AttemptEnd,
    Priority,
    QueuedRequest,
    QueueRefusal,
    ReportedLoad,
    TargetCondition,
    TargetInfo,
    TargetPolicy,
)

REFRESH_S = 0.25


class ServiceTargets(Protocol):
    """The directory of VMs that take new work."""

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        ...

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        ...

    def report_leaving(self, name: str) -> None:
        """Report that a target itself states that it is leaving."""
        ...


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot; `only` names the one target allowed, if there is such a limit.

    `domains` is None if steering does not limit the failure domains.
    """

    priority: Priority
    deadline_s: float
    excluded: Collection[str] = ()
    only: str | None = None
    domains: AllowedDomains | None = None


class NoFreeSlot(Exception):  # noqa: N818 - an expected result, not an error
    """No slot was assigned.

    `retry_after_s` is None if no target is listed or no waiting time can be estimated.
    """

    def __init__(self, retry_after_s: float | None) -> None:
        super().__init__("no free slot at a target")
        self.retry_after_s = retry_after_s


class _Waiter:
    """A thread that waits for a slot, and the target where it gets one."""

    __slots__ = ("ready", "target", "waiting", "request")

    def __init__(self, waiting: QueuedRequest, request: SlotRequest) -> None:
        self.waiting = waiting
        self.request = request
        self.ready = threading.Event()
        self.target: Vm | None = None


class TargetSlots:
    """The slots at the targets of one service, and the queue for them; thread-safe."""

    def __init__(
        self,
        service: str,
        slots_per_target: int,
        directory: ServiceTargets,
        node: str,
        region: str,
        rng: random.Random,
        on_limit_change: Callable[[LimitReport], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.service = service
        self._slots_per_target = slots_per_target
        self._directory = directory
        self._node = node
        self._region = region
        self._rng = rng
        self._clock = clock
        self._limits = ServiceLimits(service, node, region)
        self._on_limit_change = on_limit_change
        self._policy = TargetPolicy(node, self._limits.may_send)
        self._queue = AdmissionQueue()
        self._waiters: dict[int, _Waiter] = {}
        self._by_name: dict[str, Vm] = {}
        self._refreshed_s = float("-inf")
        self._lock = threading.Lock()

    def take(self, request: SlotRequest) -> Vm:
        """Take a slot and return its target, or raise NoFreeSlot.

        A request waits only if a slot is expected to become free before its deadline. It doesn't
        wait for a target to take more requests a second.
        """
        with self._lock:
            now_s = self._clock()
            self._refresh_targets(now_s)
            if not self._policy.has_target(request.excluded):
                raise NoFreeSlot(None)
            name = None if len(self._queue) else self._take_now(request, now_s)
            if name is not None:
                return self._by_name[name]
            self._refuse_if_rate_limited(request, now_s)
            waiter = self._enqueue(request, now_s)
        return self._wait_for_slot(waiter)

    def release(
        self, target: str, end: AttemptEnd, held_s: float, latency_s: float | None = None
    ) -> None:
        """Release a slot that was held for a time, and record how the attempt ended."""
        with self._lock:
            now_s = self._clock()
            self._policy.end_attempt(target, end, now_s, latency_s)
            self._queue.slot_freed(now_s, held_s)
            self._admit_waiting(now_s)

    def record_load(self, target: str, load: ReportedLoad) -> None:
        """Record the load that a target reported."""
        with self._lock:
            self._policy.record_load(target, load, self._clock())

    def record_limit(self, target: str, text: str | None) -> None:
        """Record the limit that a target named in an answer, or that the answer names none."""
        with self._lock:
            report = self._limits.record_answer(target, text, self._clock())
        if report is not None:
            self._on_limit_change(report)

    def record_pause(self, target: str, text: str) -> None:
        """Record the pause that a target asked for when it rejected a request."""
        with self._lock:
            self._limits.record_pause(target, text, self._clock())

    def receive_limit(self, report: LimitReport) -> None:
        """Apply a limit that another entry VM reports."""
        with self._lock:
            self._limits.receive(report, self._clock())

    def set_condition(self, target: str, condition: TargetCondition) -> None:
        """Record the condition that a target reported in an answer."""
        with self._lock:
            began_to_leave = self._policy.set_condition(target, condition, self._clock())
        if began_to_leave:
            self._directory.report_leaving(target)

    def set_probed_condition(self, target: str, condition: TargetCondition) -> None:
        """Record the condition that a target reported to a probe."""
        with self._lock:
            began_to_leave = self._policy.set_probed_condition(target, condition, self._clock())
        if began_to_leave:
            self._directory.report_leaving(target)

    def probes_due(self) -> list[Vm]:
        """Return the targets to probe now."""
        with self._lock:
            due = self._policy.probes_due(self._clock())
            return [self._by_name[name] for name in due if name in self._by_name]

    def record_probe(self, target: str, is_reached: bool) -> None:
        """Record whether a probe reached its target."""
        with self._lock:
            self._policy.record_probe(target, is_reached, self._clock())
            self._admit_waiting(self._clock())

    def is_open(self, target: str) -> bool:
        """Return whether a target accepts requests from this node."""
        with self._lock:
            now_s = self._clock()
            return self._policy.is_open(target, now_s) and self._limits.is_sender(target, now_s)

    def domains(self) -> dict[str, str]:
        """Return the failure domain of each listed target."""
        with self._lock:
            self._refresh_targets(self._clock())
            return {name: vm.failure_domain for name, vm in self._by_name.items()}

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._queue)

    def _take_now(self, request: SlotRequest, now_s: float) -> str | None:
        if request.only is not None and request.only not in self._by_name:
            return None
        name = self._policy.start_attempt(
            now_s, self._rng, request.excluded, request.only, request.domains
        )
        if name is not None:
            self._queue.slot_taken()
            self._limits.count(name, now_s)
        return name

    def _refuse_if_rate_limited(self, request: SlotRequest, now_s: float) -> None:
        """Raise NoFreeSlot if only the rates of its targets keep a request from them."""
        blocked = self._policy.rate_limited(now_s, request.excluded, request.only, request.domains)
        retry_after_s = self._limits.retry_after_s(blocked, now_s)
        if retry_after_s is not None:
            raise NoFreeSlot(retry_after_s)

    def _enqueue(self, request: SlotRequest, now_s: float) -> _Waiter:
        waiting = QueuedRequest(request.priority, now_s, request.deadline_s)
        refusal = self._queue.join(waiting, now_s)
        if isinstance(refusal, QueueRefusal):
            raise NoFreeSlot(refusal.retry_after_s)
        waiter = _Waiter(waiting, request)
        self._waiters[id(waiting)] = waiter
        return waiter

    def _wait_for_slot(self, waiter: _Waiter) -> Vm:
        waiter.ready.wait(max(0.0, waiter.waiting.wait_until_s() - self._clock()))
        with self._lock:
            self._queue.leave(waiter.waiting)
            self._waiters.pop(id(waiter.waiting), None)
            if waiter.target is None:
                raise NoFreeSlot(self._queue.expected_wait_s(waiter.waiting.priority) or None)
            return waiter.target

    def _admit_waiting(self, now_s: float) -> None:
        skipped: list[QueuedRequest] = []
        while (waiting := self._queue.peek(now_s, skipped)) is not None:
            waiter = self._waiters[id(waiting)]
            name = self._take_now(waiter.request, now_s)
            if name is not None:
                self._queue.leave(waiting)
                waiter.target = self._by_name[name]
                waiter.ready.set()
            elif waiter.request.only is None and waiter.request.domains is None:
                return
            else:
                skipped.append(waiting)

    def _refresh_targets(self, now_s: float) -> None:
        if now_s - self._refreshed_s < REFRESH_S and self._by_name:
            return
        self._refreshed_s = now_s
        targets = self._directory.targets(self.service)
        entry_vms = self._directory.entry_vms()
        entries = [vm.name for vm in entry_vms if vm.region == self._region]
        self._limits.set_fleet(targets, entry_vms)
        infos = [
            TargetInfo(
                vm.name, self._slots_per_target, vm.region == self._region, vm.failure_domain
            )
            for vm in targets
        ]
        self._by_name.update({vm.name: vm for vm in targets})
        for gone in self._by_name.keys() - {vm.name for vm in targets}:
            del self._by_name[gone]
        self._policy.update(infos, entries, now_s)
