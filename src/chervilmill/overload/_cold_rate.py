"""Limit the rate of requests to a cold target over all entry VMs together.

Load pattern: all targets of a failure domain are cold at once. A few entry VMs, the same in every
VM's view, divide the rate limit of each cold target among themselves. All other entry VMs send
nothing to the target, so the VMs need no message to agree.
"""

from collections.abc import Iterable

from chervilmill.routing import unit_hash

SENDERS_PER_TARGET = 3  # entry VMs that may send to one cold target
USED_RATE_SHARE = 0.8  # of the limit, as VMs' views differ for a moment when VMs join or leave
BURST_REQUESTS = 1.0


class ColdRateLimiter:
    """A token bucket of this entry VM for each lifetime of a cold target."""

    __slots__ = ("_buckets", "_vm")

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._buckets: dict[tuple[str, int], tuple[float, float]] = {}

    def may_send(
        self, target: str, incarnation: int, rate_per_s: float, vms: Iterable[str], now_s: float
    ) -> bool:
        """Return whether this VM may send a request now.

        `vms` are the entry VMs from which the senders to the target are chosen.
        """
        senders = sorted(vms, key=lambda vm: unit_hash(vm, target, "cold"))[:SENDERS_PER_TARGET]
        if self._vm not in senders or rate_per_s <= 0:
            return False
        return self._refill(target, incarnation, rate_per_s / len(senders), now_s) >= 1.0

    def count(self, target: str, incarnation: int) -> None:
        """Record a request that is sent to a cold target."""
        tokens, refilled_s = self._buckets.get((target, incarnation), (0.0, 0.0))
        self._buckets[(target, incarnation)] = (tokens - 1.0, refilled_s)

    def forget(self, target: str) -> None:
        """Drop the token buckets of a target that is gone."""
        for key in [key for key in self._buckets if key[0] == target]:
            del self._buckets[key]

    def _refill(self, target: str, incarnation: int, rate_per_s: float, now_s: float) -> float:
        tokens, refilled_s = self._buckets.get((target, incarnation), (BURST_REQUESTS, now_s))
        tokens = min(BURST_REQUESTS, tokens + USED_RATE_SHARE * rate_per_s * (now_s - refilled_s))
        self._buckets[(target, incarnation)] = (tokens, now_s)
        return tokens
