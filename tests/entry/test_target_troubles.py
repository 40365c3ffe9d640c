"""Send requests to targets that crash, stop answering, are unreachable or drop connections."""

import asyncio
from pathlib import Path

import pytest

from chervilmill.aio import connect
from chervilmill.entry import _attempt
from chervilmill.requests import LimitedToTarget
from soak.site import HOST
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async


def test_request_that_crashes_its_targets_is_stopped(tmp_path: Path) -> None:
    """Such a request crashes at most two targets, and other requests are still served."""

    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1", "t2", "t3", "t4", "t5")) as site:
            crashed: set[str] = set()
            for _ in range(8):
                asking = asyncio.create_task(
                    site.ask("/order/deadly", "POST", b"x", "deadly", key="deadly")
                )
                crashed |= await _crash_targets_that_run(site, "deadly", asking)
                await site.ask("/order/fine", "POST", b"x", key="fine")
            assert len(crashed) <= 2
            answer = await site.ask("/order/fine", "POST", b"x", key="fine")
            assert answer.status == 200

    run_async(scenario)


async def _crash_targets_that_run(
    site: SiteUnderTest, request_id: str, asking: "asyncio.Task[object]"
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
    """Reads move away from a target that does not answer, and later reads avoid it."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
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

    run_async(scenario)


def test_silent_target_is_ejected_by_requests_that_must_run_once(tmp_path: Path) -> None:
    """Such requests time out at the silent target, and the time-out ejects it too."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
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

    run_async(scenario)


def test_slow_caller_does_not_get_its_target_ejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            await site.ask("/order/a", "POST", b"x")
            conn = await connect(site.caller_address, 1.0)
            headers = [
                (b"host", HOST.encode()),
                (b"content-length", b"10"),
                (b"x-chervilmill-deadline-milliseconds", b"900"),
            ]
            await conn.send_head(b"POST", b"/order/a", headers)
            await conn.send_part(b"x")
            await asyncio.sleep(1.2)
            conn.abort()
            record = site.vm._site_state.fleet.record("t1")
            assert record is not None
            assert not record.is_ejected(asyncio.get_running_loop().time())

    run_async(scenario)


def test_suspected_request_that_is_overdue_reaches_no_second_target(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for number in range(10):
                await site.ask("/read/a", key=str(number))
            limited = LimitedToTarget("t1")
            monkeypatch.setattr(site.vm._crashes, "verdict", lambda *_: limited)
            site.targets["t1"].faults.work_factor = 10_000.0
            await site.ask("/read/a", request_id="suspect", deadline_ms=1500)
            ran = [run.request_id for run in site.targets["t2"].records.runs]
            assert "suspect" not in ran

    run_async(scenario)


def test_request_that_cannot_connect_in_time_is_refused_as_not_run(tmp_path: Path) -> None:
    """The target's host drops packets, as if the network were cut, so connecting times out."""

    async def scenario() -> None:
        async with running_site(tmp_path, targets=()) as site:
            await site.add_unreachable("t1")
            await site.settle()
            answer = await site.ask("/order/a", "POST", b"order", "one", deadline_ms=300)
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) > 0

    run_async(scenario)


def test_connections_older_than_one_that_broke_are_not_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each older connection would fail a request that must run once and cannot be retried."""
    # A reset may take long to arrive on a busy machine.
    monkeypatch.setattr(_attempt, "DROP_DETECTION_S", 5.0)

    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            await asyncio.gather(*(site.ask("/read/a") for _ in range(4)))
            site.targets["t1"].break_idle()
            ends = [(await site.ask("/order/a", "POST", b"order")).status for _ in range(4)]
            assert ends == [502, 200, 200, 200]

    run_async(scenario)
