"""Run requests through entry VMs that choose targets without seeing each other's choices."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from bench.requests._world import Clock, FakeTarget, Reply, ReplyKind, Work, service_time
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
    """Count what became of the requests that arrived after the warm-up."""

    latencies_s: list[float] = field(default_factory=list)
    received: int = 0
    sent: int = 0
    refused: int = 0
    late: int = 0


@dataclass(eq=False, slots=True)
class Call:
    """Hold one request of a caller."""

    arrived_s: float
    is_counted: bool
    service_s: float
    attempts: int = 0
    tried: list[str] = field(default_factory=list)
    is_over: bool = False


class Entry(Protocol):
    """Run the requests that reach one entry VM."""

    def receive(self, call: Call) -> None:
        """Take a request."""
        ...


class _Base:
    def __init__(
        self,
        name: str,
        entries: Sequence[str],
        targets: Sequence[FakeTarget],
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

    def _finish(self, call: Call) -> None:
        call.is_over = True
        if not call.is_counted:
            return
        latency_s = self.clock.now_s - call.arrived_s
        if latency_s > DEADLINE_S:
            self.tally.late += 1
        else:
            self.tally.latencies_s.append(latency_s)

    def _refuse(self, call: Call) -> None:
        call.is_over = True
        self.tally.refused += int(call.is_counted)


class Plain(_Base):
    """Send each request to one target and give its failure back."""

    def receive(self, call: Call) -> None:
        """Take a request."""
        name = self._choose()
        self._started(name)
        self.tally.sent += int(call.is_counted)

        def deliver(reply: Reply) -> None:
            self._ended(name)
            if reply.kind is ReplyKind.ANSWERED:
                self._finish(call)
            else:
                self._refuse(call)

        self.targets[name].send(Work(deliver, call.service_s))

    def _choose(self) -> str:
        raise NotImplementedError

    def _started(self, name: str) -> None:
        """Count an attempt that begins."""

    def _ended(self, name: str) -> None:
        """Count an attempt that has ended."""


class RoundRobin(Plain):
    """Take the targets in turn."""

    _next = -1

    def _choose(self) -> str:
        names = list(self.targets)
        if self._next < 0:
            self._next = self.rng.randrange(len(names))
        self._next = (self._next + 1) % len(names)
        return names[self._next]


class _Counting(Plain):
    def __init__(
        self,
        name: str,
        entries: Sequence[str],
        targets: Sequence[FakeTarget],
        clock: Clock,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        super().__init__(name, entries, targets, clock, rng, tally)
        self.in_flight: Counter[str] = Counter()

    def _started(self, name: str) -> None:
        self.in_flight[name] += 1

    def _ended(self, name: str) -> None:
        self.in_flight[name] -= 1


class LeastInFlight(_Counting):
    """Take the target with the fewest own requests in flight."""

    def _choose(self) -> str:
        return min(self.targets, key=lambda name: (self.in_flight[name], self.rng.random()))


class TwoChoices(_Counting):
    """Draw two targets and take the one with fewer own requests in flight."""

    def _choose(self) -> str:
        drawn = self.rng.sample(list(self.targets), 2)
        return min(drawn, key=lambda name: self.in_flight[name])


class Steered(_Base):
    """Run requests by the product's choice, admission and retries."""

    def __init__(
        self,
        name: str,
        entries: Sequence[str],
        targets: Sequence[FakeTarget],
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
        self._calls: dict[int, Call] = {}
        self._probing: set[str] = set()

    def receive(self, call: Call) -> None:
        """Take a request."""
        self.budget.count_request(is_retry=False)
        self._admit(call)

    def _admit(self, call: Call) -> None:
        now_s = self.clock.now_s
        if not len(self.queue):
            name = self.policy.start_attempt(now_s, self.rng, call.tried)
            if name is not None:
                self._attempt(call, name)
                return
        deadline_s = call.arrived_s + DEADLINE_S
        priority = priority_of(RequestKind.IDEMPOTENT, deadline_s - now_s)
        waiting = QueuedRequest(priority, now_s, deadline_s)
        if self.queue.join(waiting, now_s) is not None:
            self._refuse(call)
            return
        self._calls[id(waiting)] = call
        self.clock.after(waiting.wait_until_s() - now_s, lambda: self._give_up(waiting))

    def _give_up(self, waiting: QueuedRequest) -> None:
        call = self._calls.pop(id(waiting), None)
        if call is not None:
            self.queue.leave(waiting)
            self._refuse(call)

    def _pump(self) -> None:
        while (waiting := self.queue.peek(self.clock.now_s)) is not None:
            call = self._calls[id(waiting)]
            name = self.policy.start_attempt(self.clock.now_s, self.rng, call.tried)
            if name is None:
                return
            self.queue.leave(waiting)
            del self._calls[id(waiting)]
            self._attempt(call, name)

    def _attempt(self, call: Call, name: str) -> None:
        started_s = self.clock.now_s
        call.attempts += 1
        call.tried.append(name)
        self.tally.sent += int(call.is_counted)
        self.queue.slot_taken()

        def deliver(reply: Reply) -> None:
            now_s = self.clock.now_s
            if reply.load is not None:
                self.policy.record_load(name, reply.load, now_s)
            self.policy.end_attempt(name, _ENDS[reply.kind], now_s, now_s - started_s)
            self.queue.slot_freed(now_s, now_s - started_s)
            if reply.kind is ReplyKind.ANSWERED:
                self._finish(call)
            else:
                self._retry(call, reply.kind)
            self._probe()
            self._pump()

        self.targets[name].send(Work(deliver, call.service_s))

    def _probe(self) -> None:
        for name in self.policy.probes_due(self.clock.now_s):
            if name not in self._probing:
                self._probing.add(name)
                self.targets[name].probe(partial(self._probed, name))

    def _probed(self, name: str, is_reached: bool) -> None:
        self._probing.discard(name)
        self.policy.record_probe(name, is_reached, self.clock.now_s)

    def _retry(self, call: Call, kind: ReplyKind) -> None:
        left_s = call.arrived_s + DEADLINE_S - self.clock.now_s
        failed = FailedAttempt(RequestKind.IDEMPOTENT, _FAILURES[kind], call.attempts, left_s)
        retry = decide_retry(failed, self.budget, self.rng)
        if retry is None:
            self._refuse(call)
            return
        self.clock.after(retry.after_s, lambda: self._admit(call))


_ENDS = {
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


def new_call(clock: Clock, rng: random.Random, is_counted: bool) -> Call:
    """Return a request that arrives now."""
    return Call(clock.now_s, is_counted, service_time(rng))
