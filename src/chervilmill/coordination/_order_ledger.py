"""Store the records of orders in shard objects.

All changes of a shard that arrive during a write go out together in the next write. Claims are
written at once. Outcomes wait a short time, so that a claim's write can include them.
"""

import queue
import threading
import time
from collections.abc import Callable

from chervilmill.coordination._errors import (
    PlatformError,
    StoreUnavailableError,
    VersionConflictError,
)
from chervilmill.coordination._model import ObjectStore
from chervilmill.logs import log_problem
from chervilmill.requests import (
    CachedShard,
    Change,
    Claim,
    ClaimReply,
    ClaimResult,
    Commit,
    ReadShard,
    RecordOutcome,
    ReleaseClaim,
    ShardQueue,
    StoreCall,
    StoreFailure,
    StoreReply,
    WritePacer,
    commit_changes,
    decode_cached_shard,
)
from chervilmill.supervision import supervised_thread

ORDERS_KIND = "orders"
ORDER_SHARDS = 128
ORDER_WRITES_PER_S = 240.0
WRITER_THREADS = 8
OUTCOME_FLUSH_INTERVAL_S = 0.2  # time in which an outcome can be written with a claim of its shard
RETRY_DELAY_S = 1.0
MAX_CACHED_SHARD_BYTES = 16 * 1024**2
MAX_PENDING_RECORDS = 10_000


class OrderLedger:
    """The claims and outcomes of orders, shared by all nodes through the store."""

    def __init__(
        self,
        store: ObjectStore,
        *,
        shards: int = ORDER_SHARDS,
        writes_per_s: float = ORDER_WRITES_PER_S,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._clock = clock
        self._writes_per_s = writes_per_s
        self._pacer = WritePacer(writes_per_s)
        self._queues = [ShardQueue() for _ in range(shards)]
        self._cached_shard_bytes = 0
        self._due_shards: queue.SimpleQueue[int | None] = queue.SimpleQueue()
        self._scheduled_shards: set[int] = set()
        self._lock = threading.Lock()
        self._is_store_failing = False
        self._stopped = threading.Event()
        self._threads = [
            supervised_thread("write orders", self._write_due_shards, f"orders-{index}")
            for index in range(WRITER_THREADS)
        ]
        self._threads.append(
            supervised_thread("record orders", self._schedule_outcomes, "orders-records")
        )

    @property
    def shards(self) -> int:
        """Return the number of shards."""
        return len(self._queues)

    def set_node_count(self, nodes: int) -> None:
        """Limit this node to its share of the store writes for orders, among `nodes` nodes."""
        with self._lock:
            self._pacer.set_rate(self._writes_per_s / nodes)

    def start(self) -> None:
        """Start the writer threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float) -> bool:
        """Stop after the pending records are written, or after the timeout.

        Return whether all of them were written.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.pending_records and time.monotonic() < deadline_s:
            time.sleep(OUTCOME_FLUSH_INTERVAL_S / 4)
        self._stopped.set()
        for _ in range(WRITER_THREADS):
            self._due_shards.put(None)
        return self.pending_records == 0

    @property
    def pending_records(self) -> int:
        """Return the number of outcomes and releases that are not yet in the store."""
        with self._lock:
            return sum(shard_queue.pending_records for shard_queue in self._queues)

    def claim(self, claim: Claim, timeout_s: float) -> ClaimReply:
        """Return the result of a claim within the timeout.

        A claim that is abandoned at the timeout is released if its write was applied after all.
        """
        index = claim.key.shard_index(len(self._queues))
        replies: queue.SimpleQueue[ClaimReply] = queue.SimpleQueue()
        with self._lock:
            self._queues[index].claim(claim, replies.put)
            self._schedule(index)
        try:
            return replies.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return self._abandon_claim(index, claim, replies)

    def record(self, change: RecordOutcome | ReleaseClaim) -> None:
        """Record an outcome or release a claim in the background, with retries.

        While MAX_PENDING_RECORDS outcomes and releases are pending, a further one is dropped and
        the drop is logged.
        """
        index = change.key.shard_index(len(self._queues))
        if self.pending_records >= MAX_PENDING_RECORDS:
            log_problem("order record dropped", step="record order", peer=ORDERS_KIND)
            return
        with self._lock:
            self._queues[index].record(change)

    def _abandon_claim(
        self, index: int, claim: Claim, replies: "queue.SimpleQueue[ClaimReply]"
    ) -> ClaimReply:
        with self._lock:
            self._queues[index].withdraw(claim)
            try:
                return replies.get_nowait()
            except queue.Empty:
                return ClaimReply(ClaimResult.STORE_UNAVAILABLE)

    def _schedule(self, index: int) -> None:
        if index not in self._scheduled_shards:
            self._scheduled_shards.add(index)
            self._due_shards.put(index)

    def _schedule_outcomes(self) -> None:
        while not self._stopped.wait(
            RETRY_DELAY_S if self._is_store_failing else OUTCOME_FLUSH_INTERVAL_S
        ):
            with self._lock:
                due = [
                    index
                    for index, shard_queue in enumerate(self._queues)
                    if shard_queue.has_changes
                ]
                # While the store fails, only one shard is tried in each round.
                for index in due[:1] if self._is_store_failing else due:
                    self._schedule(index)

    def _write_due_shards(self) -> None:
        while (index := self._due_shards.get()) is not None:
            with self._lock:
                pause_s = self._pacer.schedule(time.monotonic())
            time.sleep(pause_s)
            self._write(self._queues[index])
            with self._lock:
                self._scheduled_shards.discard(index)
                if self._queues[index].has_claims:
                    self._schedule(index)

    def _write(self, shard_queue: ShardQueue) -> None:
        with self._lock:
            changes = shard_queue.begin_commit()
            cached = shard_queue.cached
        if not changes:
            return
        try:
            commit = self._commit_to_store(changes, cached)
        except Exception as exc:  # a malformed shard must not end the writer thread
            log_problem("orders not written", step="write orders", peer=ORDERS_KIND, error=str(exc))
            commit = Commit(None, {}, is_done=False, may_be_applied=True)
        with self._lock:
            shard_queue.end_commit(commit)
            self._is_store_failing = not commit.is_done
            self._limit_cached_shards(cached, commit.cached)

    def _limit_cached_shards(self, before: CachedShard | None, after: CachedShard | None) -> None:
        for cached, sign in ((before, -1), (after, 1)):
            if cached is not None:
                self._cached_shard_bytes += sign * cached.shard.size
        if self._cached_shard_bytes > MAX_CACHED_SHARD_BYTES:
            self._cached_shard_bytes = 0
            for shard_queue in self._queues:
                shard_queue.cached = None

    def _commit_to_store(self, changes: tuple[Change, ...], cached: CachedShard | None) -> Commit:
        name = f"shard-{changes[0].key.shard_index(len(self._queues))}"
        store_calls = commit_changes(cached, changes, int(self._clock() * 1000))
        try:
            call = next(store_calls)
            while True:
                call = store_calls.send(self._call_store(name, call))
        except StopIteration as stop:
            commit: Commit = stop.value
            return commit

    def _call_store(self, name: str, call: StoreCall) -> StoreReply:
        try:
            if isinstance(call, ReadShard):
                stored = self._store.get(ORDERS_KIND, name)
                if stored is None:
                    return decode_cached_shard(None, None)
                return decode_cached_shard(stored.value, stored.version)
            if call.version is None:
                return self._store.create(ORDERS_KIND, name, call.value)
            return self._store.update(ORDERS_KIND, name, call.value, call.version)
        except VersionConflictError:
            return StoreFailure.CONFLICT
        except StoreUnavailableError:
            return StoreFailure.UNAVAILABLE
        except PlatformError:
            return StoreFailure.UNSURE
