"""Test targets that announce that they leave, or ask for a pause."""

import asyncio
from pathlib import Path

import pytest

from chervilmill.entry._leaving import LeavingTracker
from chervilmill.peers._leaving_reports import decode_leaving, encode_leaving
from chervilmill.requests import Lifetime
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

PAUSE_S = 1.5
ASKED_AFTER_PAUSE = 40
GRACE_S = 0.5  # for requests that were on their way


async def _ask_for(site: SiteUnderTest, duration_s: float) -> list[int]:
    """Ask for many objects for a time and return the statuses."""
    ends_s = asyncio.get_running_loop().time() + duration_s
    statuses = []
    while asyncio.get_running_loop().time() < ends_s:
        number = len(statuses)
        statuses.append((await site.ask(f"/read/{number}", key=str(number))).status)
        await asyncio.sleep(0.01)
    return statuses


@pytest.mark.parametrize("header", [b"x-chervilmill-server-leaving", b"server-leaving"])
@pytest.mark.parametrize("is_store_away", [False, True], ids=["store", "no_store"])
def test_target_that_says_it_leaves_gets_further_requests(
    tmp_path: Path, header: bytes, is_store_away: bool
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            leaving = site.targets["t1"]
            await _ask_for(site, 0.3)
            if is_store_away:
                site.store.stop()
            leaving.leaving_header = header
            await _ask_for(site, 0.5)
            arrivals = leaving.records.arrivals
            statuses = await _ask_for(site, 0.5)
            assert leaving.records.arrivals == arrivals
            assert set(statuses) == {200}

    run_async(scenario)


def test_entry_that_still_says_ready_brings_a_leaving_target_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            leaving = site.targets["t1"]
            leaving.leaving_header = b"server-leaving"
            await _ask_for(site, 0.5)
            arrivals = leaving.records.arrivals
            entry = leaving.entry("app", site.addresses["t1"], "north-a", 1)
            site.store.put("servers", "t1", {**entry, "sequence": 2, "version": "v2"})
            await site.settle()
            await _ask_for(site, 0.4)
            assert leaving.records.arrivals == arrivals
            leaving.leaving_header = None
            site.store.put("servers", "t1", {**entry, "born": 2})
            await site.settle()
            await _ask_for(site, 0.4)
            assert leaving.records.arrivals > arrivals, "a later lifetime takes requests"

    run_async(scenario)


def test_vm_that_missed_the_answer_goes_on_sending_to_a_leaving_target() -> None:
    found: list[Lifetime] = []
    author, reader = LeavingTracker(lambda _: None), LeavingTracker(found.append)
    author.record_answer(Lifetime("t1", 7), 0.0)
    for datagram in encode_leaving(author.next_reports(0.5)):
        reports = decode_leaving(datagram, "peer")
        assert reports is not None
        reader.receive_reports(reports, 0.5)
        reader.receive_reports(reports, 0.6)
    assert found == [Lifetime("t1", 7)]
    newcomer = LeavingTracker(found.append)
    newcomer.receive_reports(reader.reports_for_newcomer(30.0), 30.0)
    assert found == [Lifetime("t1", 7)] * 2


def test_target_that_asked_for_a_pause_gets_requests_in_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            busy = site.targets["t1"]
            busy.faults.shed, busy.retry_after = 1_000, str(PAUSE_S).encode()
            await _ask_for(site, 0.3)
            assert busy.records.arrivals
            busy.faults.shed = 0
            await asyncio.sleep(GRACE_S)
            arrivals = busy.records.arrivals
            statuses = await _ask_for(site, PAUSE_S - GRACE_S - 0.4)
            assert busy.records.arrivals == arrivals
            assert set(statuses) == {200}
            await asyncio.sleep(0.5)
            for number in range(ASKED_AFTER_PAUSE):
                await site.ask(f"/read/{number}", key=str(number))
            assert busy.records.arrivals > arrivals, "the pause has ended"

    run_async(scenario)


def test_request_without_a_target_is_not_told_when_the_first_pause_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for target in site.targets.values():
                target.faults.shed, target.retry_after = 1_000, b"3"
            for number in range(4):
                await site.ask(f"/read/{number}", key=str(number))
            arrivals = sum(target.records.arrivals for target in site.targets.values())
            refused = await site.ask("/read/1")
            assert refused.status == 503
            assert 2.0 <= float(refused.headers[b"retry-after"]) <= 3.0
            assert arrivals == sum(target.records.arrivals for target in site.targets.values())

    run_async(scenario)


def test_malformed_pause_keeps_a_target_from_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            target = site.targets["t1"]
            target.faults.shed, target.retry_after = 1, b"Fri, 04 Dec 2026 12:00:00 GMT"
            await site.ask("/read/1")
            assert (await site.ask("/read/1")).status == 200

    run_async(scenario)
