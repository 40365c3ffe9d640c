"""Relay requests to peers that know less, or more, than the VM that relays them."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from chervilmill.aio import connect
from chervilmill.entry._relay import CALLER_HEADER
from chervilmill.entry._relay_basis import (
    BASIS_HEADER,
    EarlierPeers,
    RelayBasis,
    read_basis,
)
from chervilmill.peers import Digest
from chervilmill.platform import CONFIGURATION_KIND, EVACUATION_KIND, StoreVersion
from soak.site import HOST, RouteRow, configuration
from soak.target import StandInTarget
from tests.entry.harness import SiteUnderTest, until
from tests.entry.pair import Pair
from tests.entry.test_cut_off_from_targets import FOUND_S, _ask_until_found, _Cut
from tests.support import free_address, run_async

SERVICES = ("app", "desk")
ORDERS_AT_DESK = (RouteRow("reads", "/read/"), RouteRow("orders", "/order/", "unsafe", "desk"))
CAUGHT_UP_S = 5.0

Scenario = Callable[[Pair, StandInTarget], Awaitable[None]]


def _run_pair(tmp_path: Path, scenario: Scenario) -> None:
    """Run a scenario with two VMs, the target t1 of app and one of desk in another domain."""

    async def run() -> None:
        pair = Pair(tmp_path)
        desk = StandInTarget("d1")
        try:
            await pair.start()
            address = free_address()
            await desk.listen(address)
            pair.store.put("servers", "d1", desk.entry("desk", address, "south-a", 1))
            await pair.sites[0].settle()
            await scenario(pair, desk)
        finally:
            desk.crash()
            await pair.stop()

    run_async(run)


def _cut_off_from_news(site: SiteUnderTest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep a VM from all changes, of the store and of its peers."""
    monkeypatch.setattr(site.vm._sync, "handle_peer_versions", lambda *_, **__: None)


def _refuse(pair: Pair, number: int) -> None:
    pair.links[number].faults.refuses = True
    pair.links[number].reset()


async def _applies(site: SiteUnderTest, version: int) -> bool:
    cfg = site.vm._site_state.view.configuration
    return cfg is not None and cfg.version == version


def _orders_at(target: StandInTarget) -> int:
    return sum(run.path.startswith("/order/") for run in target.records.runs)


# A VM's requests were run by the old service after others of its requests were run by the new one.
def test_peer_with_an_older_configuration_decides_on_a_relayed_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(pair: Pair, desk: StandInTarget) -> None:
        peer, relaying = pair.sites
        cut = _Cut(relaying, monkeypatch, hangs=False)
        await _ask_until_found(relaying)
        assert (await relaying.ask("/order/a", "POST", b"x")).status == 200
        with monkeypatch.context() as behind:
            _cut_off_from_news(peer, behind)
            _refuse(pair, 0)
            pair.store.put("config", "main", configuration(2, ORDERS_AT_DESK, SERVICES))
            await until(lambda: _applies(relaying, 2))
            ran = _orders_at(peer.targets["t1"])
            answers = [await relaying.ask("/order/a", "POST", b"x") for _ in range(10)]
            assert {answer.status for answer in answers} == {503}
            assert _orders_at(peer.targets["t1"]) == ran
            assert _orders_at(desk) == 0
        pair.links[0].faults.refuses = False
        await until(lambda: _applies(peer, 2), CAUGHT_UP_S)
        assert (await relaying.ask("/order/a", "POST", b"x")).status == 200
        assert _orders_at(desk) == 1
        cut.is_healed = True

    _run_pair(tmp_path, scenario)


def test_vm_decides_on_less_than_a_peer_decided_for_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It reaches targets again, but not yet the configuration that its peer had."""

    async def scenario(pair: Pair, desk: StandInTarget) -> None:
        peer, relaying = pair.sites
        cut = _Cut(relaying, monkeypatch, hangs=False)
        await _ask_until_found(relaying)
        _cut_off_from_news(relaying, monkeypatch)
        _refuse(pair, 1)
        pair.store.put("config", "main", configuration(2, ORDERS_AT_DESK, SERVICES))
        await until(lambda: _applies(peer, 2))
        assert (await relaying.ask("/order/a", "POST", b"x")).status == 200
        assert _orders_at(desk) == 1
        ran = _orders_at(peer.targets["t1"])
        cut.is_healed = True
        await until(lambda: _reaches_targets(relaying), FOUND_S)
        for _ in range(5):
            assert (await relaying.ask("/order/a", "POST", b"x")).status == 200
        assert _orders_at(peer.targets["t1"]) == ran
        assert _orders_at(desk) == 6

    _run_pair(tmp_path, scenario)


async def _reaches_targets(site: SiteUnderTest) -> bool:
    return not site.vm._reach.is_cut_off


def test_peer_sends_a_relayed_request_to_a_domain_that_is_evacuated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(pair: Pair, desk: StandInTarget) -> None:
        peer, relaying = pair.sites
        await relaying.add_target("t2", domain="south-a")
        await relaying.settle()
        _Cut(relaying, monkeypatch, hangs=False)
        await _ask_until_found(relaying)
        _cut_off_from_news(peer, monkeypatch)
        _refuse(pair, 0)
        pair.store.put("evacuations", "north-a", {})
        await until(lambda: _is_evacuated(relaying, "north-a"))
        ran = peer.targets["t1"].records.arrivals
        for number in range(10):
            answer = await relaying.ask("/order/a", "POST", b"x", key=str(number))
            assert answer.status == 503
        assert peer.targets["t1"].records.arrivals == ran

    _run_pair(tmp_path, scenario)


async def _is_evacuated(site: SiteUnderTest, domain: str) -> bool:
    return domain in site.vm._site_state.view.evacuated


def test_copy_that_is_confirmed_further_counts_as_a_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Copies are confirmed at different revisions, as other kinds of objects change."""

    async def scenario(pair: Pair, desk: StandInTarget) -> None:
        peer, relaying = pair.sites
        cut = _Cut(relaying, monkeypatch, hangs=False)
        await _ask_until_found(relaying)
        for further, other in ((peer, relaying), (relaying, peer)):
            for site, revision in ((further, 10_000), (other, 5_000)):
                site.vm._replicas[EVACUATION_KIND].as_of = StoreVersion(1, revision)
            assert (await relaying.ask("/order/a", "POST", b"x")).status == 200
            assert not relaying.vm._relay.is_behind()
        cut.is_healed = True

    _run_pair(tmp_path, scenario)


def test_target_and_caller_see_the_headers_between_vms(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(pair: Pair, desk: StandInTarget) -> None:
        relaying = pair.sites[1]
        _Cut(relaying, monkeypatch, hangs=False)
        await _ask_until_found(relaying)
        answer = await relaying.ask("/order/a", "POST", b"x")
        assert answer.status == 200
        assert not [name for name in answer.headers if name.startswith(b"entry-")]

    _run_pair(tmp_path, scenario)


@pytest.mark.parametrize("basis", [None, b"9 0 0", b"x", b"1 0 -1", b"1 0", b"9" * 400])
def test_request_of_an_earlier_version_or_with_a_malformed_basis_is_refused(
    tmp_path: Path, basis: bytes | None
) -> None:
    """Only a basis that can be read, and that this VM does not know, leads to a refusal."""

    async def scenario(pair: Pair, desk: StandInTarget) -> None:
        site = pair.sites[0]
        conn = await connect(site.vm._settings.relay_address, 1.0)
        headers = [(b"host", HOST.encode()), (CALLER_HEADER, b"127.0.0.9")]
        if basis is not None:
            headers.append((BASIS_HEADER, basis))
        await conn.send_head(b"GET", b"/read/a", headers)
        conn.end_body()
        answer = await conn.read_head()
        conn.abort()
        assert answer.status == (503 if basis == b"9 0 0" else 200)
        assert (read_basis(answer.headers) is not None) is (basis == b"9 0 0")

    _run_pair(tmp_path, scenario)


@pytest.mark.parametrize(
    ("own", "wanted", "covers"),
    [
        (RelayBasis(3, StoreVersion(1, 5)), RelayBasis(3, StoreVersion(1, 5)), True),
        (RelayBasis(4, StoreVersion(1, 6)), RelayBasis(3, StoreVersion(1, 5)), True),
        (RelayBasis(2, StoreVersion(1, 6)), RelayBasis(3, StoreVersion(1, 5)), False),
        (RelayBasis(4, StoreVersion(1, 4)), RelayBasis(3, StoreVersion(1, 5)), False),
        (RelayBasis(3, StoreVersion(2, 1)), RelayBasis(3, StoreVersion(1, 5)), True),
        (RelayBasis(3, StoreVersion(1, 9)), RelayBasis(3, StoreVersion(2, 5)), False),
        (RelayBasis(), RelayBasis(), True),
    ],
)
def test_basis(own: RelayBasis, wanted: RelayBasis, covers: bool) -> None:
    assert own.covers(wanted) is covers
    assert own.merge(wanted).covers(own)
    assert own.merge(wanted).covers(wanted)
    assert read_basis([own.header()]) == own


def test_peers_of_an_earlier_version_are_asked_only_if_they_stated_as_much() -> None:
    own = {CONFIGURATION_KIND: StoreVersion(2, 9), EVACUATION_KIND: StoreVersion(2, 4)}
    earlier = EarlierPeers(lambda: own)
    behind = {CONFIGURATION_KIND: StoreVersion(0, 8), EVACUATION_KIND: StoreVersion(0, 4)}
    current = behind | {CONFIGURATION_KIND: StoreVersion(0, 9)}
    earlier.note_digest("vm", Digest(1, (), behind, protocol_version=1))
    assert "vm" in earlier
    assert not earlier.is_current("vm")
    earlier.note_digest("vm", Digest(1, (), current, protocol_version=1))
    assert earlier.is_current("vm")
    earlier.note_digest("vm", Digest(1, (), behind))
    assert "vm" not in earlier
