"""Take one entry VM's share of the retry budget of a service.

Load patterns: grey targets and lost answers, where repeats would add to the load that caused them.
The budget of the site is a share of its requests and a fixed number a window. Each entry VM earns
the first with its own requests and has an equal part of the second, so no message is needed.
"""

RATIO_SHARE = 0.8  # of the budget's ratio, since callers and this system count at different moments
EXTRA_SHARE = 0.6  # of the fixed number, as windows slide and entry VMs come and go
MAX_SAVED = 2.0  # requests that earnings may pile up to; a spell of failures earns as it goes


class RetryShare:
    """Hold the balance of one service at this VM, in requests."""

    __slots__ = ("_at_s", "_balance", "_extra", "_ratio", "_window_s")

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._extra = extra * EXTRA_SHARE
        self._window_s = window_s
        self._balance = 0.0
        self._at_s: float | None = None

    def receive(self) -> None:
        """Count a request of a caller."""
        self._balance += self._ratio

    def take(self, vms: int, now_s: float) -> bool:
        """Return whether one more send is allowed among a number of entry VMs, and charge it."""
        most = self._extra / max(1, vms)
        if self._at_s is None:
            self._balance += most
        else:
            self._balance += most * (now_s - self._at_s) / self._window_s / 2
        self._at_s = now_s
        self._balance = min(self._balance, max(1.0, most) + MAX_SAVED)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
