"""Test that background work starts anew after an error that nobody foresaw."""

import asyncio

import pytest

from chervilmill import supervision
from chervilmill.supervision import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    STEADY_S,
    RestartPauses,
    keep_running,
    supervised_thread,
)
from tests.virtual_time import run_virtually


def test_pauses_double_up_to_a_limit_and_begin_anew_after_steady_work() -> None:
    pauses = RestartPauses()
    assert [pauses.next_pause_s(0.0) for _ in range(6)] == [0.25, 0.5, 1.0, 2.0, 4.0, MAX_PAUSE_S]
    assert pauses.next_pause_s(STEADY_S) == FIRST_PAUSE_S


# A task that failed once was never started again.
def test_task_that_fails_stays_ended() -> None:
    starts: list[float] = []
    failures: list[str] = []

    async def work() -> None:
        starts.append(asyncio.get_running_loop().time())
        if len(starts) < 4:
            raise RuntimeError("unforeseen")

    async def scenario() -> None:
        began_s = asyncio.get_running_loop().time()
        await keep_running("work", work, failures.append)
        offsets = [start_s - began_s for start_s in starts]
        assert offsets == pytest.approx([0.0, 0.25, 0.75, 1.75], abs=0.01)

    run_virtually(scenario())
    assert failures == ["work"] * 3


def test_task_is_cancelled_while_it_waits_to_start_anew() -> None:
    async def work() -> None:
        raise RuntimeError("unforeseen")

    async def scenario() -> None:
        task = asyncio.create_task(keep_running("work", work, lambda _: None))
        await asyncio.sleep(10.0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_virtually(scenario())


# A thread that failed once was never started again.
def test_thread_that_fails_stays_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(supervision, "FIRST_PAUSE_S", 0.01)
    starts: list[int] = []

    def work() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise RuntimeError("unforeseen")

    thread = supervised_thread("work", work)
    thread.start()
    thread.join(5.0)
    assert (len(starts), thread.is_alive()) == (3, False)
