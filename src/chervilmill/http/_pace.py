"""Enforce a least transfer rate on peers that send requests or read answers."""


class Pace:
    """A time allowance for one transfer: a grace period, extended by each byte that was moved.

    Only the time spent waiting for the peer is charged, not the time in which this side neither
    reads nor writes.
    """

    __slots__ = ("_grace_s", "_least_bytes_per_s", "_moved_bytes", "_waited_s")

    def __init__(self, grace_s: float, least_bytes_per_s: float) -> None:
        self._grace_s = grace_s
        self._least_bytes_per_s = least_bytes_per_s
        self.restart()

    @property
    def allowed_s(self) -> float:
        """Return the seconds that the next bytes may take; 0 or less if the peer is too slow.

        The value never exceeds the grace period.
        """
        earned_s = self._moved_bytes / self._least_bytes_per_s
        return min(self._grace_s, self._grace_s + earned_s - self._waited_s)

    def restart(self) -> None:
        """Reset the allowance for another transfer."""
        self._moved_bytes = 0
        self._waited_s = 0.0

    def note(self, waited_s: float, moved_bytes: int) -> None:
        """Record the wait and the size of one read or write."""
        self._waited_s += waited_s
        self._moved_bytes += moved_bytes
