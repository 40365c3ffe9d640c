"""Make calls at intervals that do not depend on how long their answers take."""

import threading
import time
from collections.abc import Callable

from chervilmill.supervision import supervised_thread


class PacedCalls:
    """Threads that begin a call when it is due, whether or not earlier ones have been answered.

    At most `max_open` calls are open at once.
    """

    def __init__(
        self,
        name: str,
        max_open: int,
        interval_s: Callable[[], float],
        call: Callable[[], None],
    ) -> None:
        self._interval_s = interval_s
        self._call = call
        self._due_s = float("-inf")
        self._turn = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            supervised_thread(name, self._run, f"{name}-{index}") for index in range(max_open)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the present calls."""
        self._stopped.set()

    def join(self, timeout_s: float) -> None:
        """Wait for the end of each thread, at most for the timeout."""
        for thread in self._threads:
            thread.join(timeout_s)

    def _run(self) -> None:
        while self._await_turn():
            self._call()

    def _await_turn(self) -> bool:
        """Wait until the next call is due, and return whether to make it."""
        with self._turn:
            self._stopped.wait(max(0.0, self._due_s - time.monotonic()))
            self._due_s = time.monotonic() + self._interval_s()
            return not self._stopped.is_set()
