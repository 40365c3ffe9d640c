"""Simulated entry VMs that choose targets without knowledge of each other's choices."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from bench.requests._simulation import (
    Attempt,
    Clock,
    Reply,
    ReplyKind,
    SimulatedTarget,
    service_time,
)
from chervilmill.requests import (
    AdmissionQueue,
    AttemptEnd,
    FailedAttempt,
    Failure,
    QueuedRequest,
    RequestKind,
    RetryBudget,
    TargetInfo,
    TargetPolicy,
    decide_retry,
    priority_of,
)

DEADLINE_S = 1.0


@dataclass(eq=False, slots=True)
class Tally:
    """Outcome counts and latencies of the requests that arrived after the warm-up."""

    latencies_s: list[float] = field(default_factory=list)
    received: int = 0
    sent: int = 0
    refused: int = 0
    late: int = 0


@dataclass(eq=False, slots=True)
class CallerRequest:
    """A caller's request with its arrival time and the attempts made so far."""

    arrived_s: float
    is_counted: bool
    service_s: float
    attempts: int = 0
    tried: list[str] = field(default_factory=list)
    is_over: bool = False


class Entry(Protocol):
    """An entry VM that handles the requests it receives."""

    def receive(self, request: CallerRequest) -> None:
        """Handle a request that arrives now."""
        ...


class _EntryBase:
    def __init__(
        self,
        name: str,
        entries: Sequence[str],
        targets: Sequence[SimulatedTarget],
        clock: Clock,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self.name = name
        self.entries = entries
        self.targets = {target.name: target for target in targets}
        self.clock = clock
        self.rng = rng
        self.tally = tally

    def _finish(self, request: CallerRequest) -> None:
        request.is_over = True
        if not request.is_counted:
            return
        latency_s = self.clock.now_s - request.arrived_s
        if latency_s > DEADLINE_S:
            self.tally.late += 1
        else:
            self.tally.latencies_s.append(latency_s)

    def _refuse(self, request: CallerRequest) -> None:
        request.is_over = True
        self.tally.refused += int(request.is_counted)


class SingleAttemptEntry(_EntryBase):
    """Base class of the baselines: each request gets one attempt, and its failure is final."""

    def receive(self, request: CallerRequest) -> None:
        """Handle a request that arrives now."""
        name = self._choose()
        self._attempt_started(name)
        self.tally.sent += int(request.is_counted)

        def deliver(reply: Reply) -> None:
            self._attempt_ended(name)
            if reply.kind is ReplyKind.ANSWERED:
                self._finish(request)
            else:
                self._refuse(request)

        self.targets[name].send(Attempt(deliver, request.service_s))

    def _choose(self) -> str:
        raise NotImplementedError

    def _attempt_started(self, name: str) -> None:
        """Record the start of an attempt."""

    def _attempt_ended(self, name: str) -> None:
        """Record the end of an attempt."""


class RoundRobin(SingleAttemptEntry):
    """Choose the targets in turn, starting at a random one."""

    _next = -1

    def _choose(self) -> str:
        names = list(self.targets)
        if self._next < 0:
            self._next = self.rng.randrange(len(names))
        self._next = (self._next + 1) % len(names)
        return names[self._next]


class _InFlightEntry(SingleAttemptEntry):
    def __init__(
        self,
        name: str,
        entries: Sequence[str],
        targets: Sequence[SimulatedTarget],
        clock: Clock,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        super().__init__(name, entries, targets, clock, rng, tally)
        self.in_flight: Counter[str] = Counter()

    def _attempt_started(self, name: str) -> None:
        self.in_flight[name] += 1

    def _attempt_ended(self, name: str) -> None:
        self.in_flight[name] -= 1


class LeastInFlight(_InFlightEntry):
    """Choose the target with the fewest requests in flight from this entry VM."""

    def _choose(self) -> str:
        return min(self.targets, key=lambda name: (self.in_flight[name], self.rng.random()))


class TwoChoices(_InFlightEntry):
    """Draw two targets and choose the one with fewer requests in flight from this entry VM."""

    def _choose(self) -> str:
        candidates = self.rng.sample(list(self.targets), 2)
        return min(candidates, key=lambda name: self.in_flight[name])


class Steered(_EntryBase):
    """Handle requests with the product's target policy, admission queue and retry budget."""

    def __init__(
        self,
        name: str,
        entries: Sequence[str],
        targets: Sequence[SimulatedTarget],
        clock: Clock,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        super().__init__(name, entries, targets, clock, rng, tally)
        self.policy = TargetPolicy(name)
        infos = [TargetInfo(target.name, target.slots) for target in targets]
        self.policy.update(infos, entries, clock.now_s)
        self.queue = AdmissionQueue()
        self.budget = RetryBudget()
        self._waiting_requests: dict[int, CallerRequest] = {}
        self._probes_running: set[str] = set()

    def receive(self, request: CallerRequest) -> None:
        """Handle a request that arrives now."""
        self.budget.count_request(is_retry=False)
        self._admit(request)

    def _admit(self, request: CallerRequest) -> None:
        now_s = self.clock.now_s
        if not len(self.queue):
            name = self.policy.start_attempt(now_s, self.rng, request.tried)
            if name is not None:
                self._start_attempt(request, name)
                return
        deadline_s = request.arrived_s + DEADLINE_S
        priority = priority_of(RequestKind.IDEMPOTENT, deadline_s - now_s)
        waiting = QueuedRequest(priority, now_s, deadline_s)
        if self.queue.join(waiting, now_s) is not None:
            self._refuse(request)
            return
        self._waiting_requests[id(waiting)] = request
        self.clock.after(waiting.wait_until_s() - now_s, lambda: self._expire(waiting))

    def _expire(self, waiting: QueuedRequest) -> None:
        request = self._waiting_requests.pop(id(waiting), None)
        if request is not None:
            self.queue.leave(waiting)
            self._refuse(request)

    def _dispatch_waiting(self) -> None:
        while (waiting := self.queue.peek(self.clock.now_s)) is not None:
            request = self._waiting_requests[id(waiting)]
            name = self.policy.start_attempt(self.clock.now_s, self.rng, request.tried)
            if name is None:
                return
            self.queue.leave(waiting)
            del self._waiting_requests[id(waiting)]
            self._start_attempt(request, name)

    def _start_attempt(self, request: CallerRequest, name: str) -> None:
        started_s = self.clock.now_s
        request.attempts += 1
        request.tried.append(name)
        self.tally.sent += int(request.is_counted)
        self.queue.slot_taken()

        def deliver(reply: Reply) -> None:
            now_s = self.clock.now_s
            if reply.load is not None:
                self.policy.record_load(name, reply.load, now_s)
            self.policy.end_attempt(name, _ATTEMPT_ENDS[reply.kind], now_s, now_s - started_s)
            self.queue.slot_freed(now_s, now_s - started_s)
            if reply.kind is ReplyKind.ANSWERED:
                self._finish(request)
            else:
                self._retry(request, reply.kind)
            self._start_due_probes()
            self._dispatch_waiting()

        self.targets[name].send(Attempt(deliver, request.service_s))

    def _start_due_probes(self) -> None:
        for name in self.policy.probes_due(self.clock.now_s):
            if name not in self._probes_running:
                self._probes_running.add(name)
                self.targets[name].probe(partial(self._record_probe, name))

    def _record_probe(self, name: str, is_reached: bool) -> None:
        self._probes_running.discard(name)
        self.policy.record_probe(name, is_reached, self.clock.now_s)

    def _retry(self, request: CallerRequest, kind: ReplyKind) -> None:
        remaining_s = request.arrived_s + DEADLINE_S - self.clock.now_s
        failed = FailedAttempt(
            RequestKind.IDEMPOTENT, _FAILURES[kind], request.attempts, remaining_s
        )
        retry = decide_retry(failed, self.budget, self.rng)
        if retry is None:
            self._refuse(request)
            return
        self.clock.after(retry.after_s, lambda: self._admit(request))


_ATTEMPT_ENDS = {
    ReplyKind.ANSWERED: AttemptEnd.ANSWERED,
    ReplyKind.SHED: AttemptEnd.SHED,
    ReplyKind.LOST: AttemptEnd.FAILED,
    ReplyKind.UNREACHABLE: AttemptEnd.UNREACHABLE,
}
_FAILURES = {
    ReplyKind.SHED: Failure.SHED,
    ReplyKind.LOST: Failure.LOST,
    ReplyKind.UNREACHABLE: Failure.CONNECT_FAILED,
}


def new_request(clock: Clock, rng: random.Random, is_counted: bool) -> CallerRequest:
    """Return a request that arrives now, with a random service time."""
    return CallerRequest(clock.now_s, is_counted, service_time(rng))
