"""Count the store's calls for orders under three designs on a virtual clock."""

import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bench._rows import Figure
from bench.requests._world import Clock
from chervilmill.coordination import ORDER_SHARDS, ORDER_WRITES_PER_S
from chervilmill.requests import (
    EMPTY_SHARD,
    CachedShard,
    Change,
    Claim,
    ClaimReply,
    ClaimResult,
    OrderKey,
    Outcome,
    ReadShard,
    RecordOutcome,
    ShardQueue,
    StoreCall,
    StoreFailure,
    StoreReply,
    WritePacer,
    commit_changes,
    decode_cached_shard,
    order_key,
)

NODES = 12
STORE_WRITES_PER_S = 300.0
STORE_S = 0.004
REGION_DELAYS_S = (0.003, 0.055, 0.055)
RUN_S = 0.08
RECORD_DELAY_S = 0.2
MEASURED_S = 10.0
RATES = (1, 20, 100, 300, 800)
TRIED_RATES = (25, 50, 75, 100, 125, 150, 200, 300, 400, 800)
DONE = Outcome(200, "application/json", b"{}")


@dataclass(slots=True)
class Counted:
    """Count calls of the store and the waits of claims."""

    reads: int = 0
    writes: int = 0
    orders: int = 0
    refused: int = 0
    writes_in_time: int = 0
    claim_waits_s: list[float] = field(default_factory=list)


class _Store:
    """Answer calls after the delay between a node's region and the store's."""

    def __init__(self, clock: Clock, counted: Counted) -> None:
        self._clock = clock
        self._counted = counted
        self._version = 0
        self._objects: dict[int, tuple[int, bytes]] = {}

    def call(
        self, index: int, call: StoreCall, delay_s: float, reply: Callable[[StoreReply], None]
    ) -> None:
        def arrive() -> None:
            answer = self._answer(index, call)
            self._clock.after(delay_s + STORE_S, lambda: reply(answer))

        self._clock.after(delay_s, arrive)

    def _answer(self, index: int, call: StoreCall) -> StoreReply:
        version, value = self._objects.get(index, (None, None))
        if isinstance(call, ReadShard):
            self._counted.reads += 1
            return decode_cached_shard(value, version)
        self._counted.writes += 1
        self._counted.writes_in_time += int(self._clock.now_s <= MEASURED_S)
        if call.version != version:
            return StoreFailure.CONFLICT
        self._version += 1
        self._objects[index] = (self._version, call.value)
        return self._version


class _Node:
    """Commit the changes of the shards as the ledger does, without its threads.

    The nodes know at first that every shard is empty, as after a run-up.
    """

    def __init__(
        self, clock: Clock, store: _Store, delay_s: float, shards: int, writes_per_s: float
    ) -> None:
        self._clock = clock
        self._store = store
        self.delay_s = delay_s
        self._queues = [ShardQueue() for _ in range(shards)]
        for shard_queue in self._queues:
            shard_queue.cached = CachedShard(EMPTY_SHARD, None)
        self._pacer = WritePacer(writes_per_s)
        self._due: deque[int] = deque()

    def claim(self, claim: Claim, listener: Callable[[ClaimReply], None]) -> None:
        index = claim.key.shard_index(len(self._queues))
        self._queues[index].claim(claim, listener)
        self._schedule(index)

    def record(self, change: RecordOutcome) -> None:
        index = change.key.shard_index(len(self._queues))
        self._queues[index].record(change)
        self._clock.after(RECORD_DELAY_S, lambda: self._schedule(index))

    def _schedule(self, index: int) -> None:
        shard_queue = self._queues[index]
        if shard_queue.is_committing or not shard_queue.has_changes or index in self._due:
            return
        self._due.append(index)
        self._clock.after(self._pacer.schedule(self._clock.now_s), self._commit_next)

    def _commit_next(self) -> None:
        index = self._due.popleft()
        shard_queue = self._queues[index]
        changes: tuple[Change, ...] = shard_queue.begin_commit()
        steps = commit_changes(shard_queue.cached, changes, int(self._clock.now_s * 1000))

        def step(reply: CachedShard | int | StoreFailure | None) -> None:
            try:
                call = next(steps) if reply is None else steps.send(reply)
            except StopIteration as stop:
                shard_queue.end_commit(stop.value)
                if shard_queue.has_claims:
                    self._schedule(index)
                return
            self._store.call(index, call, self.delay_s, step)

        step(None)


@dataclass(frozen=True, slots=True)
class Design:
    """Describe one design: its shards, and whether an owner near the store commits each shard.

    Owners share the store's writes evenly and group what waits; the others write at once.
    """

    name: str
    shards: int
    has_owner: bool


DESIGNS = (
    Design("claim_per_order", 2**16, has_owner=False),
    Design("shared_shards", ORDER_SHARDS, has_owner=False),
    Design("owned_shards", ORDER_SHARDS, has_owner=True),
)


def run(design: Design, orders_per_s: float, seed: int) -> Counted:
    """Return what the orders of 12 nodes in three regions cost."""
    rng = random.Random(f"{seed} {design.name} {orders_per_s}")
    clock, counted = Clock(), Counted()
    store = _Store(clock, counted)
    delays_s = [REGION_DELAYS_S[index % len(REGION_DELAYS_S)] for index in range(NODES)]
    near = [index for index in range(NODES) if delays_s[index] == min(delays_s)]
    writes_per_s = ORDER_WRITES_PER_S / len(near) if design.has_owner else math.inf
    nodes = [_Node(clock, store, delay_s, design.shards, writes_per_s) for delay_s in delays_s]

    def arrive() -> None:
        if clock.now_s >= MEASURED_S:
            return
        key = order_key("souhrny", str(rng.random()), "POST", "/orders", b"{}")
        owners = near if design.has_owner else [rng.randrange(NODES)]
        owner = owners[key.shard_index(design.shards) % len(owners)]
        entry = rng.randrange(NODES) if design.has_owner else owner
        _order(clock, counted, nodes[entry], nodes[owner], key, rng)
        clock.after(rng.expovariate(orders_per_s), arrive)

    arrive()
    clock.run(MEASURED_S + 30)
    return counted


def _order(
    clock: Clock, counted: Counted, entry: _Node, owner: _Node, key: OrderKey, rng: random.Random
) -> None:
    started_s = clock.now_s
    nonce = rng.randbytes(12)
    hop_s = 0.0 if owner is entry else _between(entry, owner)
    counted.orders += 1

    def replied(reply: ClaimReply) -> None:
        if reply.result is not ClaimResult.GRANTED:
            counted.refused += 1
            return
        counted.claim_waits_s.append(clock.now_s + hop_s - started_s)
        finish = RecordOutcome(key, nonce, DONE)
        clock.after(RUN_S, lambda: owner.record(finish))

    clock.after(hop_s, lambda: owner.claim(Claim(key, nonce), replied))


def _between(first: _Node, second: _Node) -> float:
    return 0.003 if first.delay_s == second.delay_s else 0.055


def order_figures(seed: int) -> Iterator[Figure]:
    """Yield the cost of orders under each design, at a low and at a high rate."""
    for design in DESIGNS:
        for rate in RATES if design.has_owner else RATES[:3]:
            counted = run(design, rate, seed)
            yield from _shown(f"orders.{design.name}.at_{rate}_per_s", counted)
        yield Figure(f"orders.{design.name}.within_300_writes", _most(design, seed), "orders/s")


def _shown(prefix: str, counted: Counted) -> Iterator[Figure]:
    ordered = sorted(counted.claim_waits_s)
    yield Figure(f"{prefix}.writes", counted.writes / counted.orders, "per order")
    yield Figure(f"{prefix}.reads", counted.reads / counted.orders, "per order")
    calls = counted.writes + counted.reads
    yield Figure(f"{prefix}.calls", calls / counted.orders, "per order")
    yield Figure(f"{prefix}.claim_median", 1000 * ordered[len(ordered) // 2], "ms")
    yield Figure(f"{prefix}.claim_p99", 1000 * ordered[int(0.99 * len(ordered))], "ms")
    yield Figure(f"{prefix}.refused", 100 * counted.refused / counted.orders, "%")


def _most(design: Design, seed: int) -> float:
    """Return the highest rate of those tried whose writes fit into what the store takes."""
    fitting = 0.0
    for rate in TRIED_RATES:
        counted = run(design, rate, seed)
        if counted.writes_in_time / MEASURED_S > STORE_WRITES_PER_S:
            break
        fitting = rate
    return fitting
