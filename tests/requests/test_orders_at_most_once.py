"""Interleave two entry VMs, crashes and store faults and count what the target runs.

The world below drives the very state machines that the ledger and the callers' side carry out.
"""

import random
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

import pytest

from chervilmill.requests import (
    Answered,
    Claim,
    ClaimReply,
    HeldShard,
    OrderEnd,
    OrderKey,
    OrderRun,
    Outcome,
    ReadShard,
    Release,
    Send,
    SendFailure,
    ShardQueue,
    Standing,
    StoreFailure,
    WriteShard,
    commit_changes,
    order_key,
    read_stored,
)

SEEDS_A_TEST = 1_250
STEPS = 110
TRANSMISSIONS = 5
DAY_MS = 86_400_000
START_MS = 1_700_000_000_000
DATED_KEY = f"{START_MS:012x}"[:8] + "-" + f"{START_MS:012x}"[8:] + "-7000-8000-000000000001"
KEYS = ("plain-key", DATED_KEY)


class FaultyStore:
    """Hold the shard; lose replies, apply writes late, or be down, as the dice fall."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.version = 0
        self.value: bytes | None = None
        self.late: list[WriteShard] = []
        self.is_down = False

    def call(self, call: ReadShard | WriteShard) -> HeldShard | int | StoreFailure:
        if self.is_down:
            return StoreFailure.UNAVAILABLE
        if isinstance(call, ReadShard):
            return read_stored(self.value, self.version or None)
        fate = self.rng.random()
        if fate < 0.15:
            self.late.append(call)
            return StoreFailure.UNSURE
        if fate < 0.2:
            return StoreFailure.UNSURE
        reply = self.apply(call)
        return StoreFailure.UNSURE if fate < 0.4 else reply

    def apply(self, call: WriteShard) -> int | StoreFailure:
        if call.version != (self.version or None):
            return StoreFailure.CONFLICT
        self.version += 1
        self.value = call.value
        return self.version


@dataclass
class Transmission:
    """Hold one transmission of an order through one entry VM."""

    key: str
    number: int
    run: OrderRun
    steps: Generator
    inbox: list[object] = field(default_factory=lambda: [None])
    claim: Claim | None = None


class Vm:
    """Hold what an entry VM loses when it crashes."""

    def __init__(self, clock_error_ms: int) -> None:
        self.clock_error_ms = clock_error_ms
        self.queue = ShardQueue()
        self.commit: Generator | None = None
        self.commit_reply: object = None
        self.transmissions: list[Transmission] = []
        self.paused_steps = 0


class World:
    """Interleave the parts by a seed."""

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

    def play(self) -> None:
        for _ in range(STEPS):
            self._step(self.rng.random())
        self.store.is_down = False
        for vm in self.vms:
            vm.paused_steps = 0
        for _ in range(STEPS):
            for vm in self.vms:
                self._work(vm)
            self._land_late()

    def faults(self) -> list[str]:
        found = [f"{key} ran {count} times" for key, count in self.runs.items() if count > 1]
        for number, end in self.results.items():
            if end is OrderEnd.NOT_RUN and number in self.ran:
                found.append(f"transmission {number} ran and was reported as not run")
        return found

    def _step(self, fate: float) -> None:
        if fate < 0.12 and self.sent < TRANSMISSIONS:
            self._transmit()
        elif fate < 0.14:
            index = self.rng.randrange(len(self.vms))
            self.vms[index] = Vm(self.vms[index].clock_error_ms)
        elif fate < 0.16:
            self.store.is_down = not self.store.is_down and self.rng.random() < 0.4
        elif fate < 0.18:
            self.rng.choice(self.vms).paused_steps = 25
        elif fate < 0.19:
            self.now_ms += self.rng.choice((1_000, DAY_MS + DAY_MS // 8))
        elif fate < 0.27:
            self._land_late()
        else:
            self._work(self.rng.choice(self.vms))

    def _transmit(self) -> None:
        key = self.rng.choice(KEYS)
        run = OrderRun(self._key(key), self.sent.to_bytes(12, "big"))
        transmission = Transmission(key, self.sent, run, run.steps())
        self.rng.choice(self.vms).transmissions.append(transmission)
        self.sent += 1

    def _key(self, key: str) -> OrderKey:
        return order_key("souhrny", key, "POST", "/orders", b"body")

    def _work(self, vm: Vm) -> None:
        if vm.paused_steps:
            vm.paused_steps -= 1
            return
        ready = [one for one in vm.transmissions if one.inbox or self.rng.random() < 0.03]
        if ready and self.rng.random() < 0.6:
            self._advance(vm, self.rng.choice(ready))
        else:
            self._advance_commit(vm)

    def _advance(self, vm: Vm, one: Transmission) -> None:
        if not one.inbox:
            assert one.claim is not None
            vm.queue.give_up(one.claim)
            one.inbox.append(ClaimReply(Standing.STORE_UNAVAILABLE))
        try:
            action = one.steps.send(one.inbox.pop())
        except StopIteration as stop:
            vm.transmissions.remove(one)
            self.results[one.number] = stop.value.end
            return
        if isinstance(action, Claim):
            one.claim = action
            vm.queue.claim(action, one.inbox.append)
        elif isinstance(action, Send):
            one.inbox.append(self._send(one))
        else:
            vm.queue.record(action)
            one.inbox.append(None)

    def _advance_commit(self, vm: Vm) -> None:
        if vm.commit is None:
            changes = vm.queue.begin()
            if not changes:
                return
            vm.commit = self.commit(vm.queue.held, changes, self.now_ms + vm.clock_error_ms)
            vm.commit_reply = None
        try:
            vm.commit_reply = self.store.call(vm.commit.send(vm.commit_reply))
        except StopIteration as stop:
            vm.commit = None
            vm.queue.end(stop.value)

    def _send(self, one: Transmission) -> Answered | SendFailure:
        fate = self.rng.random()
        if fate < 0.2:
            return SendFailure.NOT_RUN
        if fate < 0.3:
            self.late_runs.append(one)
            return SendFailure.LOST
        if fate < 0.35:
            return SendFailure.LOST
        self._run(one)
        if fate < 0.5:
            return SendFailure.LOST
        return Answered(Outcome(200, "text/plain", b"done"))

    def _run(self, one: Transmission) -> None:
        self.runs[one.key] += 1
        self.ran.add(one.number)

    def _land_late(self) -> None:
        if self.store.late:
            self.store.apply(self.store.late.pop(self.rng.randrange(len(self.store.late))))
        if self.late_runs:
            self._run(self.late_runs.pop())


def _all_faults(world: type[World], seeds: range) -> list[str]:
    found = []
    for seed in seeds:
        played = world(seed)
        played.play()
        found += [f"seed {seed}: {fault}" for fault in played.faults()]
    return found


@pytest.mark.parametrize("part", range(8))
def test_no_order_runs_twice_and_every_not_run_is_true(part: int) -> None:
    seeds = range(part * SEEDS_A_TEST, (part + 1) * SEEDS_A_TEST)
    assert _all_faults(World, seeds) == []


def test_interleavings_reach_every_end() -> None:
    ends: Counter[OrderEnd] = Counter()
    runs = 0
    for seed in range(200):
        world = World(seed)
        world.play()
        ends.update(world.results.values())
        runs += world.runs.total()
    assert set(ends) == set(OrderEnd)
    assert min(ends.values()) > 20
    assert runs > 100


def _unsure_is_granted(held, changes, now_ms):
    """Take a write whose reply was lost as applied."""
    steps = commit_changes(held, changes, now_ms)
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


def _unconditional(held, changes, now_ms):
    """Trust a shard that was seen earlier without a write that proves it."""
    steps = commit_changes(held, changes, now_ms)
    try:
        call = next(steps)
        while True:
            reply = yield call
            if reply is StoreFailure.CONFLICT:
                reply = (call.version or 0) + 1
            call = steps.send(reply)
    except StopIteration as stop:
        return stop.value


class _LostIsNotRunWorld(World):
    """Release the claim of a send whose answer was lost."""

    def _send(self, one: Transmission) -> Answered | SendFailure:
        event = super()._send(one)
        return SendFailure.NOT_RUN_FINAL if event is SendFailure.LOST else event


def _world_with(commit: Callable) -> type[World]:
    return type("PlantedWorld", (World,), {"commit": staticmethod(commit)})


@pytest.mark.parametrize(
    "world",
    [_world_with(_unsure_is_granted), _world_with(_unconditional), _LostIsNotRunWorld],
    ids=["unsure write taken as applied", "condition ignored", "lost answer taken as not run"],
)
def test_a_planted_fault_is_found(world: type[World]) -> None:
    assert _all_faults(world, range(1_000))


def test_release_makes_a_key_new_again() -> None:
    queue = ShardQueue()
    key = order_key("souhrny", "k", "POST", "/orders", b"")
    claim = Claim(key, b"1" * 12)
    store = FaultyStore(random.Random(0))
    replies: list[ClaimReply] = []
    for change_queue in (
        lambda: queue.claim(claim, replies.append),
        lambda: queue.record(Release(key, claim.nonce)),
        lambda: queue.claim(Claim(key, b"2" * 12), replies.append),
    ):
        change_queue()
        steps = commit_changes(queue.held, queue.begin(), START_MS)
        call = next(steps)
        try:
            while True:
                if isinstance(call, ReadShard):
                    call = steps.send(store.call(call))
                else:
                    call = steps.send(store.apply(call))
        except StopIteration as stop:
            queue.end(stop.value)
    assert [reply.standing for reply in replies] == [Standing.GRANTED, Standing.GRANTED]
