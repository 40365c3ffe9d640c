"""Hold the lease that lets one node divide the caps.

The lease lasts long, so that its holder goes on dividing through short outages of the store. The
price is that the nodes live on their floors for that long after a holder died.
"""

import threading
import time
from collections.abc import Callable

from chervilmill.coordination import Lease, ObjectStore

LEASE_NAME = "allotter"
DURATION_S = 60.0
STEP_INTERVAL_S = 5.0
ROLE_CHECK_S = 0.5


class AllotterLease:
    """Acquire the lease while this node is the root, and give it up once it is not."""

    def __init__(self, store: ObjectStore, holder: str, is_root: Callable[[], bool]) -> None:
        self._lease = Lease(store, LEASE_NAME, holder, DURATION_S, time.monotonic)
        self._is_root = is_root
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="allotter lease", daemon=True)

    def epoch(self) -> int:
        """Return the epoch of the lease while it is held, else 0."""
        return self._lease.epoch if self._lease.is_held else 0

    def start(self) -> None:
        """Begin to acquire the lease when this node becomes the root."""
        self._thread.start()

    def stop(self) -> None:
        """Give the lease up."""
        self._stopped.set()

    def _run(self) -> None:
        stepped_s = float("-inf")
        while not self._stopped.wait(ROLE_CHECK_S):
            if not self._is_root():
                self._give_up()
            elif time.monotonic() - stepped_s >= STEP_INTERVAL_S:
                stepped_s = time.monotonic()
                self._lease.step()
        self._give_up()

    def _give_up(self) -> None:
        if self._lease.is_held:
            self._lease.release()
