"""Send requests through an entry VM and check them at the caller and at the targets."""

import asyncio
from pathlib import Path

import pytest

from chervilmill.aio import ExchangeError, connect
from soak.site import RouteRow
from tests.entry.harness import SiteUnderTest, is_ready, running_site, until
from tests.support import run_async


def test_answer_is_the_targets_own(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            answer = await site.ask("/read/a", request_id="one")
            assert answer.status == 200
            assert b"ran one" in answer.body
            assert b"x-chervilmill-response-seal" in answer.headers
            assert site.runs("one") == 1

    run_async(scenario)


def test_upload_arrives_whole(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            answer = await site.ask("/bundle/b", "POST", b"x" * 300_000)
            assert answer.status == 200
            (run,) = [run for t in site.targets.values() for run in t.records.runs]
            assert answer.body.decode().endswith(run.body_digest)

    run_async(scenario)


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
    """A single fault hits whichever target is chosen first.

    A request that must run once is retried only if the target states that it did not run it.
    """

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            site.targets["t2"].faults = site.targets["t1"].faults
            setattr(site.targets["t1"].faults, fault, 1)
            answer = await site.ask(path, method, b"body" if method == "POST" else b"", "one")
            assert (answer.status, answer.is_whole) == (status, True)
            assert site.runs("one") == runs

    run_async(scenario)


def test_both_targets_shed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for target in site.targets.values():
                target.faults.shed = 5
            answer = await site.ask("/order/a", "POST", b"order", "one")
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) > 0
            assert site.runs("one") == 0

    run_async(scenario)


def test_answer_of_another_request_is_skipped(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for target in site.targets.values():
                target.faults.answer_crossed = 1
            answer = await site.ask("/read/a", deadline_ms=1000)
            assert b"another request" not in answer.body

    run_async(scenario)


def test_deadline_passed_on_is_not_longer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            await site.ask("/read/a", deadline_ms=700)
            await site.ask("/read/a", deadline_ms=60_000)
            stated = [run.deadline_ms for t in site.targets.values() for run in t.records.runs]
            assert sorted(ms is not None and ms <= 2000 for ms in stated) == [True, True]
            assert min(ms for ms in stated if ms is not None) <= 700

    run_async(scenario)


def test_timeout_of_the_route_is_answered(tmp_path: Path) -> None:
    routes = (RouteRow("reads", "/read/", "unsafe", timeout_s=0.3),)

    async def scenario() -> None:
        async with running_site(tmp_path, routes=routes) as site:
            for target in site.targets.values():
                target.faults.work_factor = 1000.0
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            answer = await site.ask("/read/a", "POST", b"x")
            assert answer.status == 504
            assert 0.25 <= loop.time() - began_s < 0.8

    run_async(scenario)


def test_caller_that_leaves_frees_the_target(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            site.targets["t1"].faults.work_factor = 50.0
            conn = await connect(site.caller_address, 1.0)
            asking = asyncio.create_task(site.ask("/read/a", request_id="gone", conn=conn))

            async def runs() -> bool:
                return site.runs("gone") == 1

            await until(runs)
            conn.abort()
            await asyncio.gather(asking, return_exceptions=True)

            async def is_cut() -> bool:
                return site.targets["t1"].records.cut == ["gone"]

            await until(is_cut, 0.5)

    run_async(scenario)


def test_stop_answers_what_was_begun_and_refuses_what_comes_late(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for target in site.targets.values():
                target.faults.work_factor = 20.0
            conn = await connect(site.caller_address, 1.0)
            begun = asyncio.create_task(site.ask("/order/a", "POST", b"x", conn=conn))
            await asyncio.sleep(0.1)
            site.vm.request_stop()
            await asyncio.sleep(0.05)
            assert not await is_ready(site.readiness_address)
            answer = await begun
            assert answer.status == 200
            assert answer.headers[b"connection"] == b"close"
            await until(lambda: _is_refusing(site), 6.0)

    run_async(scenario)


async def _is_refusing(site: SiteUnderTest) -> bool:
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
