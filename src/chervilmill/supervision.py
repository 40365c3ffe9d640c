"""Keep background work going after errors that no part of it foresees.

Work that ends by itself would leave a process half alive, or end it, and a cause that lasts, such
as an odd entry of another writer, would end it again after each start. The work starts anew after a
pause instead, which doubles while it goes on failing.
"""

import asyncio
import threading
import time
import traceback
from collections.abc import Awaitable, Callable
from functools import partial

from chervilmill.logs import log_problem

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
STEADY_S = 30.0  # after running for so long, the next pause is the first again
MAX_ERROR_CHARACTERS = 256


class RestartPauses:
    """The pauses before work that has failed is started anew."""

    __slots__ = ("_pause_s",)

    def __init__(self) -> None:
        self._pause_s = FIRST_PAUSE_S

    def next_pause_s(self, ran_s: float) -> float:
        """Return the pause after work that ran for a time."""
        if ran_s >= STEADY_S:
            self._pause_s = FIRST_PAUSE_S
        pause_s = self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
        return pause_s


async def keep_running(
    task: str, run: Callable[[], Awaitable[None]], on_failure: Callable[[str], None]
) -> None:
    """Run a task of the event loop until it returns or is cancelled."""
    loop, pauses = asyncio.get_running_loop(), RestartPauses()
    while True:
        began_s = loop.time()
        try:
            await run()
            return
        except Exception as exc:
            pause_s = pauses.next_pause_s(loop.time() - began_s)
            _log_failure(task, exc, pause_s)
            on_failure(task)
        await asyncio.sleep(pause_s)


def supervised_thread(task: str, run: Callable[[], None], name: str = "") -> threading.Thread:
    """Return a daemon thread, not started yet, that runs a task until the task returns."""
    work = partial(_keep_running, task, run)
    return threading.Thread(target=work, name=name or task, daemon=True)


def _keep_running(task: str, run: Callable[[], None]) -> None:
    pauses = RestartPauses()
    while True:
        began_s = time.monotonic()
        try:
            run()
            return
        except Exception as exc:
            pause_s = pauses.next_pause_s(time.monotonic() - began_s)
            _log_failure(task, exc, pause_s)
        time.sleep(pause_s)


def _log_failure(task: str, exc: Exception, pause_s: float) -> None:
    frames = traceback.extract_tb(exc.__traceback__)
    log_problem(
        "task failed",
        step=task,
        peer="self",
        error=repr(exc)[:MAX_ERROR_CHARACTERS],
        where=f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else "",
        restart_s=pause_s,
    )
