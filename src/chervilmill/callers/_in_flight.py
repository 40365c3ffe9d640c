"""Count requests in flight, so that a graceful stop can wait for them."""

import threading


class InFlight:
    """Counter of requests, each from its headers to the last byte of its answer."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = threading.Condition()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    def enter(self) -> None:
        """Add a request that begins."""
        with self._idle:
            self._count += 1

    def leave(self) -> None:
        """Remove a request that has ended."""
        with self._idle:
            self._count -= 1
            self._idle.notify_all()

    def wait_until_idle(self, timeout_s: float | None = None) -> bool:
        """Wait until no request is in flight; return False if the timeout passes first."""
        with self._idle:
            return self._idle.wait_for(lambda: self._count == 0, timeout_s)
