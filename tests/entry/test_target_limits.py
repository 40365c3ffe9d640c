"""Test that targets get no more requests than they name as their limit."""

import asyncio
from pathlib import Path

import pytest

from chervilmill.entry._entry_vm import TICK_S
from soak.target import StandInTarget
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

STABLE_S = 4.0  # stable-window-s of both user sites
WINDOW_S = 4.0
LIMIT_PER_S = 2.0
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5
REQUESTS_PER_S = 12


async def _ask_steadily(site: SiteUnderTest, duration_s: float) -> list[int]:
    """Send requests for many objects at a steady rate and return the statuses of the answers."""
    asking = []
    for number in range(int(duration_s * REQUESTS_PER_S)):
        asking.append(asyncio.create_task(site.ask(f"/read/{number}", key=f"{number % 40}")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return [answer.status for answer in await asyncio.gather(*asking)]


def _most_in_a_window(target: StandInTarget, from_s: float) -> int:
    times_s = [run.at_s for run in target.records.runs if run.at_s >= from_s]
    return max(
        (sum(at_s <= other_s < at_s + WINDOW_S for other_s in times_s) for at_s in times_s),
        default=0,
    )


@pytest.mark.parametrize("header", [b"x-chervilmill-server-limit", b"server-limit"])
def test_target_gets_more_requests_than_the_limit_that_it_names(
    tmp_path: Path, header: bytes
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1", "t2")) as site:
            limited = site.targets["t1"]
            limited.limit, limited.limit_header = b"2.0", header
            started_s = asyncio.get_running_loop().time()
            statuses = await _ask_steadily(site, STABLE_S + 1.5 * WINDOW_S)
            assert _most_in_a_window(limited, started_s + STABLE_S) <= ALLOWED
            assert set(statuses) == {200}, "the other target has room"

    run_async(scenario)


def test_vm_that_has_just_started_takes_all_rates_for_itself(tmp_path: Path) -> None:
    """Until it has heard from its peers, it must not take them for dead."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for number in range(3):
                peer = {"host": f"127.0.9.{number}", "failure_domain": "north-a"}
                site.store.put("entry-vms", f"peer-{number}", peer)
            await site.settle()
            await asyncio.sleep(2 * TICK_S)
            assert len(site.vm._site_state.fleet.rates.vms_by_region["north"]) == 4

    run_async(scenario)


def test_request_that_no_target_takes_is_told_when_to_return(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            site.targets["t1"].limit = b"4.0"
            await site.ask("/read/1")
            refused = [await site.ask("/read/1") for _ in range(3)][-1]
            assert refused.status == 503
            assert 0.1 <= float(refused.headers[b"retry-after"]) <= 0.25
            await asyncio.sleep(float(refused.headers[b"retry-after"]) + 0.05)
            assert (await site.ask("/read/1")).status == 200

    run_async(scenario)


def test_withdrawn_limit_no_longer_holds(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            target = site.targets["t1"]
            target.limit = b"2.0"
            await site.ask("/read/1")
            target.limit = None
            await asyncio.sleep(0.6)
            assert {(await site.ask("/read/1")).status for _ in range(10)} == {200}

    run_async(scenario)
