"""Count the requests in flight, so that a graceful stop can wait for them."""

import threading


class InFlight:
    """Count requests from their headers to the last byte of their answer."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = threading.Condition()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    def enter(self) -> None:
        """Count a request that begins."""
        with self._idle:
            self._count += 1

    def leave(self) -> None:
        """Count a request that has ended."""
        with self._idle:
            self._count -= 1
            self._idle.notify_all()

    def wait_until_idle(self, timeout_s: float | None = None) -> bool:
        """Wait until no request is in flight and return whether that happened in time."""
        with self._idle:
            return self._idle.wait_for(lambda: self._count == 0, timeout_s)
