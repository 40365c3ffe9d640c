"""Keep the records of orders in shard objects of the store.

All changes of one shard that wait while a write of it is under way go out together in the next
write. Claims are written at once; outcomes wait a moment for a claim to travel with.
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
    Change,
    Claim,
    ClaimReply,
    Commit,
    Finish,
    HeldShard,
    ReadShard,
    Release,
    ShardQueue,
    Standing,
    StoreCall,
    StoreFailure,
    StoreReply,
    WritePace,
    commit_changes,
    read_stored,
)

ORDERS_KIND = "orders"
ORDER_SHARDS = 128
ORDER_WRITES_PER_S = 240.0
WRITERS = 8
RECORD_DELAY_S = 0.2
RETRY_DELAY_S = 1.0
MAX_HELD_BYTES = 16 * 1024**2
MAX_PENDING_RECORDS = 10_000


class OrderLedger:
    """Claim orders and record their outcomes."""

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
        self._pace = WritePace(writes_per_s)
        self._queues = [ShardQueue() for _ in range(shards)]
        self._held_bytes = 0
        self._due: queue.SimpleQueue[int | None] = queue.SimpleQueue()
        self._scheduled: set[int] = set()
        self._lock = threading.Lock()
        self._is_failing = False
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._write_due, name=f"orders-{index}", daemon=True)
            for index in range(WRITERS)
        ]
        self._threads.append(
            threading.Thread(target=self._schedule_records, name="orders-records", daemon=True)
        )

    @property
    def shards(self) -> int:
        """Return the number of shards."""
        return len(self._queues)

    def share_writes(self, nodes: int) -> None:
        """Take this node's share of the writes that orders may cost, among so many nodes."""
        with self._lock:
            self._pace.set_rate(ORDER_WRITES_PER_S / nodes)

    def start(self) -> None:
        """Begin to write."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float) -> bool:
        """Write what is pending, for as long as the timeout, and stop; tell if all was written."""
        deadline_s = time.monotonic() + timeout_s
        while self.pending_records and time.monotonic() < deadline_s:
            time.sleep(RECORD_DELAY_S / 4)
        self._stopped.set()
        for _ in range(WRITERS):
            self._due.put(None)
        return self.pending_records == 0

    @property
    def pending_records(self) -> int:
        """Return the number of outcomes and releases that are not in the store yet."""
        with self._lock:
            return sum(waiting.records for waiting in self._queues)

    def claim(self, claim: Claim, timeout_s: float) -> ClaimReply:
        """Return the standing of a claim, at the latest after the timeout.

        A claim that is given up is released where the store took it after all.
        """
        index = claim.key.shard_index(len(self._queues))
        replies: queue.SimpleQueue[ClaimReply] = queue.SimpleQueue()
        with self._lock:
            self._queues[index].claim(claim, replies.put)
            self._schedule(index)
        try:
            return replies.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return self._give_up(index, claim, replies)

    def record(self, change: Finish | Release) -> None:
        """Record an outcome or release a claim, in the background and until it succeeds."""
        index = change.key.shard_index(len(self._queues))
        if self.pending_records >= MAX_PENDING_RECORDS:
            log_problem("order record dropped", step="record order", peer=ORDERS_KIND)
            return
        with self._lock:
            self._queues[index].record(change)

    def _give_up(
        self, index: int, claim: Claim, replies: "queue.SimpleQueue[ClaimReply]"
    ) -> ClaimReply:
        with self._lock:
            self._queues[index].give_up(claim)
            try:
                return replies.get_nowait()
            except queue.Empty:
                return ClaimReply(Standing.STORE_UNAVAILABLE)

    def _schedule(self, index: int) -> None:
        if index not in self._scheduled:
            self._scheduled.add(index)
            self._due.put(index)

    def _schedule_records(self) -> None:
        while not self._stopped.wait(RETRY_DELAY_S if self._is_failing else RECORD_DELAY_S):
            with self._lock:
                due = [index for index, waiting in enumerate(self._queues) if waiting.has_changes]
                for index in due[:1] if self._is_failing else due:
                    self._schedule(index)

    def _write_due(self) -> None:
        while (index := self._due.get()) is not None:
            with self._lock:
                pause_s = self._pace.take(time.monotonic())
            time.sleep(pause_s)
            self._write(self._queues[index])
            with self._lock:
                self._scheduled.discard(index)
                if self._queues[index].has_claims:
                    self._schedule(index)

    def _write(self, waiting: ShardQueue) -> None:
        with self._lock:
            changes = waiting.begin()
            held = waiting.held
        if not changes:
            return
        try:
            commit = self._commit(changes, held)
        except Exception as exc:  # a malformed shard must not end the writer
            log_problem("orders not written", step="write orders", peer=ORDERS_KIND, error=str(exc))
            commit = Commit(None, {}, is_done=False, may_be_applied=True)
        with self._lock:
            waiting.end(commit)
            self._is_failing = not commit.is_done
            self._limit_held(held, commit.held)

    def _limit_held(self, before: HeldShard | None, after: HeldShard | None) -> None:
        for held, sign in ((before, -1), (after, 1)):
            if held is not None:
                self._held_bytes += sign * held.shard.size
        if self._held_bytes > MAX_HELD_BYTES:
            self._held_bytes = 0
            for waiting in self._queues:
                waiting.held = None

    def _commit(self, changes: tuple[Change, ...], held: HeldShard | None) -> Commit:
        name = f"shard-{changes[0].key.shard_index(len(self._queues))}"
        steps = commit_changes(held, changes, int(self._clock() * 1000))
        try:
            call = next(steps)
            while True:
                call = steps.send(self._call(name, call))
        except StopIteration as stop:
            commit: Commit = stop.value
            return commit

    def _call(self, name: str, call: StoreCall) -> StoreReply:
        try:
            if isinstance(call, ReadShard):
                stored = self._store.get(ORDERS_KIND, name)
                if stored is None:
                    return read_stored(None, None)
                return read_stored(stored.value, stored.version)
            if call.version is None:
                return self._store.create(ORDERS_KIND, name, call.value)
            return self._store.update(ORDERS_KIND, name, call.value, call.version)
        except VersionConflictError:
            return StoreFailure.CONFLICT
        except StoreUnavailableError:
            return StoreFailure.UNAVAILABLE
        except PlatformError:
            return StoreFailure.UNSURE
