"""Test how many calls entry VMs make to the platform's store."""

import asyncio
import json

import pytest

from chervilmill.aio import HttpAnswer
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.peers import KindReplica
from chervilmill.platform import PlatformStore
from tests.entry.store_fleet import FleetCase, StoreFault, StoreFleet
from tests.virtual_time import run_virtually

START_S = 4.0
READS_PER_S = 4.0  # linearizable, of the whole fleet, whatever its size
NEVER = (50.0,)


# All entry VMs read the store twice before the first of them had heard another.
@pytest.mark.parametrize("vms", [1, 12, 63, 195])
def test_fleet_that_starts_at_once_lists_the_store_once(
    monkeypatch: pytest.MonkeyPatch, vms: int
) -> None:
    fleet = StoreFleet(FleetCase(vms, StoreFault(), NEVER, registered_s=0.9), 0)
    run_virtually(fleet.run(monkeypatch, START_S))
    assert fleet.store.linearizable_reads <= vms + READS_PER_S * START_S


class _StoreWithReplica:
    """A store at a revision, with the changes since another, and a replica that may be behind."""

    def __init__(self, revision: int, replica_revision: int) -> None:
        self.revision = revision
        self.replica_revision = replica_revision
        self.first_kept_revision = 0
        self.calls: list[str] = []
        self.changed = asyncio.Event()

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        is_stale = "serializable=1" in path
        if "watch=" not in path:
            self.calls.append("list")
            return HttpAnswer(200, json.dumps({"items": [], "as-of": self.revision}).encode())
        self.calls.append("stale watch" if is_stale else "watch")
        since = int(path.split("watch=")[1].split("&")[0])
        if not is_stale or since <= self.replica_revision:
            await self.changed.wait()
        if since < self.first_kept_revision or (is_stale and since > self.replica_revision):
            return HttpAnswer(410, b"{}")
        await asyncio.Event().wait()
        raise AssertionError

    def drop_history(self) -> None:
        """Forget the changes up to now, and answer the open watches."""
        self.revision += 10
        self.replica_revision = self.first_kept_revision = self.revision
        self.changed.set()


# Every VM sent two linearizable watches for each kind when the store dropped its history.
def test_store_that_drops_its_history_is_listed_at_once() -> None:
    async def scenario() -> None:
        store = _StoreWithReplica(60, 60)
        replica = KindReplica("servers")
        sync = ReplicaSync(PlatformStore(store, "store"), {"servers": replica}, lambda *_: None)
        following = asyncio.create_task(sync.run("servers"))
        await asyncio.sleep(20.0)
        before = len(store.calls)
        store.drop_history()
        await asyncio.sleep(5.0)
        following.cancel()
        assert store.calls[before:] == ["list", "stale watch"]

    run_virtually(scenario())


def test_replica_that_lacks_what_was_just_listed_costs_no_second_list() -> None:
    async def scenario() -> None:
        store = _StoreWithReplica(60, 50)
        replica = KindReplica("servers")
        sync = ReplicaSync(PlatformStore(store, "store"), {"servers": replica}, lambda *_: None)
        following = asyncio.create_task(sync.run("servers"))
        await asyncio.sleep(5.0)
        following.cancel()
        assert store.calls == ["list", "stale watch", "watch"]

    run_virtually(scenario())
