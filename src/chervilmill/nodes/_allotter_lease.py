"""Acquire and renew the lease that lets one node divide the caps.

The lease has a long duration, so that its holder can keep dividing during short outages of the
store. In return, all nodes are limited to their floors for that long after a holder has died.
"""

import threading
import time
from collections.abc import Callable

from chervilmill.coordination import Lease, ObjectStore
from chervilmill.supervision import supervised_thread

LEASE_NAME = "allotter"
LEASE_DURATION_S = 60.0
STEP_INTERVAL_S = 5.0
ROLE_CHECK_INTERVAL_S = 0.5


class AllotterLease:
    """Keeps the lease while this node is the root, and releases the lease afterwards."""

    def __init__(self, store: ObjectStore, holder: str, is_root: Callable[[], bool]) -> None:
        self._lease = Lease(store, LEASE_NAME, holder, LEASE_DURATION_S, time.monotonic)
        self._is_root = is_root
        self._stopped = threading.Event()
        self._thread = supervised_thread("allotter lease", self._run)

    def epoch(self) -> int:
        """Return the epoch of the lease while it is held, else 0."""
        return self._lease.epoch if self._lease.is_held else 0

    def start(self) -> None:
        """Start the thread that acquires the lease whenever this node is the root."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, which then releases the lease."""
        self._stopped.set()

    def _run(self) -> None:
        last_step_s = float("-inf")
        while not self._stopped.wait(ROLE_CHECK_INTERVAL_S):
            if not self._is_root():
                self._release()
            elif time.monotonic() - last_step_s >= STEP_INTERVAL_S:
                last_step_s = time.monotonic()
                self._lease.step()
        self._release()

    def _release(self) -> None:
        if self._lease.is_held:
            self._lease.release()
