"""Serve callers although a part of an entry VM meets an error that nobody foresaw."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import ClientConnection
from chervilmill.entry import _attempt, _dispatch, _forward
from chervilmill.entry._confirmation import CopyConfirmer
from chervilmill.entry._entry_vm import EntryVm
from chervilmill.entry._loop_watch import LoopWatch
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._reach import ReachTracker
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.peers import GossipEndpoint, _endpoint
from chervilmill.routing import Target
from tests.entry.harness import SiteUnderTest, running_site, until
from tests.support import run_async


async def _served(site: SiteUnderTest, count: int, path: str = "/order/a") -> int:
    """Return how many requests are served, for one object each so that all targets get some."""
    method = "POST" if "order" in path else "GET"
    answers = [await site.ask(path, method, key=str(n)) for n in range(count)]
    return sum(answer.status == 200 for answer in answers)


# A request ended with its connection and left no mark, so further ones followed to the target.
@pytest.mark.parametrize("path", ["/order/a", "/read/a"])
def test_error_before_a_request_is_sent_loses_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    acquire = TargetPool.acquire
    failed = 0

    async def acquire_or_fail(pool: TargetPool, target: Target) -> ClientConnection:
        nonlocal failed
        if target.name == "t1":
            failed += 1
            raise RuntimeError("unforeseen")
        return await acquire(pool, target)

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            await site.settle()
            monkeypatch.setattr(TargetPool, "acquire", acquire_or_fail)
            assert await _served(site, 24, path) == 24
            assert 1 <= failed <= 4

    run_async(scenario)


# The same while the answer is read: the target has the request, so only a read may be sent again.
@pytest.mark.parametrize(("path", "status"), [("/order/a", 502), ("/read/a", 200)])
def test_error_after_a_request_is_sent_closes_the_connection_without_an_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str, status: int
) -> None:
    read_answer = _attempt.read_answer
    failed = 0

    def fail_once(*args: object) -> object:
        nonlocal failed
        failed += 1
        if failed == 1:
            raise RuntimeError("unforeseen")
        return read_answer(*args)  # type: ignore[arg-type]

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            await site.settle()
            monkeypatch.setattr(_attempt, "read_answer", fail_once)
            answer = await site.ask(path, "POST" if "order" in path else "GET")
            assert (answer.status, answer.is_whole) == (status, True)

    run_async(scenario)


# An error outside of an attempt closed the connection too.
@pytest.mark.parametrize(
    "part",
    [
        lambda patch, fail: patch.setattr(_dispatch.Dispatcher, "_place", fail),
        lambda patch, fail: patch.setattr(_forward, "find_route", fail),
    ],
    ids=["placement", "route"],
)
def test_error_in_a_decision_closes_the_connection_without_an_answer(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    part: Callable[[pytest.MonkeyPatch, Callable[..., None]], None],
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("unforeseen")

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            with monkeypatch.context() as patch:
                part(patch, fail)
                assert (await site.ask("/read/a")).status == 502
            assert await _served(site, 2) == 2

    run_async(scenario)


TASKS = [
    (ReplicaSync, "run"),
    (CopyConfirmer, "run"),
    (GossipEndpoint, "run"),
    (ReachTracker, "run"),
    (LoopWatch, "run"),
    (EntryVm, "_tick"),
    (EntryVm, "_become_ready"),
]


# The first error of any background task ended the whole entry VM.
@pytest.mark.parametrize(("owner", "name"), TASKS, ids=lambda part: getattr(part, "__name__", part))
def test_error_of_a_background_task_ends_the_vm(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: type, name: str
) -> None:
    run = getattr(owner, name)
    starts = 0

    async def fail_first(*args: object) -> None:
        nonlocal starts
        starts += 1
        if starts <= 2:
            raise RuntimeError("unforeseen")
        await run(*args)

    async def has_started() -> bool:
        return starts >= 3

    async def scenario() -> None:
        monkeypatch.setattr(owner, name, fail_first)
        async with running_site(tmp_path) as site:
            await until(has_started)
            assert await _served(site, 4) == 4
            assert not site.vm._stop_requested.is_set()
            samples = site.vm._metrics.task_failures.collect()[0].samples
            assert sum(s.value for s in samples if s.name.endswith("_total")) == 2.0

    run_async(scenario)


# A datagram that raised an error within a tick ended the task that ticks, and with it the VM.
@pytest.mark.parametrize("step", ["decode_digest", "receive"])
def test_error_for_a_datagram_costs_more_than_that_datagram(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    failed = 0

    def fail(*_: object) -> None:
        nonlocal failed
        failed += 1
        raise RuntimeError("unforeseen")

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            gossip = site.vm._gossip
            own = Address(site.vm._settings.host, site.vm._settings.gossip_port)
            with monkeypatch.context() as patch:
                if step == "receive":
                    patch.setattr(gossip._membership, "receive", fail)
                else:
                    patch.setattr(_endpoint, step, fail)
                for _ in range(3):
                    gossip.send_digest(own)
                gossip.poll()
                await asyncio.sleep(0.3)
            assert failed >= 3
            assert not site.vm._stop_requested.is_set()
            assert await _served(site, 2) == 2

    run_async(scenario)
