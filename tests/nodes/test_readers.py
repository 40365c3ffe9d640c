"""Test when the platform is read, and as of which time an answer is used."""

import random
import threading
import time
from types import SimpleNamespace

from chervilmill.coordination import (
    CONFIGURATION_KIND,
    StoredObject,
    StoreUnavailableError,
    Vm,
    WatchResult,
)
from chervilmill.nodes._readers import MAX_OPEN_READINGS, ConfigurationReader, VmListReader
from tests.support import free_address, target_vm

WAIT_S = 10.0


class RecordingStore:
    """A fake empty store that is down at first and stops the reader after two answers."""

    def __init__(self, outages: int) -> None:
        self.timeouts_s: list[float] = []
        self.reader: ConfigurationReader | None = None
        self._outages = outages

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        self.timeouts_s.append(timeout_s)
        if len(self.timeouts_s) <= self._outages:
            raise StoreUnavailableError("down", step="watch objects", peer="store")
        if len(self.timeouts_s) == self._outages + 2:
            self.reader.stop()
        return WatchResult(0, (), ())


def timeouts(outages: int) -> tuple[list[float], int]:
    store, passed_on = RecordingStore(outages), []
    transport = SimpleNamespace(call=passed_on.append)
    store.reader = ConfigurationReader(store, transport, lambda: True)
    store.reader._run()
    return store.timeouts_s, len(passed_on)


def test_empty_configuration_is_known_after_the_first_call() -> None:
    (first, second), passed_on = timeouts(outages=0)
    assert first == 0
    assert second > 0
    assert passed_on == 2


def test_first_answer_after_an_outage_does_not_wait_either() -> None:
    waited, _ = timeouts(outages=1)
    assert waited[:2] == [0, 0]
    assert waited[2] > 0


class SlowStore:
    """A fake store that takes some time to answer, and stops the reader after one answer."""

    def __init__(self) -> None:
        self.reader: ConfigurationReader | None = None
        self.called_s = 0.0

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        self.called_s = time.monotonic()
        time.sleep(0.05)
        self.reader.stop()
        return WatchResult(0, (), ())


def test_answer_confirms_the_configuration_as_of_its_call() -> None:
    """An answer that waits on its way must not pass for a new one when it is read."""
    store, passed_on, confirmed_s = SlowStore(), [], []
    store.reader = ConfigurationReader(store, SimpleNamespace(call=passed_on.append), lambda: True)
    store.reader._run()
    machine = SimpleNamespace(receive_configuration=lambda _, sent_s: confirmed_s.append(sent_s))
    passed_on[0](machine, time.monotonic())
    assert confirmed_s[0] <= store.called_s


class WaitingList:
    """A fake list of VMs whose calls wait until the test answers them, each on its own."""

    def __init__(self) -> None:
        self.answers = [threading.Event() for _ in range(MAX_OPEN_READINGS)]
        self.is_open = [threading.Event() for _ in range(MAX_OPEN_READINGS + 1)]
        self._calls = self._turns = 0
        self._lock = threading.Lock()

    def interval_s(self) -> float:
        """Return a short interval, once the call of the turn before is open."""
        if 0 < self._turns <= MAX_OPEN_READINGS:
            assert self.is_open[self._turns - 1].wait(WAIT_S)
        self._turns += 1
        return 0.01

    def vms(self) -> tuple[Vm, ...]:
        with self._lock:
            index = self._calls
            self._calls += 1
        if index >= MAX_OPEN_READINGS:
            self.is_open[-1].set()
            raise StoreUnavailableError("done", step="list VMs", peer="platform")
        self.is_open[index].set()
        assert self.answers[index].wait(WAIT_S)
        return (target_vm(f"as-of-call-{index}", free_address()),)


def test_reading_waits_for_the_answer_to_the_one_before() -> None:
    vm_list, passed_on = WaitingList(), threading.Semaphore(0)
    read: list[tuple[str, float]] = []

    def receive_vm_list(vms: tuple[Vm, ...], started_s: float) -> None:
        read.append((vms[0].name, started_s))
        passed_on.release()

    machine = SimpleNamespace(receive_vm_list=receive_vm_list)
    transport = SimpleNamespace(call=lambda change: change(machine, time.monotonic()))
    reader = VmListReader(vm_list, transport, vm_list.interval_s, random.Random(1))
    reader.start()
    try:
        assert all(event.wait(WAIT_S) for event in vm_list.is_open[:MAX_OPEN_READINGS])
        assert not vm_list.is_open[-1].is_set()
        all_open_s = time.monotonic()
        vm_list.answers[1].set()
        assert passed_on.acquire(timeout=WAIT_S)
        vm_list.answers[0].set()
        assert vm_list.is_open[-1].wait(WAIT_S)
        vm_list.answers[3].set()
        assert passed_on.acquire(timeout=WAIT_S)
    finally:
        reader.stop()
        for answer in vm_list.answers:
            answer.set()
    reader._calls.join(WAIT_S)
    assert [name for name, _ in read] == ["as-of-call-1", "as-of-call-3"]
    assert all(started_s < all_open_s for _, started_s in read)


class LateStore:
    """A fake store whose answer on a first change is late, while a second change is made."""

    def __init__(self) -> None:
        self.calls: list[tuple[int, float]] = []
        self.is_late_call_open = threading.Event()
        self.late_answer = threading.Event()
        self._lock = threading.Lock()

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        with self._lock:
            index = len(self.calls)
            self.calls.append((after_version, timeout_s))
        if index == 1:
            self.is_late_call_open.set()
            assert self.late_answer.wait(WAIT_S)
        version = (1, 2, 3)[min(index, 2)]
        changed = StoredObject(CONFIGURATION_KIND, "intent/a", version, b"")
        return WatchResult(version, (changed,) if after_version < version else (), ())


def test_change_is_not_seen_before_the_late_answer_on_the_one_before() -> None:
    store, seen = LateStore(), []
    is_third_seen = threading.Event()

    def receive_configuration(result: WatchResult, _sent_s: float) -> None:
        seen.append(result.version)
        if result.version == 3:
            is_third_seen.set()

    machine = SimpleNamespace(receive_configuration=receive_configuration)
    transport = SimpleNamespace(call=lambda change: change(machine, time.monotonic()))
    reader = ConfigurationReader(store, transport, lambda: True)
    reader.start()
    try:
        assert store.is_late_call_open.wait(WAIT_S)
        assert is_third_seen.wait(WAIT_S / 2)
        assert not store.late_answer.is_set()
        assert store.calls[2] == (1, 0.0)
        assert 2 not in seen
    finally:
        reader.stop()
        store.late_answer.set()


def test_platform_that_answers_at_once_is_polled_beside_the_watch() -> None:
    store, passed_on = RecordingStore(outages=0), []
    reader = ConfigurationReader(store, SimpleNamespace(call=passed_on.append), lambda: True)
    store.reader = reader
    reader._run()
    reader._after_version = 1
    reader._poll()
    assert len(store.timeouts_s) == 2
