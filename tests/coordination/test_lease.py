"""Interleave holders of one lease with pauses, lost replies, delayed writes and outages."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from chervilmill.coordination import (
    FencedObject,
    FencedValue,
    Lease,
    PlatformError,
    StaleEpochError,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
    WriteUnsureError,
    decode_fenced,
    encode_fenced,
)
from chervilmill.standins.store import MemoryStore

DURATION_S = 3.0
SEEDS_PER_CASE = 2_500
CASES = 4
STEPS_PER_SEED = 30
MAX_NESTING = 3


@dataclass
class FakeTime:
    """The true time from which every holder's clock is derived."""

    now_s: float = 100.0


class FaultyStore:
    """A MemoryStore with faults; time passes and other holders act before and after each call."""

    def __init__(self, rng: random.Random, interrupt: Callable[[], None]) -> None:
        self.inner = MemoryStore()
        self.written: list[StoredObject] = []
        self._rng = rng
        self._interrupt = interrupt
        self._delayed_writes: list[tuple[str, str, Callable[[], int]]] = []

    def get(self, kind: str, name: str) -> StoredObject | None:
        self._before("get object")
        stored = self.inner.get(kind, name)
        self._interrupt()
        return stored

    def create(self, kind: str, name: str, value: bytes) -> int:
        return self._write(kind, name, lambda: self.inner.create(kind, name, value))

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        return self._write(kind, name, lambda: self.inner.update(kind, name, value, version))

    def apply_delayed_write(self) -> None:
        if self._delayed_writes and self._rng.random() < 0.5:
            kind, name, apply = self._delayed_writes.pop(
                self._rng.randrange(len(self._delayed_writes))
            )
            try:
                apply()
            except VersionConflictError:
                return
            self._record(kind, name)

    def _write(self, kind: str, name: str, apply: Callable[[], int]) -> int:
        self._before("write object")
        if self._rng.random() < 0.1:
            self._delayed_writes.append((kind, name, apply))
            self._interrupt()
            raise WriteUnsureError("late", step="write object", peer="store")
        version = apply()
        self._record(kind, name)
        self._interrupt()
        if self._rng.random() < 0.15:
            raise WriteUnsureError("reply lost", step="write object", peer="store")
        return version

    def _record(self, kind: str, name: str) -> None:
        stored = self.inner.get(kind, name)
        assert stored is not None
        self.written.append(stored)

    def _before(self, step: str) -> None:
        self._interrupt()
        if self._rng.random() < 0.1:
            raise StoreUnavailableError("down", step=step, peer="store")


@dataclass
class Holder:
    """A node that uses one lease and the object that the lease protects."""

    name: str
    lease: Lease
    fenced_object: FencedObject
    writes_begun: int = 0
    fenced_off: int = 0

    def act(self, rng: random.Random) -> None:
        if rng.random() < 0.05:
            self.lease.release()
            return
        if not self.lease.step():
            return
        try:
            self.fenced_object.take_over()
            self.writes_begun += 1
            self.fenced_object.write(f"{self.name} {self.writes_begun}".encode())
        except StaleEpochError:
            self.fenced_off += 1
        except PlatformError:
            return


@dataclass
class Race:
    """Several holders that compete in one seeded interleaving."""

    seed: int
    holder_count: int = 3
    rng: random.Random = field(init=False)
    time: FakeTime = field(default_factory=FakeTime)
    holders: list[Holder] = field(default_factory=list)
    nesting_depth: int = 0
    max_simultaneous_holders: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = FaultyStore(self.rng, self.interrupt)
        for index in range(self.holder_count):
            self.holders.append(self._holder(f"node-{index}"))

    def _holder(self, name: str) -> Holder:
        rate = self.rng.uniform(0.99, 1.01)
        lease = Lease(self.store, "planner", name, DURATION_S, lambda: self.time.now_s * rate)
        return Holder(name, lease, FencedObject(self.store, "table", "t", lease))

    def interrupt(self) -> None:
        """Let time pass and sometimes let another holder act in the middle of a call."""
        self.time.now_s += self.rng.choice((0.0, 0.01, 0.3, 2.0))
        self.store.apply_delayed_write()
        self._count_holders()
        if self.nesting_depth < MAX_NESTING and self.rng.random() < 0.15:
            self.nesting_depth += 1
            self.rng.choice(self.holders).act(self.rng)
            self.nesting_depth -= 1

    def run(self) -> None:
        for _step in range(STEPS_PER_SEED):
            self.time.now_s += self.rng.choice((0.1, 1.0, 4.0))
            self.rng.choice(self.holders).act(self.rng)
            self._count_holders()

    def epochs_written(self) -> list[int]:
        written = sorted(self.store.written, key=lambda stored: stored.version)
        return [decode_fenced(stored).epoch for stored in written if stored.kind == "table"]

    def _count_holders(self) -> None:
        holders_now = sum(holder.lease.is_held for holder in self.holders)
        self.max_simultaneous_holders = max(self.max_simultaneous_holders, holders_now)


@pytest.mark.parametrize("case", range(CASES))
def test_no_write_of_an_earlier_holder_takes_effect(case: int) -> None:
    writes = fenced_off = 0
    for seed in range(case * SEEDS_PER_CASE, (case + 1) * SEEDS_PER_CASE):
        race = Race(seed)
        race.run()
        epochs = race.epochs_written()
        assert epochs == sorted(epochs), f"seed {seed}"
        assert race.max_simultaneous_holders <= 1, f"seed {seed}"
        writes += len(epochs)
        fenced_off += sum(holder.fenced_off for holder in race.holders)
    assert writes > SEEDS_PER_CASE
    assert fenced_off > 0


class UnfencedObject(FencedObject):
    """A planted fault: the write isn't conditional on the version that this holder wrote."""

    def write(self, body: bytes) -> int:
        stored = self._store.get(self._kind, self._name)
        assert stored is not None
        value = encode_fenced(FencedValue(self._epoch, body))
        return self._store.update(self._kind, self._name, value, stored.version)


class EarlyTakeoverLease(Lease):
    """A planted fault: the lease is taken over before it can have expired."""

    def _is_free(self, observed) -> bool:
        return self._clock() - observed.counted_from_s >= self._duration_s / 2


def test_the_check_catches_writes_that_are_not_fenced() -> None:
    def is_caught(seed: int) -> bool:
        race = Race(seed)
        for holder in race.holders:
            holder.fenced_object = UnfencedObject(race.store, "table", "t", holder.lease)
        race.run()
        return race.epochs_written() != sorted(race.epochs_written())

    assert any(is_caught(seed) for seed in range(500))


def test_the_check_catches_two_holders_at_once() -> None:
    def is_caught(seed: int) -> bool:
        race = Race(seed)
        for holder in race.holders:
            holder.lease.__class__ = EarlyTakeoverLease
        race.run()
        return race.max_simultaneous_holders > 1

    assert any(is_caught(seed) for seed in range(500))


class _LateReplyStore(MemoryStore):
    """A store that applies the next update and loses the reply, while the object is taken over."""

    def __init__(self) -> None:
        super().__init__()
        self.take_over: Callable[[], object] | None = None

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        updated = super().update(kind, name, value, version)
        take_over, self.take_over = self.take_over, None
        if take_over is not None:
            take_over()
            raise WriteUnsureError("reply lost", step="update object", peer="store")
        return updated


def _fenced_object(store: MemoryStore, holder: str, time: FakeTime) -> tuple[Lease, FencedObject]:
    lease = Lease(store, "planner", holder, DURATION_S, lambda: time.now_s)
    return lease, FencedObject(store, "table", "t", lease)


# A write that was in force was reported as refused.
def test_write_that_a_later_holder_took_over_is_not_reported_as_refused() -> None:
    time, store = FakeTime(), _LateReplyStore()
    first_lease, first = _fenced_object(store, "a", time)
    later_lease, later = _fenced_object(store, "b", time)
    assert first_lease.step()
    first.take_over()
    first.write(b"one")

    def take_over() -> None:
        first_lease.release()
        assert later_lease.step()
        later.take_over()

    store.take_over = take_over
    with pytest.raises(WriteUnsureError):
        first.write(b"two")
    assert later.read() == b"two"
    with pytest.raises(StaleEpochError):
        first.write(b"three")


def test_released_lease_can_be_acquired_at_once() -> None:
    time = FakeTime()
    store = MemoryStore()
    first = Lease(store, "planner", "a", DURATION_S, lambda: time.now_s)
    second = Lease(store, "planner", "b", DURATION_S, lambda: time.now_s)
    assert first.step()
    assert not second.step()
    first.release()
    assert second.step()
    assert second.epoch == 2
    assert second.known_holder == "b"


def test_lease_is_held_in_an_outage_no_longer_than_its_duration() -> None:
    time = FakeTime()
    store = MemoryStore()
    lease = Lease(store, "planner", "a", DURATION_S, lambda: time.now_s)
    assert lease.step()
    store.is_down = True
    time.now_s += DURATION_S / 2
    assert lease.step()
    time.now_s += DURATION_S / 2
    assert not lease.step()
