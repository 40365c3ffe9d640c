"""Test what a VM does with requests that waited while its event loop stood still."""

import asyncio
import time
from dataclasses import replace
from pathlib import Path

import pytest

from chervilmill.aio import ClientConnection, connect
from chervilmill.entry._copy_currency import CopyCurrency
from chervilmill.platform import Bounds
from soak.site import DEFAULT_ROUTES, HOST, RouteRow, configuration
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

STOOD_STILL_S = 2.8  # longer than drain-s and config-propagation-s
REQUESTS = 12
AGAIN_S = 1.0  # to confirm the copies

BOUNDS = Bounds(2.5, 6.0, 3.0, 4.0, 5.0, 0.2, 10.0, 64.0, 1.5, 5.0, 0.15)
NOW_S = 100.0


# VMs whose event loop was on time acted on copies of any age, though the store served others.
@pytest.mark.parametrize(
    ("age_s", "is_away", "is_current"),
    [
        (2.1, False, True),
        (2.3, False, False),
        (2.3, True, True),
        (60.0, True, True),
        (None, False, False),  # one kind has been read, and others have not
        (None, True, True),  # a peer's copy, while the store is away
    ],
)
def test_copies_may_be_too_old_only_while_the_store_is_away(
    age_s: float | None, is_away: bool, is_current: bool
) -> None:
    confirmed_s = None if age_s is None else NOW_S - age_s
    currency = CopyCurrency(BOUNDS, lambda: confirmed_s, lambda now_s: is_away)
    assert currency.is_current(NOW_S) is is_current


async def _send(site: SiteUnderTest, paths: list[str]) -> list[ClientConnection]:
    """Send requests on new connections, all within one turn of the event loop."""
    conns = [await connect(site.caller_address, 1.0) for _ in paths]
    for conn, path in zip(conns, paths, strict=True):
        headers = [
            (b"host", HOST.encode()),
            (b"x-chervilmill-request-id", site.next_id().encode()),
            (b"x-chervilmill-deadline-milliseconds", b"8000"),
        ]
        await conn.send_head(b"GET", path.encode(), headers)
        conn.end_body()
    return conns


async def _statuses(conns: list[ClientConnection]) -> list[int]:
    statuses = [(await conn.read_head()).status for conn in conns]
    for conn in conns:
        conn.abort()
    return statuses


def test_requests_that_waited_reach_a_target_that_has_left_meanwhile(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            await asyncio.sleep(1.0)
            conns = await _send(site, [f"/read/{number}" for number in range(REQUESTS)])
            before = len(site.targets["t1"].records.runs)
            entry = site.targets["t1"].entry("app", site.addresses["t1"], "north-a", 1)
            site.store.put("servers", "t1", entry | {"state": "draining"})
            time.sleep(STOOD_STILL_S)
            assert set(await _statuses(conns)) <= {200, 503}
            assert len(site.targets["t1"].records.runs) == before
            await asyncio.sleep(AGAIN_S)
            assert await _statuses(await _send(site, ["/read/1"])) == [200]

    run_async(scenario)


def test_requests_that_waited_are_decided_by_the_configuration_before(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, services=("app", "desk")) as site:
            await site.add_target("d1", "desk")
            await asyncio.sleep(1.0)
            paths = [f"/added/{number}" for number in range(REQUESTS)] + ["/read/1"] * REQUESTS
            conns = await _send(site, paths)
            moved = [replace(row, service="desk") for row in DEFAULT_ROUTES]
            routes = (*moved, RouteRow("added", "/added/"))
            site.store.put("config", "main", configuration(9, routes, ("app", "desk")))
            time.sleep(STOOD_STILL_S)
            statuses = await _statuses(conns)
            assert set(statuses) <= {200, 503}
            reads = [run for name in ("t1", "t2") for run in site.targets[name].records.runs]
            assert not [run for run in reads if run.path.startswith("/read/")]
            await asyncio.sleep(AGAIN_S)
            assert await _statuses(await _send(site, ["/added/1"])) == [200]

    run_async(scenario)
