"""Follow a store whose objects change more often than the VM may call it."""

import asyncio
import json
import time
from contextlib import suppress

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import AnswerTooLongError, ConnectError, ExchangeError, HttpAnswer
from chervilmill.entry import _catch_up, _read_schedule, _replica_sync, _store_state
from chervilmill.entry._replica_copies import FetchedReplica
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.peers import KindReplica, ReplicaChange
from chervilmill.platform import Listing, PlatformStore, StoreVersion
from tests.virtual_time import run_virtually

KIND = "servers"
PLAYED_S = 2.0
READS_PER_S = 2000 / 800  # one VM's part of 2,000 reads a second by 800 VMs


class _BusyStore:
    """A store in which an object changes every 10 ms and each change ends a watch."""

    def __init__(self) -> None:
        self.calls = 0
        self._began_s = time.monotonic()

    @property
    def revision(self) -> int:
        return 1 + int((time.monotonic() - self._began_s) / 0.01)

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        self.calls += 1
        if "watch=" not in path:
            return _answer({"items": [], "as-of": self.revision})
        since = int(path.split("watch=")[1].split("&")[0])
        while self.revision == since:
            await asyncio.sleep(0.001)
        now = self.revision
        events = [
            {"object": {"metadata": {"name": f"t-{n}", "revision": n}, "specification": {}}}
            for n in range(since + 1, now + 1)
        ]
        return _answer({"events": events, "as-of": now})


def _answer(value: object) -> HttpAnswer:
    return HttpAnswer(200, json.dumps(value).encode())


def test_frequent_changes_take_few_calls_and_none_is_lost() -> None:
    store = _BusyStore()
    replica = KindReplica(KIND)
    seen: list[str] = []

    def record(kind: str, change: ReplicaChange, kept_until_s: float | None) -> None:
        seen.extend(stored.name for stored in change.written)

    async def scenario() -> None:
        sync = ReplicaSync(PlatformStore(store, "store"), {KIND: replica}, record)
        with suppress(TimeoutError):
            await asyncio.wait_for(sync.run(KIND), PLAYED_S)

    asyncio.run(scenario())
    assert store.calls <= 2 + READS_PER_S * PLAYED_S
    assert len(seen) == len(set(seen)) > 100
    numbers = [int(name.removeprefix("t-")) for name in seen]
    assert numbers == list(range(numbers[0], numbers[-1] + 1))


class _StoreWithOutage:
    """A store that is away at first, and from which each watch after that removes an entry."""

    def __init__(self, away_s: float, removals_s: tuple[float, ...]) -> None:
        self._began_s = time.monotonic()
        self._away_s = away_s
        self._removals_s = list(removals_s)
        self._revision = 10
        self._lists = 0

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        since_return_s = time.monotonic() - self._began_s - self._away_s
        self._lists += "watch=" not in path
        if "watch=" not in path and self._lists > 1 and since_return_s < 0:
            raise ConnectError("refused", step="connect", peer="store")
        if "watch=" not in path:
            items = [_entry(f"t-{n}", 1 + n) for n in range(len(self._removals_s))]
            return _answer({"items": items, "as-of": self._revision})
        if since_return_s < 0:
            raise ConnectError("refused", step="connect", peer="store")
        if not self._removals_s:
            await asyncio.Event().wait()
        await asyncio.sleep(max(0.0, self._removals_s[0] - since_return_s))
        self._removals_s.pop(0)
        self._revision += 1
        removed = {"object": _entry(f"t-{len(self._removals_s)}", self._revision), "deleted": True}
        return _answer({"events": [removed], "as-of": self._revision})


def _entry(name: str, revision: int) -> dict[str, object]:
    return {"metadata": {"name": name, "revision": revision}, "specification": {}}


def test_target_that_leaves_after_an_outage_is_kept_beyond_the_time_to_register_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time counts from the return of the store, not from the removal of the entry."""
    monkeypatch.setattr(_store_state, "REGISTER_AGAIN_S", 0.6)
    monkeypatch.setattr(_store_state, "SERVED_LATELY_S", 0.05)
    monkeypatch.setattr(_replica_sync, "RETRY_DELAY_S", 0.02)
    monkeypatch.setattr(_read_schedule, "CONFIRM_INTERVAL_S", 0.1)
    monkeypatch.setattr(_read_schedule, "CONFIRM_RETRY_S", 0.02)
    monkeypatch.setattr(_read_schedule, "PRESSED_INTERVAL_S", 0.02)
    monkeypatch.setattr(_replica_sync, "WATCH_PAUSE_S", 0.0)
    kept: list[tuple[str, float | None]] = []
    began_s = time.monotonic()

    def record(kind: str, change: ReplicaChange, kept_until_s: float | None) -> None:
        for name in change.removed:
            kept.append((name, None if kept_until_s is None else kept_until_s - began_s))

    async def scenario() -> None:
        store = PlatformStore(_StoreWithOutage(0.2, (0.1, 0.4, 0.9)), "store")
        sync = ReplicaSync(store, {KIND: KindReplica(KIND)}, record)
        with suppress(TimeoutError):
            async with asyncio.timeout(1.5):
                await asyncio.gather(sync.run(KIND), sync.confirmer.run())

    asyncio.run(scenario())
    assert [name for name, _ in kept] == ["t-2", "t-1", "t-0"]
    returned_s = 0.2 + 0.6
    assert kept[0][1] == pytest.approx(returned_s, abs=0.15)
    assert kept[1][1] == kept[0][1]
    assert kept[2][1] is None


@pytest.mark.parametrize("is_settled", [True, False])
def test_removal_that_a_peer_saw_is_taken_for_an_entry_that_expired(
    monkeypatch: pytest.MonkeyPatch, is_settled: bool
) -> None:
    """A peer that could reach the store all along knows that the target has left."""
    monkeypatch.setattr(_catch_up, "CATCH_UP_DELAY_S", 0.01)
    monkeypatch.setattr(_store_state, "SERVED_LATELY_S", 0.02)
    kept: list[float | None] = []
    replica = KindReplica(KIND)

    async def fetch(host: Address, kind: str) -> FetchedReplica:
        return FetchedReplica(Listing({}, StoreVersion(0, 20)), is_settled)

    monkeypatch.setattr(_replica_sync, "fetch_replica", fetch)

    async def scenario() -> None:
        store = PlatformStore(_StoreWithOutage(60.0, (0.0,)), "store")
        sync = ReplicaSync(store, {KIND: replica}, lambda _, change, until_s: kept.append(until_s))
        following = asyncio.create_task(sync.run(KIND))
        await asyncio.sleep(0.05)
        assert sync.is_store_unreachable
        sync.handle_peer_versions(Address("127.0.0.1", 1), {KIND: StoreVersion(0, 20)})
        await asyncio.sleep(0.1)
        following.cancel()

    asyncio.run(scenario())
    assert len(kept) == 2 and (kept[1] is None) is is_settled


class _CuttingStore:
    """A store that cuts each watch after a time, and refuses connections if it is down."""

    def __init__(self, cut_after_s: float) -> None:
        self.cut_after_s = cut_after_s
        self.is_down = False
        self.watched_s: list[float] = []

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        if "watch=" not in path:
            return _answer({"items": [], "as-of": 5})
        self.watched_s.append(asyncio.get_running_loop().time())
        if self.is_down:
            raise ConnectError("refused", step="connect", peer="store")
        await asyncio.sleep(self.cut_after_s)
        if len(self.watched_s) > 1 and self.cut_after_s:
            await asyncio.sleep(timeout_s - self.cut_after_s)
            return _answer({"events": [], "as-of": 5})
        raise ExchangeError("cut", step="read answer", peer="store")


# A watch that the store cut as it may made each VM refuse paths that it did not know, for a second.
@pytest.mark.parametrize(
    ("cut_after_s", "is_down", "is_lost"),
    [(2.0, False, False), (0.0, False, True), (2.0, True, True)],
)
def test_watch_that_was_cut_counts_as_an_outage_of_the_store(
    cut_after_s: float, is_down: bool, is_lost: bool
) -> None:
    store = _CuttingStore(cut_after_s)

    async def scenario() -> None:
        sync = ReplicaSync(PlatformStore(store, "store"), {KIND: KindReplica(KIND)}, _ignore_change)
        task = asyncio.ensure_future(sync.run(KIND))
        await asyncio.sleep(cut_after_s - 0.1)
        store.is_down = is_down
        await asyncio.sleep(0.1 + 2 * _replica_sync.WATCH_PAUSE_S + 0.1)
        assert sync.is_store_unreachable is is_lost
        assert len(store.watched_s) >= 2
        task.cancel()

    run_virtually(scenario())


class _FloodedStore:
    """A store whose watches have more changes than are read, until it is `calm`."""

    def __init__(self, changes: bytes | None) -> None:
        self._changes = changes
        self.is_calm = False
        self.calls: list[str] = []

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        self.calls.append("watch" if "watch=" in path else "list")
        if "watch=" not in path:
            return _answer({"items": [], "as-of": 5})
        if not self.is_calm and self._changes is not None:
            return HttpAnswer(200, self._changes, ())
        if not self.is_calm:
            raise AnswerTooLongError("too long", step="GET", peer="store")
        await asyncio.sleep(timeout_s - 0.1)
        return _answer({"events": [], "as-of": 5})


LONG_UNREADABLE_CHANGES = b'{"events":[NaN,"%b"],"as-of":5}' % (b"a" * 5_000_000)


# Sixty removals of long entries came in one answer, and the store counted as lost.
@pytest.mark.parametrize("changes", [None, LONG_UNREADABLE_CHANGES], ids=["cut", "unreadable"])
def test_changes_that_are_too_long_count_as_an_outage_or_are_asked_for_without_a_pause(
    changes: bytes | None,
) -> None:
    store = _FloodedStore(changes)

    async def scenario() -> None:
        sync = ReplicaSync(PlatformStore(store, "store"), {KIND: KindReplica(KIND)}, _ignore_change)
        task = asyncio.ensure_future(sync.run(KIND))
        await asyncio.sleep(10.0)
        assert not sync.is_store_unreachable
        assert store.calls[:4] == ["list", "watch", "list", "watch"]
        assert len(store.calls) <= 12
        store.is_calm = True
        await asyncio.sleep(10.0)
        assert store.calls[-2:] == ["list", "watch"]
        task.cancel()

    run_virtually(scenario())


def _ignore_change(kind: str, change: ReplicaChange, kept_until_s: float | None) -> None: ...
