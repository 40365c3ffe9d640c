"""Serve callers amid entries of other writers whose addresses lead nowhere, or back here."""

import asyncio
from pathlib import Path

import pytest

from chervilmill.peers._membership import peer_key
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

ADDRESSES = [
    "fe80::1%" + "container-network-" * 4 + "0:8080",
    "[fe80::1%" + "x" * 64 + "]:8080",
    "[ff02::1%" + "x" * 300 + "]:8080",
    "[fe80::1%a..b]:8080",
    "[2001:db8::1%lo]:8080",
    "[fe80::1]:8080",
    "[::]:8080",
    "0.0.0.0:8080",
    "0.1.2.3:8080",
    "224.0.0.1:8080",
    "240.0.0.1:8080",
    "255.255.255.255:8080",
    "[::ffff:0.0.0.0]:8080",
]


async def _served(site: SiteUnderTest, count: int) -> int:
    """Return how many requests are served, for one object each so that all targets get some."""
    answers = [await site.ask("/order/a", "POST", b"x", key=str(n)) for n in range(count)]
    return sum(answer.status == 200 for answer in answers)


def _put_entry(site: SiteUnderTest, address: str) -> None:
    target, own = next(iter(site.targets.values())), next(iter(site.addresses.values()))
    entry = target.entry("app", own, "south-b", 1)
    site.store.put("servers", "x-1", entry | {"address": address})


# An address with a zone ended each entry VM as soon as it probed targets, and lost the requests
# that were placed there.
@pytest.mark.parametrize("address", ADDRESSES, ids=lambda address: address[:24])
def test_address_that_no_vm_can_reach_costs_more_than_its_entry(
    tmp_path: Path, address: str
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            _put_entry(site, address)
            await site.settle()
            site.vm._reach._is_in_doubt.set()
            assert await _served(site, 12) == 12
            await asyncio.sleep(0.2)
            assert not site.vm._stop_requested.is_set()
            assert "x-1" not in site.vm._site_state.view.targets

    run_async(scenario)


# A VM sent requests to itself.
@pytest.mark.parametrize("server", ["caller", "lookup", "readiness", "peer", "relay", "metrics"])
def test_address_of_the_vm_itself_is_taken_for_a_target(tmp_path: Path, server: str) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            _put_entry(site, str(getattr(site.vm._settings, f"{server}_address")))
            await site.settle()
            assert "x-1" not in site.vm._site_state.view.targets
            assert await _served(site, 12) == 12

    run_async(scenario)


# A registration whose host is no destination was taken for a peer.
@pytest.mark.parametrize("address", ADDRESSES, ids=lambda address: address[:24])
def test_peer_that_no_vm_can_reach_is_sent_digests(tmp_path: Path, address: str) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            host = address.rpartition(":")[0].strip("[]")
            content = {"host": host, "failure_domain": "north-a"}
            site.store.put("entry-vms", "other", content)
            await site.settle()
            assert site.vm._membership.peer(peer_key("other")) is None
            await asyncio.sleep(0.7)  # a round of gossip
            assert not site.vm._stop_requested.is_set()
            assert await _served(site, 4) == 4

    run_async(scenario)
