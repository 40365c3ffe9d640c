"""Follow a store that comes back from a copy some seconds old, with lower revisions."""

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import HttpAnswer, HttpClient
from chervilmill.entry import _site_state
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.peers import KindReplica
from chervilmill.platform import PlatformStore, StoreVersion
from soak.site import DEFAULT_ROUTES, RouteRow, configuration
from soak.store import StandInStore, StoreCopy
from tests.entry.harness import SiteUnderTest, running_site, until
from tests.support import free_address, run_async

ORDERS_AT_DESK = (RouteRow("orders", "/order/", "unsafe", "desk"),)
SERVICES = ("app", "desk")
RELISTED_S = 0.6  # a list, and the pause after it


def _count_down_revisions(site: SiteUnderTest, count: int) -> None:
    """Write objects that the copy will not have, so that revisions go back."""
    for number in range(count):
        site.store.put("others", f"o-{number}", {})


async def _runs_at(site: SiteUnderTest, name: str) -> int:
    before = len(site.targets[name].records.runs)
    for number in range(8):
        answer = await site.ask("/order/a", "POST", b"x", key=str(number))
        assert answer.status == 200
    return len(site.targets[name].records.runs) - before


# After such a return, VMs ignored every change for as long as revisions were below their copy's.
def test_configuration_and_leaving_target_after_a_restored_store_take_effect(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, ("t1", "t2"), services=SERVICES) as site:
            await site.add_target("d1", service="desk")
            await site.settle()
            copied = site.store.copy()
            _count_down_revisions(site, 50)
            entry = site.targets["t1"].entry("app", site.addresses["t1"], "north-a", 1)
            site.store.put("servers", "t1", entry | {"sequence": 2})
            site.store.put("config", "main", configuration(2, DEFAULT_ROUTES, SERVICES))
            await site.settle()
            site.store.restore(copied)
            await asyncio.sleep(RELISTED_S)
            calls = len(site.store.calls)
            site.store.put("config", "main", configuration(3, ORDERS_AT_DESK, SERVICES))
            site.store.put("servers", "t1", entry | {"state": "draining"})
            await site.settle()
            assert await _runs_at(site, "d1") == 8
            assert site.vm._site_state.view.targets["t1"].is_draining
            assert len(site.store.calls) - calls < 30

    run_async(scenario)


def test_configuration_in_force_is_not_taken_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, ("t1",), services=SERVICES) as site:
            await site.add_target("d1", service="desk")
            copied = site.store.copy()
            site.store.put("config", "main", configuration(2, ORDERS_AT_DESK, SERVICES))
            await site.settle()
            site.store.restore(copied)
            await asyncio.sleep(RELISTED_S)
            assert await _runs_at(site, "d1") == 8

    run_async(scenario)


def test_targets_that_left_or_were_leaving_get_no_requests_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, ("t1", "t2", "t3")) as site:
            copied = site.store.copy()
            entry = site.targets["t1"].entry("app", site.addresses["t1"], "north-a", 1)
            site.store.put("servers", "t1", entry | {"state": "draining"})
            site.store.delete("servers", "t2")
            await site.settle()
            site.store.restore(copied)
            await asyncio.sleep(RELISTED_S)
            assert await _runs_at(site, "t3") == 8
            assert [t.name for t in site.vm._site_state.view.usable_targets("app")] == ["t3"]

    run_async(scenario)


def test_removed_target_whose_restored_entry_does_not_expire_is_used_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_site_state, "EXPIRY_HEARTBEATS", 0.5)

    async def scenario() -> None:
        async with running_site(tmp_path, ("t1", "t2")) as site:
            copied = site.store.copy()
            site.store.delete("servers", "t2")
            await site.settle()
            site.store.restore(copied)
            await asyncio.sleep(RELISTED_S)
            assert "t2" not in site.vm._site_state.view.targets
            await until(lambda: _is_known(site, "t2"), 3.0)

    run_async(scenario)


async def _is_known(site: SiteUnderTest, name: str) -> bool:
    return name in site.vm._site_state.view.targets


def test_target_and_evacuation_that_the_copy_lacks_are_kept_until_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_site_state, "WRITTEN_AGAIN_S", 2.0)

    async def scenario() -> None:
        async with running_site(tmp_path, ("t1",)) as site:
            copied = site.store.copy()
            await site.add_target("t2")
            site.store.put("evacuations", "south-a", {})
            await site.settle()
            site.store.restore(copied)
            await asyncio.sleep(RELISTED_S)
            view = site.vm._site_state.view
            assert "t2" in view.targets
            assert "south-a" in view.evacuated
            await asyncio.sleep(2.6)
            assert "t2" not in view.targets
            assert "south-a" not in view.evacuated

    run_async(scenario)


def test_entry_vm_registers_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, ("t1",)) as site:
            await until(lambda: _is_registered(site), 3.0)
            await site.settle()
            site.store.restore(_without_registrations(site.store))
            assert not site.store.names("entry-vms")
            await until(lambda: _is_registered(site), 3.0)

    run_async(scenario)


async def _is_registered(site: SiteUnderTest) -> bool:
    return site.store.names("entry-vms") == ["vm-1"]


def _without_registrations(store: StandInStore) -> StoreCopy:
    copied = store.copy()
    for key in [key for key in copied.objects if key[0] == "entry-vms"]:
        del copied.objects[key]
    return copied


class _RefusingStore:
    """A store that answers lists, and each watch with 410."""

    def __init__(self, era: bytes | None) -> None:
        self.calls = 0
        self._headers = () if era is None else ((b"store-era", era),)

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        self.calls += 1
        status, text = (410, b"{}") if "watch=" in path else (200, b'{"items": [], "as-of": 60}')
        return HttpAnswer(status, text, self._headers)


@pytest.mark.parametrize("era", [None, b"1", b"2", b"x", b"-1"])
@pytest.mark.parametrize("known", [StoreVersion(0, 0), StoreVersion(0, 100), StoreVersion(1, 100)])
def test_store_without_the_history_is_not_called_without_a_pause(
    era: bytes | None, known: StoreVersion
) -> None:
    """A VM repeated list and watch without a pause, 550 times in 3 s."""
    store = _RefusingStore(era)
    replica = KindReplica("config")
    replica.as_of = known

    async def scenario() -> None:
        sync = ReplicaSync(PlatformStore(store, "store"), {"config": replica}, lambda *_: None)
        with suppress(TimeoutError):
            await asyncio.wait_for(sync.run("config"), 3.0)

    asyncio.run(scenario())
    assert store.calls <= 8


def test_peer_of_an_earlier_era_is_not_followed() -> None:
    async def scenario() -> None:
        store = StandInStore()
        address = free_address()
        await store.listen(address)
        store.put("config", "main", {"version": "r1"})
        replica = KindReplica("config")
        sync = ReplicaSync(
            PlatformStore(HttpClient(address), "store"), {"config": replica}, lambda *_: None
        )
        following = asyncio.create_task(sync.run("config"))
        await sync.wait_until_loaded()
        host = Address("127.0.0.1", 1)
        sync.handle_peer_versions(host, {"config": StoreVersion(0, 900)})
        await asyncio.sleep(1.2)
        assert replica.known_version.era == 1
        assert len(store.calls) == 2  # a list and a watch
        store.restore(store.copy())
        await asyncio.sleep(0.3)
        assert replica.as_of.era == 2
        following.cancel()
        store.stop()

    run_async(scenario)
