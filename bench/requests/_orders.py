"""Count the store calls that orders cost under three designs, on a virtual clock."""

import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bench._rows import Figure
from bench.requests._simulation import Clock
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
STORE_LATENCY_S = 0.004
REGION_DELAYS_S = (0.003, 0.055, 0.055)
ORDER_RUN_S = 0.08
RECORD_DELAY_S = 0.2
MEASURED_S = 10.0
ORDER_RATES_PER_S = (1, 20, 100, 300, 800)
CAPACITY_RATES_PER_S = (25, 50, 75, 100, 125, 150, 200, 300, 400, 800)
ORDER_OUTCOME = Outcome(200, "application/json", b"{}")


@dataclass(slots=True)
class StoreCounts:
    """Counts of store calls and orders, and the waiting times of granted claims."""

    reads: int = 0
    writes: int = 0
    orders: int = 0
    refused: int = 0
    writes_while_measured: int = 0
    claim_waits_s: list[float] = field(default_factory=list)


class _Store:
    """A versioned store that answers after the network delay from the node's region."""

    def __init__(self, clock: Clock, counts: StoreCounts) -> None:
        self._clock = clock
        self._counts = counts
        self._version = 0
        self._objects: dict[int, tuple[int, bytes]] = {}

    def call(
        self, index: int, call: StoreCall, delay_s: float, reply: Callable[[StoreReply], None]
    ) -> None:
        def arrive() -> None:
            answer = self._answer(index, call)
            self._clock.after(delay_s + STORE_LATENCY_S, lambda: reply(answer))

        self._clock.after(delay_s, arrive)

    def _answer(self, index: int, call: StoreCall) -> StoreReply:
        version, value = self._objects.get(index, (None, None))
        if isinstance(call, ReadShard):
            self._counts.reads += 1
            return decode_cached_shard(value, version)
        self._counts.writes += 1
        self._counts.writes_while_measured += int(self._clock.now_s <= MEASURED_S)
        if call.version != version:
            return StoreFailure.CONFLICT
        self._version += 1
        self._objects[index] = (self._version, call.value)
        return self._version


class _Node:
    """A node that commits the changes of its shards like the ledger, but without threads.

    Each node starts with an empty copy of every shard in its cache, as after start-up.
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
    """A design: the number of shards, and whether each shard has an owner near the store.

    Only the owner commits the changes of its shard. The owners divide the permitted store writes
    evenly and commit waiting changes in groups. Without owners, nodes write at once.
    """

    name: str
    shards: int
    has_owner: bool


DESIGNS = (
    Design("claim_per_order", 2**16, has_owner=False),
    Design("shared_shards", ORDER_SHARDS, has_owner=False),
    Design("owned_shards", ORDER_SHARDS, has_owner=True),
)


def run(design: Design, orders_per_s: float, seed: int) -> StoreCounts:
    """Simulate the orders of 12 nodes in three regions and return the counts."""
    rng = random.Random(f"{seed} {design.name} {orders_per_s}")
    clock, counts = Clock(), StoreCounts()
    store = _Store(clock, counts)
    delays_s = [REGION_DELAYS_S[index % len(REGION_DELAYS_S)] for index in range(NODES)]
    nearest = [index for index in range(NODES) if delays_s[index] == min(delays_s)]
    writes_per_s = ORDER_WRITES_PER_S / len(nearest) if design.has_owner else math.inf
    nodes = [_Node(clock, store, delay_s, design.shards, writes_per_s) for delay_s in delays_s]

    def arrive() -> None:
        if clock.now_s >= MEASURED_S:
            return
        key = order_key("souhrny", str(rng.random()), "POST", "/orders", b"{}")
        owners = nearest if design.has_owner else [rng.randrange(NODES)]
        owner = owners[key.shard_index(design.shards) % len(owners)]
        entry = rng.randrange(NODES) if design.has_owner else owner
        _place_order(clock, counts, nodes[entry], nodes[owner], key, rng)
        clock.after(rng.expovariate(orders_per_s), arrive)

    arrive()
    clock.run(MEASURED_S + 30)
    return counts


def _place_order(
    clock: Clock, counts: StoreCounts, entry: _Node, owner: _Node, key: OrderKey, rng: random.Random
) -> None:
    started_s = clock.now_s
    nonce = rng.randbytes(12)
    hop_s = 0.0 if owner is entry else _hop_delay_s(entry, owner)
    counts.orders += 1

    def on_reply(reply: ClaimReply) -> None:
        if reply.result is not ClaimResult.GRANTED:
            counts.refused += 1
            return
        counts.claim_waits_s.append(clock.now_s + hop_s - started_s)
        outcome = RecordOutcome(key, nonce, ORDER_OUTCOME)
        clock.after(ORDER_RUN_S, lambda: owner.record(outcome))

    clock.after(hop_s, lambda: owner.claim(Claim(key, nonce), on_reply))


def _hop_delay_s(first: _Node, second: _Node) -> float:
    return 0.003 if first.delay_s == second.delay_s else 0.055


def order_figures(seed: int) -> Iterator[Figure]:
    """Yield the cost of orders and the highest sustained rate of each design.

    Designs without owners run only at the three lowest rates.
    """
    for design in DESIGNS:
        for rate in ORDER_RATES_PER_S if design.has_owner else ORDER_RATES_PER_S[:3]:
            counts = run(design, rate, seed)
            yield from _count_figures(f"orders.{design.name}.at_{rate}_per_s", counts)
        yield Figure(
            f"orders.{design.name}.within_300_writes",
            _highest_fitting_rate(design, seed),
            "orders/s",
        )


def _count_figures(prefix: str, counts: StoreCounts) -> Iterator[Figure]:
    ordered = sorted(counts.claim_waits_s)
    yield Figure(f"{prefix}.writes", counts.writes / counts.orders, "per order")
    yield Figure(f"{prefix}.reads", counts.reads / counts.orders, "per order")
    calls = counts.writes + counts.reads
    yield Figure(f"{prefix}.calls", calls / counts.orders, "per order")
    yield Figure(f"{prefix}.claim_median", 1000 * ordered[len(ordered) // 2], "ms")
    yield Figure(f"{prefix}.claim_p99", 1000 * ordered[int(0.99 * len(ordered))], "ms")
    yield Figure(f"{prefix}.refused", 100 * counts.refused / counts.orders, "%")


def _highest_fitting_rate(design: Design, seed: int) -> float:
    """Return the highest rate tried before the writes exceed STORE_WRITES_PER_S."""
    fitting = 0.0
    for rate in CAPACITY_RATES_PER_S:
        counts = run(design, rate, seed)
        if counts.writes_while_measured / MEASURED_S > STORE_WRITES_PER_S:
            break
        fitting = rate
    return fitting
