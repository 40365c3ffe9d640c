"""Limit this entry VM's retries to its share of a service's retry budget.

Load pattern: grey targets and lost answers, where retries would add to the load that caused them.
The budget of the site is a ratio of its requests plus a fixed number in each window. Each entry VM
earns the first part with its own requests and has an equal share of the second, so the VMs need no
message to agree.
"""

USED_RATIO_SHARE = 0.8  # of the ratio, as callers and this system count at different moments
USED_EXTRA_SHARE = 0.6  # of the fixed number, as windows slide and entry VMs join and leave
MAX_SAVED_RETRIES = 2.0  # a small balance suffices: requests keep adding to it while targets fail


class RetryBudgetShare:
    """This VM's share of the retry budget of one service, as a balance in retries."""

    __slots__ = ("_refilled_s", "_balance", "_extra", "_ratio", "_window_s")

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio * USED_RATIO_SHARE
        self._extra = extra * USED_EXTRA_SHARE
        self._window_s = window_s
        self._balance = 0.0
        self._refilled_s: float | None = None

    def count_request(self) -> None:
        """Record a request of a caller."""
        self._balance += self._ratio

    def try_spend(self, vms: int, now_s: float) -> bool:
        """Return whether one more send is allowed, and charge the balance if so.

        `vms` is the number of entry VMs that divide the fixed number of retries.
        """
        own_extra = self._extra / max(1, vms)
        if self._refilled_s is None:
            self._balance += own_extra
        else:
            self._balance += own_extra * (now_s - self._refilled_s) / self._window_s / 2
        self._refilled_s = now_s
        self._balance = min(self._balance, max(1.0, own_extra) + MAX_SAVED_RETRIES)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
