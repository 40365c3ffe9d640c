"""Play requests through an entry VM and look at them from both ends."""

import asyncio
import json
from pathlib import Path

import pytest

from chervilmill.aio import ExchangeError, connect
from chervilmill.requests import Limited
from soak.site import DEFAULT_ROUTES, HOST, RouteRow, configuration
from tests.entry.harness import Scene, is_ready, scene, until
from tests.support import play


def test_answer_is_the_targets_own(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            answer = await site.ask("/read/a", request_id="one")
            assert answer.status == 200
            assert b"ran one" in answer.body
            assert b"x-chervilmill-response-seal" in answer.headers
            assert site.runs("one") == 1

    play(story)


def test_upload_arrives_whole(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            answer = await site.ask("/bundle/b", "POST", b"x" * 300_000)
            assert answer.status == 200
            (run,) = [run for t in site.targets.values() for run in t.records.runs]
            assert answer.body.decode().endswith(run.body_digest)

    play(story)


@pytest.mark.parametrize(
    ("path", "method", "fault", "status", "runs"),
    [
        ("/read/a", "GET", "shed", 200, 1),
        ("/order/a", "POST", "shed", 200, 1),
        ("/bundle/a", "POST", "answer_early", 200, 1),
        ("/read/a", "GET", "lose_answer", 200, 2),
        ("/read/a", "GET", "break_off", 200, 2),
        ("/read/a", "GET", "spoil", 200, 2),
        ("/order/a", "POST", "lose_answer", 502, 1),
        ("/order/a", "POST", "break_off", 502, 1),
        ("/order/a", "POST", "spoil", 502, 1),
        ("/bundle/a", "POST", "lose_answer", 502, 1),
    ],
)
def test_faults_of_a_target(
    tmp_path: Path, path: str, method: str, fault: str, status: int, runs: int
) -> None:
    """One fault strikes whichever target is chosen first; a request that must run once is sent
    again only where the target proved that it did not run it."""

    async def story() -> None:
        async with scene(tmp_path) as site:
            site.targets["t2"].faults = site.targets["t1"].faults
            setattr(site.targets["t1"].faults, fault, 1)
            answer = await site.ask(path, method, b"body" if method == "POST" else b"", "one")
            assert (answer.status, answer.is_whole) == (status, True)
            assert site.runs("one") == runs

    play(story)


def test_both_targets_shed(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            for target in site.targets.values():
                target.faults.shed = 5
            answer = await site.ask("/order/a", "POST", b"order", "one")
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) > 0
            assert site.runs("one") == 0

    play(story)


def test_answer_of_another_request_is_skipped(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            for target in site.targets.values():
                target.faults.answer_crossed = 1
            answer = await site.ask("/read/a", deadline_ms=1000)
            assert b"another request" not in answer.body

    play(story)


def test_deadline_passed_on_is_not_longer(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            await site.ask("/read/a", deadline_ms=700)
            await site.ask("/read/a", deadline_ms=60_000)
            stated = [run.deadline_ms for t in site.targets.values() for run in t.records.runs]
            assert sorted(ms is not None and ms <= 2000 for ms in stated) == [True, True]
            assert min(ms for ms in stated if ms is not None) <= 700

    play(story)


def test_timeout_of_the_route_is_answered(tmp_path: Path) -> None:
    routes = (RouteRow("reads", "/read/", "unsafe", timeout_s=0.3),)

    async def story() -> None:
        async with scene(tmp_path, routes=routes) as site:
            for target in site.targets.values():
                target.faults.work_factor = 1000.0
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            answer = await site.ask("/read/a", "POST", b"x")
            assert answer.status == 504
            assert 0.25 <= loop.time() - began_s < 0.8

    play(story)


def test_caller_that_leaves_frees_the_target(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path, targets=("t1",)) as site:
            site.targets["t1"].faults.work_factor = 50.0
            conn = await connect(site.callers, 1.0)
            asking = asyncio.create_task(site.ask("/read/a", request_id="gone", conn=conn))

            async def runs() -> bool:
                return site.runs("gone") == 1

            await until(runs)
            conn.abort()
            await asyncio.gather(asking, return_exceptions=True)

            async def is_cut() -> bool:
                return site.targets["t1"].records.cut == ["gone"]

            await until(is_cut, 0.5)

    play(story)


def test_draining_target_gets_nothing_more(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            entry = site.targets["t1"].entry("app", site.addresses["t1"], "north-a", 1)
            site.store.put("servers", "t1", entry | {"state": "draining"})
            site.store.put("evacuations", "north-b", {})
            await site.settle()
            for number in range(20):
                await site.ask("/read/a", key=str(number))
            assert not site.targets["t1"].records.runs

    play(story)


def test_evacuated_failure_domain_gets_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path, targets=()) as site:
            await site.add_target("near", domain="north-a")
            await site.add_target("other", domain="north-b")
            site.store.put("evacuations", "north-a", {})
            await site.settle()
            for number in range(20):
                await site.ask("/read/a", key=str(number))
            assert not site.targets["near"].records.runs
            assert len(site.targets["other"].records.runs) == 20

    play(story)


def test_address_that_another_service_took_over_runs_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path, targets=("t1",)) as site:
            site.targets["t1"].name = "somebody-else"
            answer = await site.ask("/order/a", "POST", b"order", "one")
            assert answer.status == 503
            assert site.runs("one") == 0

    play(story)


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
def test_foreign_entries_name_no_target(tmp_path: Path, entry: object) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            site.store.put("servers", "foreign", entry)
            await site.settle()
            for number in range(10):
                assert (await site.ask("/read/a", key=str(number))).status == 200

    play(story)


def test_configuration_comes_into_force_and_never_goes_back(tmp_path: Path) -> None:
    added = (*DEFAULT_ROUTES, RouteRow("more", "/more/"))

    async def story() -> None:
        async with scene(tmp_path) as site:
            assert (await site.ask("/more/a")).status == 404
            site.store.put("config", "main", configuration(3, added))
            await site.settle()
            assert (await site.ask("/more/a")).status == 200
            site.store.put("config", "main", configuration(2))
            await site.settle()
            assert (await site.ask("/more/a")).status == 200

    play(story)


def test_history_that_is_gone_is_listed_anew(tmp_path: Path) -> None:
    added = (*DEFAULT_ROUTES, RouteRow("more", "/more/"))

    async def story() -> None:
        async with scene(tmp_path) as site:
            site.store.put("config", "main", configuration(2, added))
            site.store.compact()
            await site.settle()
            assert (await site.ask("/more/a")).status == 200

    play(story)


def test_split_follows_its_weights(tmp_path: Path) -> None:
    parts: list[dict[str, object]] = [
        {"service": "app", "weight": 3},
        {"service": "other", "weight": 1},
    ]
    routes = (RouteRow("reads", "/read/", split=parts),)

    async def story() -> None:
        async with scene(tmp_path, ("t1",), routes, ("app", "other")) as site:
            await site.add_target("o1", "other")
            await site.settle()
            for number in range(40):
                await site.ask("/read/a", key=str(number))
            assert len(site.targets["t1"].records.runs) == 30
            assert len(site.targets["o1"].records.runs) == 10

    play(story)


def test_look_up_names_the_vm(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            conn = await connect(site.lookups, 1.0)
            path = b"/v1/resolve?name=site.example&region=north&zone=north-a"
            await conn.send_head(b"GET", path, [(b"host", b"-")])
            conn.end_body()
            assert (await conn.read_head()).status == 200
            body = json.loads(await conn.read_part() or b"")
            conn.abort()
            assert body["addresses"] == [str(site.callers)]
            assert 0 < body["ttl-s"] <= 5

    play(story)


def test_stop_answers_what_was_begun_and_refuses_what_comes_late(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            for target in site.targets.values():
                target.faults.work_factor = 20.0
            conn = await connect(site.callers, 1.0)
            begun = asyncio.create_task(site.ask("/order/a", "POST", b"x", conn=conn))
            await asyncio.sleep(0.1)
            site.vm.ask_stop()
            await asyncio.sleep(0.05)
            assert not await is_ready(site.readiness)
            answer = await begun
            assert answer.status == 200
            assert answer.headers[b"connection"] == b"close"
            await until(lambda: _is_refusing(site), 6.0)

    play(story)


async def _is_refusing(site: Scene) -> bool:
    request_id = site.next_id()
    try:
        answer = await site.ask("/order/b", "POST", b"x", request_id)
    except ExchangeError:
        return False
    if answer.status != 503:
        return False
    assert site.runs(request_id) == 0
    assert b"retry-after" in answer.headers
    return True


def test_request_that_crashes_its_targets_is_stopped(tmp_path: Path) -> None:
    """It takes two targets at most; others of the same kind go on being served."""

    async def story() -> None:
        async with scene(tmp_path, targets=("t1", "t2", "t3", "t4", "t5")) as site:
            crashed: set[str] = set()
            for _ in range(8):
                asking = asyncio.create_task(
                    site.ask("/order/deadly", "POST", b"x", "deadly", key="deadly")
                )
                crashed |= await _crash_whoever_runs(site, "deadly", asking)
                await site.ask("/order/fine", "POST", b"x", key="fine")
            assert len(crashed) <= 2
            answer = await site.ask("/order/fine", "POST", b"x", key="fine")
            assert answer.status == 200

    play(story)


async def _crash_whoever_runs(
    site: Scene, request_id: str, asking: "asyncio.Task[object]"
) -> set[str]:
    for target in site.targets.values():
        target.faults.work_factor = 5.0
    crashed: set[str] = set()
    while not asking.done():
        for name, target in site.targets.items():
            runs = [run for run in target.records.runs if run.request_id == request_id]
            if runs and name not in crashed:
                target.records.runs.clear()
                target.crash()
                crashed.add(name)
        await asyncio.sleep(0.005)
    await asyncio.gather(asking, return_exceptions=True)
    for target in site.targets.values():
        target.faults.work_factor = 1.0
    for name in crashed:
        site.store.delete("servers", name)
        del site.targets[name]
    await site.settle()
    return crashed


def test_silent_target_costs_a_read_its_objective_and_no_more(tmp_path: Path) -> None:
    """A target that runs nothing and says nothing is left for another, and then left alone."""

    async def story() -> None:
        async with scene(tmp_path) as site:
            for number in range(20):
                await site.ask("/read/a", key=str(number))
            for run in site.targets.values():
                run.faults.work_factor = 1.0
            site.targets["t1"].faults.work_factor = 10_000.0
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            answers = await asyncio.gather(
                *[site.ask("/read/a", key=str(number)) for number in range(12)]
            )
            assert [answer.status for answer in answers] == [200] * 12
            assert loop.time() - began_s <= 0.5 + 0.5
            seen = site.targets["t1"].records.arrivals
            for number in range(12):
                assert (await site.ask("/read/a", key=str(number))).status == 200
            assert site.targets["t1"].records.arrivals - seen <= 2

    play(story)


def test_silent_target_is_left_alone_also_by_requests_that_must_run_once(tmp_path: Path) -> None:
    """Their time ends at the silent target, and that tells as much as a request sent elsewhere."""

    async def story() -> None:
        async with scene(tmp_path) as site:
            for number in range(20):
                await site.ask("/order/a", "POST", b"x", key=str(number))
            site.targets["t1"].faults.work_factor = 10_000.0
            asked = [
                site.ask("/order/a", "POST", b"x", deadline_ms=700, key=str(number))
                for number in range(8)
            ]
            await asyncio.gather(*asked)
            seen = site.targets["t1"].records.arrivals
            for number in range(8):
                answer = await site.ask("/order/a", "POST", b"x", deadline_ms=700, key=str(number))
                assert answer.status == 200
            assert site.targets["t1"].records.arrivals == seen

    play(story)


def test_time_that_a_slow_caller_takes_is_not_laid_to_the_target(tmp_path: Path) -> None:
    async def story() -> None:
        async with scene(tmp_path, targets=("t1",)) as site:
            await site.ask("/order/a", "POST", b"x")
            conn = await connect(site.callers, 1.0)
            headers = [
                (b"host", HOST.encode()),
                (b"content-length", b"10"),
                (b"x-chervilmill-deadline-milliseconds", b"900"),
            ]
            await conn.send_head(b"POST", b"/order/a", headers)
            await conn.send_part(b"x")
            await asyncio.sleep(1.2)
            conn.abort()
            record = site.vm._site.fleet.record("t1")
            assert record is not None
            assert not record.is_ejected(asyncio.get_running_loop().time())

    play(story)


def test_suspected_request_that_is_overdue_reaches_no_second_target(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with scene(tmp_path) as site:
            for number in range(10):
                await site.ask("/read/a", key=str(number))
            limited = Limited("t1")
            monkeypatch.setattr(site.vm._crashes, "verdict", lambda *_: limited)
            site.targets["t1"].faults.work_factor = 10_000.0
            await site.ask("/read/a", request_id="suspect", deadline_ms=1500)
            ran = [run.request_id for run in site.targets["t2"].records.runs]
            assert "suspect" not in ran

    play(story)


def test_homes_bind(tmp_path: Path) -> None:
    routes = (RouteRow("reads", "/read/", homes=["south"]),)

    async def story() -> None:
        async with scene(tmp_path, targets=(), routes=routes) as site:
            await site.add_target("away", domain="north-a")
            assert (await site.ask("/read/a")).status == 503
            await site.add_target("home", domain="south-a")
            await site.settle()
            for number in range(20):
                assert (await site.ask("/read/a", key=str(number))).status == 200
            assert not site.targets["away"].records.runs

    play(story)
