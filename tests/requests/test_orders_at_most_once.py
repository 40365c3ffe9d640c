"""Test that orders run at most once under random interleavings of two entry VMs.

The simulation injects crashes, pauses, clock errors and store faults and counts how often the
target runs each order. It drives the same state machines as the order ledger and the request path.
"""

import random
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

import pytest

from chervilmill.requests import (
    AnswerReceived,
    CachedShard,
    Claim,
    ClaimReply,
    ClaimResult,
    OrderEnd,
    OrderKey,
    OrderRun,
    Outcome,
    ReadShard,
    ReleaseClaim,
    Send,
    SendFailure,
    ShardQueue,
    StoreFailure,
    WriteShard,
    commit_changes,
    decode_cached_shard,
    order_key,
)

SEEDS_PER_TEST = 1_250
STEPS = 110
TRANSMISSIONS = 5
DAY_MS = 86_400_000
START_MS = 1_700_000_000_000
DATED_KEY = f"{START_MS:012x}"[:8] + "-" + f"{START_MS:012x}"[8:] + "-7000-8000-000000000001"
KEYS = ("plain-key", DATED_KEY)


class FaultyStore:
    """A store of one shard that randomly loses replies, applies writes late or is down."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.version = 0
        self.value: bytes | None = None
        self.late: list[WriteShard] = []
        self.is_down = False

    def call(self, call: ReadShard | WriteShard) -> CachedShard | int | StoreFailure:
        if self.is_down:
            return StoreFailure.UNAVAILABLE
        if isinstance(call, ReadShard):
            return decode_cached_shard(self.value, self.version or None)
        roll = self.rng.random()
        if roll < 0.15:
            self.late.append(call)
            return StoreFailure.UNSURE
        if roll < 0.2:
            return StoreFailure.UNSURE
        reply = self.apply(call)
        return StoreFailure.UNSURE if roll < 0.4 else reply

    def apply(self, call: WriteShard) -> int | StoreFailure:
        if call.version != (self.version or None):
            return StoreFailure.CONFLICT
        self.version += 1
        self.value = call.value
        return self.version


@dataclass
class Transmission:
    """One transmission of an order through one entry VM."""

    key: str
    number: int
    run: OrderRun
    steps: Generator
    inbox: list[object] = field(default_factory=lambda: [None])
    claim: Claim | None = None


class Vm:
    """The state of an entry VM that is lost when the entry VM crashes."""

    def __init__(self, clock_error_ms: int) -> None:
        self.clock_error_ms = clock_error_ms
        self.queue = ShardQueue()
        self.commit: Generator | None = None
        self.commit_reply: object = None
        self.transmissions: list[Transmission] = []
        self.paused_steps = 0


class World:
    """A simulation whose random interleaving of events follows from its seed."""

    commit = staticmethod(commit_changes)

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = FaultyStore(self.rng)
        self.vms = [Vm(0), Vm(self.rng.choice((0, -400_000, 2 * DAY_MS)))]
        self.now_ms = START_MS + 1_000
        self.runs: Counter[str] = Counter()
        self.ran: set[int] = set()
        self.late_runs: list[Transmission] = []
        self.results: dict[int, OrderEnd] = {}
        self.sent = 0

    def simulate(self) -> None:
        for _ in range(STEPS):
            self._step(self.rng.random())
        self.store.is_down = False
        for vm in self.vms:
            vm.paused_steps = 0
        for _ in range(STEPS):
            for vm in self.vms:
                self._advance_vm(vm)
            self._apply_late()

    def violations(self) -> list[str]:
        found = [f"{key} ran {count} times" for key, count in self.runs.items() if count > 1]
        for number, end in self.results.items():
            if end is OrderEnd.NOT_RUN and number in self.ran:
                found.append(f"transmission {number} ran and was reported as not run")
        return found

    def _step(self, roll: float) -> None:
        if roll < 0.12 and self.sent < TRANSMISSIONS:
            self._transmit()
        elif roll < 0.14:
            index = self.rng.randrange(len(self.vms))
            self.vms[index] = Vm(self.vms[index].clock_error_ms)
        elif roll < 0.16:
            self.store.is_down = not self.store.is_down and self.rng.random() < 0.4
        elif roll < 0.18:
            self.rng.choice(self.vms).paused_steps = 25
        elif roll < 0.19:
            self.now_ms += self.rng.choice((1_000, DAY_MS + DAY_MS // 8))
        elif roll < 0.27:
            self._apply_late()
        else:
            self._advance_vm(self.rng.choice(self.vms))

    def _transmit(self) -> None:
        key = self.rng.choice(KEYS)
        run = OrderRun(self._key(key), self.sent.to_bytes(12, "big"))
        transmission = Transmission(key, self.sent, run, run.steps())
        self.rng.choice(self.vms).transmissions.append(transmission)
        self.sent += 1

    def _key(self, key: str) -> OrderKey:
        return order_key("souhrny", key, "POST", "/orders", b"body")

    def _advance_vm(self, vm: Vm) -> None:
        if vm.paused_steps:
            vm.paused_steps -= 1
            return
        ready = [
            transmission
            for transmission in vm.transmissions
            if transmission.inbox or self.rng.random() < 0.03
        ]
        if ready and self.rng.random() < 0.6:
            self._advance_transmission(vm, self.rng.choice(ready))
        else:
            self._advance_commit(vm)

    def _advance_transmission(self, vm: Vm, transmission: Transmission) -> None:
        if not transmission.inbox:
            assert transmission.claim is not None
            vm.queue.withdraw(transmission.claim)
            transmission.inbox.append(ClaimReply(ClaimResult.STORE_UNAVAILABLE))
        try:
            action = transmission.steps.send(transmission.inbox.pop())
        except StopIteration as stop:
            vm.transmissions.remove(transmission)
            self.results[transmission.number] = stop.value.end
            return
        if isinstance(action, Claim):
            transmission.claim = action
            vm.queue.claim(action, transmission.inbox.append)
        elif isinstance(action, Send):
            transmission.inbox.append(self._send(transmission))
        else:
            vm.queue.record(action)
            transmission.inbox.append(None)

    def _advance_commit(self, vm: Vm) -> None:
        if vm.commit is None:
            changes = vm.queue.begin_commit()
            if not changes:
                return
            vm.commit = self.commit(vm.queue.cached, changes, self.now_ms + vm.clock_error_ms)
            vm.commit_reply = None
        try:
            vm.commit_reply = self.store.call(vm.commit.send(vm.commit_reply))
        except StopIteration as stop:
            vm.commit = None
            vm.queue.end_commit(stop.value)

    def _send(self, transmission: Transmission) -> AnswerReceived | SendFailure:
        roll = self.rng.random()
        if roll < 0.2:
            return SendFailure.NOT_RUN
        if roll < 0.3:
            self.late_runs.append(transmission)
            return SendFailure.LOST
        if roll < 0.35:
            return SendFailure.LOST
        self._run(transmission)
        if roll < 0.5:
            return SendFailure.LOST
        return AnswerReceived(Outcome(200, "text/plain", b"done"))

    def _run(self, transmission: Transmission) -> None:
        self.runs[transmission.key] += 1
        self.ran.add(transmission.number)

    def _apply_late(self) -> None:
        if self.store.late:
            self.store.apply(self.store.late.pop(self.rng.randrange(len(self.store.late))))
        if self.late_runs:
            self._run(self.late_runs.pop())


def _all_violations(world: type[World], seeds: range) -> list[str]:
    found = []
    for seed in seeds:
        simulated = world(seed)
        simulated.simulate()
        found += [f"seed {seed}: {violation}" for violation in simulated.violations()]
    return found


@pytest.mark.parametrize("part", range(8))
def test_no_order_runs_twice_and_every_not_run_is_true(part: int) -> None:
    seeds = range(part * SEEDS_PER_TEST, (part + 1) * SEEDS_PER_TEST)
    assert _all_violations(World, seeds) == []


def test_interleavings_reach_every_end() -> None:
    ends: Counter[OrderEnd] = Counter()
    runs = 0
    for seed in range(200):
        world = World(seed)
        world.simulate()
        ends.update(world.results.values())
        runs += world.runs.total()
    assert set(ends) == set(OrderEnd)
    assert min(ends.values()) > 20
    assert runs > 100


def _commit_taking_unsure_as_applied(cached, changes, now_ms):
    """Commit changes, but treat a write whose reply was lost as applied."""
    steps = commit_changes(cached, changes, now_ms)
    try:
        call = next(steps)
        while True:
            reply = yield call
            is_write = isinstance(call, WriteShard)
            if is_write and reply is StoreFailure.UNSURE:
                reply = (call.version or 0) + 1
            call = steps.send(reply)
    except StopIteration as stop:
        return stop.value


def _commit_ignoring_conflicts(cached, changes, now_ms):
    """Commit changes, but ignore that a write was refused because the cached shard is outdated."""
    steps = commit_changes(cached, changes, now_ms)
    try:
        call = next(steps)
        while True:
            reply = yield call
            if reply is StoreFailure.CONFLICT:
                reply = (call.version or 0) + 1
            call = steps.send(reply)
    except StopIteration as stop:
        return stop.value


class _LostTakenAsNotRunWorld(World):
    """A simulation that releases the claim of an order whose answer was lost."""

    def _send(self, transmission: Transmission) -> AnswerReceived | SendFailure:
        event = super()._send(transmission)
        return SendFailure.NOT_RUN_FINAL if event is SendFailure.LOST else event


def _world_with(commit: Callable) -> type[World]:
    return type("PlantedWorld", (World,), {"commit": staticmethod(commit)})


@pytest.mark.parametrize(
    "world",
    [
        _world_with(_commit_taking_unsure_as_applied),
        _world_with(_commit_ignoring_conflicts),
        _LostTakenAsNotRunWorld,
    ],
    ids=["unsure write taken as applied", "condition ignored", "lost answer taken as not run"],
)
def test_a_planted_fault_is_found(world: type[World]) -> None:
    assert _all_violations(world, range(1_000))


def test_release_makes_a_key_new_again() -> None:
    queue = ShardQueue()
    key = order_key("souhrny", "k", "POST", "/orders", b"")
    claim = Claim(key, b"1" * 12)
    store = FaultyStore(random.Random(0))
    replies: list[ClaimReply] = []
    for enqueue in (
        lambda: queue.claim(claim, replies.append),
        lambda: queue.record(ReleaseClaim(key, claim.nonce)),
        lambda: queue.claim(Claim(key, b"2" * 12), replies.append),
    ):
        enqueue()
        steps = commit_changes(queue.cached, queue.begin_commit(), START_MS)
        call = next(steps)
        try:
            while True:
                if isinstance(call, ReadShard):
                    call = steps.send(store.call(call))
                else:
                    call = steps.send(store.apply(call))
        except StopIteration as stop:
            queue.end_commit(stop.value)
    assert [reply.result for reply in replies] == [ClaimResult.GRANTED, ClaimResult.GRANTED]
