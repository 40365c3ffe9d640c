"""Cut entry VMs off from all targets while callers, the store and the other VMs reach them."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from chervilmill.aio import ClientConnection, ConnectError, connect
from chervilmill.peers import Peer
from chervilmill.routing import Target
from tests.entry.harness import SiteUnderTest, until
from tests.entry.pair import Pair
from tests.support import run_async

FOUND_S = 3.0  # below stable-window-s of the user sites, after which the rule counts
BACK_S = 2.0
CONNECT_TIMEOUT_S = 0.5
TRIES = 20
LEAST_SERVED = 2 / 3  # of the tries at VMs that reach the targets, which are all served here


class _Cut:
    """A cut between one VM and all targets; connecting fails at once or after a time-out."""

    def __init__(self, site: SiteUnderTest, monkeypatch: pytest.MonkeyPatch, hangs: bool) -> None:
        self.is_healed = False
        self._site = site
        self._hangs = hangs
        pool = site.vm._pool
        monkeypatch.setattr(pool, "acquire", self._over_cut(pool.acquire))
        monkeypatch.setattr(pool, "open_probe", self._over_cut(pool.open_probe))

    def _over_cut(
        self, connect: Callable[[Target], Awaitable[ClientConnection]]
    ) -> Callable[[Target], Awaitable[ClientConnection]]:
        async def try_to_connect(target: Target) -> ClientConnection:
            if self.is_healed:
                return await connect(target)
            if self._hangs:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectError("cut", step="connect", peer=target.name)

        return try_to_connect


async def _served(site: SiteUnderTest, method: str) -> int:
    path = "/read/a" if method == "GET" else "/order/a"
    return sum([(await site.ask(path, method)).status == 200 for _ in range(TRIES)])


def _run_pair(tmp_path: Path, scenario: Callable[[Pair], object]) -> None:
    async def run() -> None:
        pair = Pair(tmp_path)
        try:
            await pair.start()
            await scenario(pair)  # type: ignore[misc]
        finally:
            await pair.stop()

    run_async(run)


async def _ask_until_found(site: SiteUnderTest) -> None:
    """Let callers come for the time in which the VM has to find out."""
    async with asyncio.timeout(FOUND_S + 10):
        until_s = asyncio.get_running_loop().time() + FOUND_S
        while asyncio.get_running_loop().time() < until_s:
            await site.ask("/read/a", deadline_ms=1000)
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("hangs", [False, True], ids=["refused", "hanging"])
def test_callers_of_a_vm_that_reaches_no_target_are_not_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, hangs: bool, method: str
) -> None:
    async def scenario(pair: Pair) -> None:
        site = pair.sites[1]
        cut = _Cut(site, monkeypatch, hangs)
        await _ask_until_found(site)
        assert await _served(site, method) >= LEAST_SERVED * TRIES
        runs = [run.request_id for run in site.targets["t1"].records.runs]
        assert len(runs) == len(set(runs))
        cut.is_healed = True
        opened = sum(site.vm._pool.opened.values())

        async def uses_its_own_connections() -> bool:
            return (await site.ask("/read/a")).status == 200 and (
                sum(site.vm._pool.opened.values()) > opened
            )

        await until(uses_its_own_connections, BACK_S)

    _run_pair(tmp_path, scenario)


def test_callers_are_sent_to_a_vm_that_reaches_no_target(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(pair: Pair) -> None:
        cut = _Cut(pair.sites[1], monkeypatch, hangs=False)
        await _ask_until_found(pair.sites[1])
        own = pair.sites[0].vm._settings.host

        def named() -> list[list[str]]:
            return [site.vm._lookups.nearest_hosts("north-a", "north") for site in pair.sites]

        assert named() == [[own], [own]]
        cut.is_healed = True

        async def names_both() -> bool:
            return all(len(hosts) == 2 for hosts in named())

        await until(names_both, BACK_S)

    _run_pair(tmp_path, scenario)


def test_peers_of_an_earlier_version_refuse_the_requests_of_a_vm_without_targets(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are alive and reach the targets, but do not listen for relayed requests."""

    async def scenario(pair: Pair) -> None:
        site = pair.sites[1]
        earlier = [Peer(f"earlier-{n}", f"127.0.3.{10 + n}", "north-a") for n in range(8)]
        relay = site.vm._forwarder._dispatcher._relay
        peers = relay._peers
        monkeypatch.setattr(relay, "_peers", lambda: [*peers(), *earlier])
        _Cut(site, monkeypatch, hangs=False)
        await _ask_until_found(site)
        assert await _served(site, "POST") >= LEAST_SERVED * TRIES

    _run_pair(tmp_path, scenario)


def test_request_goes_round_between_vms_that_reach_no_target(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each request is refused as not run, and all VMs stay in the look-ups."""

    async def scenario(pair: Pair) -> None:
        for site in pair.sites:
            _Cut(site, monkeypatch, hangs=False)
        await asyncio.gather(*(_ask_until_found(site) for site in pair.sites))
        answer = await pair.sites[1].ask("/order/a", "POST")
        assert answer.status == 503
        assert len(pair.sites[0].vm._lookups.nearest_hosts("north-a", "north")) == 2

    _run_pair(tmp_path, scenario)


def test_caller_reaches_the_address_for_relayed_requests(tmp_path: Path) -> None:
    """Without a peer's header, a request there is refused and does not run."""

    async def scenario(pair: Pair) -> None:
        site = pair.sites[0]
        conn = await connect(site.vm._settings.relay_address, 1.0)
        answer = await site.ask("/read/a", conn=conn)
        conn.abort()
        assert answer.status == 403
        assert not site.targets["t1"].records.arrivals

    _run_pair(tmp_path, scenario)
