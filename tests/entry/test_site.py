"""Send requests while configuration, targets and failure domains change in the store."""

import json
from pathlib import Path

import pytest

from chervilmill.aio import connect
from soak.site import DEFAULT_ROUTES, RouteRow, configuration
from tests.entry.harness import running_site
from tests.support import run_async


def test_draining_target_gets_nothing_more(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            entry = site.targets["t1"].entry("app", site.addresses["t1"], "north-a", 1)
            site.store.put("servers", "t1", entry | {"state": "draining"})
            site.store.put("evacuations", "north-b", {})
            await site.settle()
            for number in range(20):
                await site.ask("/read/a", key=str(number))
            assert not site.targets["t1"].records.runs

    run_async(scenario)


def test_evacuated_failure_domain_gets_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=()) as site:
            await site.add_target("near", domain="north-a")
            await site.add_target("other", domain="north-b")
            site.store.put("evacuations", "north-a", {})
            await site.settle()
            for number in range(20):
                await site.ask("/read/a", key=str(number))
            assert not site.targets["near"].records.runs
            assert len(site.targets["other"].records.runs) == 20

    run_async(scenario)


def test_address_that_another_service_took_over_runs_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            site.targets["t1"].name = "somebody-else"
            answer = await site.ask("/order/a", "POST", b"order", "one")
            assert answer.status == 503
            assert site.runs("one") == 0

    run_async(scenario)


@pytest.mark.parametrize(
    "entry",
    [
        {"service": "app"},
        {"service": "app", "address": "nowhere", "zone": "north-a", "slots": 1, "state": "ready"},
        {"service": 7, "address": "127.0.0.1:1", "zone": "north-a", "slots": 1, "state": "ready"},
        {"service": "app", "address": "127.0.0.1:1", "zone": "north-a", "slots": "x"},
        "not an object",
    ],
)
def test_malformed_entries_are_ignored(tmp_path: Path, entry: object) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            site.store.put("servers", "foreign", entry)
            await site.settle()
            for number in range(10):
                assert (await site.ask("/read/a", key=str(number))).status == 200

    run_async(scenario)


def test_configuration_comes_into_force_and_never_goes_back(tmp_path: Path) -> None:
    added = (*DEFAULT_ROUTES, RouteRow("more", "/more/"))

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            assert (await site.ask("/more/a")).status == 404
            site.store.put("config", "main", configuration(3, added))
            await site.settle()
            assert (await site.ask("/more/a")).status == 200
            site.store.put("config", "main", configuration(2))
            await site.settle()
            assert (await site.ask("/more/a")).status == 200

    run_async(scenario)


def test_history_that_is_gone_is_listed_anew(tmp_path: Path) -> None:
    added = (*DEFAULT_ROUTES, RouteRow("more", "/more/"))

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            site.store.put("config", "main", configuration(2, added))
            site.store.compact()
            await site.settle()
            assert (await site.ask("/more/a")).status == 200

    run_async(scenario)


def test_split_follows_its_weights(tmp_path: Path) -> None:
    parts: list[dict[str, object]] = [
        {"service": "app", "weight": 3},
        {"service": "other", "weight": 1},
    ]
    routes = (RouteRow("reads", "/read/", split=parts),)

    async def scenario() -> None:
        async with running_site(tmp_path, ("t1",), routes, ("app", "other")) as site:
            await site.add_target("o1", "other")
            await site.settle()
            for number in range(40):
                await site.ask("/read/a", key=str(number))
            assert len(site.targets["t1"].records.runs) == 30
            assert len(site.targets["o1"].records.runs) == 10

    run_async(scenario)


def test_lookup_returns_the_vm(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            conn = await connect(site.lookup_address, 1.0)
            path = b"/v1/resolve?name=site.example&region=north&zone=north-a"
            await conn.send_head(b"GET", path, [(b"host", b"-")])
            conn.end_body()
            assert (await conn.read_head()).status == 200
            body = json.loads(await conn.read_part() or b"")
            conn.abort()
            assert body["addresses"] == [str(site.caller_address)]
            assert 0 < body["ttl-s"] <= 5

    run_async(scenario)


def test_homes_bind(tmp_path: Path) -> None:
    routes = (RouteRow("reads", "/read/", homes=["south"]),)

    async def scenario() -> None:
        async with running_site(tmp_path, targets=(), routes=routes) as site:
            await site.add_target("away", domain="north-a")
            assert (await site.ask("/read/a")).status == 503
            await site.add_target("home", domain="south-a")
            await site.settle()
            for number in range(20):
                assert (await site.ask("/read/a", key=str(number))).status == 200
            assert not site.targets["away"].records.runs

    run_async(scenario)
