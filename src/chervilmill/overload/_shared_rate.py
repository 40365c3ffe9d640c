"""Limit the rate of requests to a target over all entry VMs together.

Load pattern: all targets of a failure domain are cold at once, or targets in need name limits. A
few entry VMs, the same in every VM's view, divide the rate of each such target among themselves.
All other entry VMs send nothing to the target, so the VMs need no message to agree, and what they
have saved together does not grow with the fleet.
"""

from collections.abc import Collection
from dataclasses import dataclass

from chervilmill.routing import unit_hash

COLD_SENDERS = 3  # entry VMs that may send to one cold target
USED_COLD_SHARE = 0.8  # of the rate, as VMs' views differ for a moment when VMs join or leave
BURST_REQUESTS = 1.0
# A target that names a limit must get at most LIMIT_OVERSHOOT times what the limit allows, and
# LIMIT_EXTRA_REQUESTS, in any LIMIT_WINDOW_S.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_EXTRA_REQUESTS = 5.0
# What senders have saved may use this share of the overshoot. The rest is for views that differ.
SAVED_OVERSHOOT_SHARE = 0.5
MIN_LIMIT_PER_S = 0.25  # also at a limit of 0, or nobody would notice that it has ended


@dataclass(frozen=True, slots=True)
class SharedRate:
    """A rate that all entry VMs together may use at a target, and how many of them share it."""

    per_s: float
    senders: int

    def strictest(self, other: "SharedRate") -> "SharedRate":
        """Return a rate that keeps both."""
        return SharedRate(min(self.per_s, other.per_s), min(self.senders, other.senders))


def cold_rate(per_s: float) -> SharedRate:
    """Return the rate for a cold target that takes `per_s` requests a second."""
    return SharedRate(USED_COLD_SHARE * per_s, COLD_SENDERS)


def limited_rate(per_s: float) -> SharedRate:
    """Return the rate for a target that names a limit of `per_s` requests a second."""
    overshoot = (LIMIT_OVERSHOOT - 1) * LIMIT_WINDOW_S * per_s + LIMIT_EXTRA_REQUESTS
    senders = max(1, int(SAVED_OVERSHOOT_SHARE * overshoot / BURST_REQUESTS))
    return SharedRate(max(MIN_LIMIT_PER_S, per_s), senders)


class SharedRateLimiter:
    """A token bucket of one entry VM for each lifetime of a target whose rate is limited."""

    __slots__ = ("_buckets", "_senders", "_vm")

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._buckets: dict[tuple[str, int], tuple[float, float]] = {}
        self._senders: dict[str, tuple[tuple[str, ...], int, Collection[str]]] = {}

    def wait_s(
        self, target: str, incarnation: int, rate: SharedRate, vms: Collection[str], now_s: float
    ) -> float:
        """Return the time until this VM may send a request, or infinity if it is no sender.

        `vms` are the entry VMs from which the senders to the target are chosen.
        """
        senders = self._senders_to(target, rate, vms)
        if self._vm not in senders or rate.per_s <= 0:
            return float("inf")
        own_per_s = rate.per_s / len(senders)
        tokens, refilled_s = self._buckets.get((target, incarnation), (BURST_REQUESTS, now_s))
        tokens = min(BURST_REQUESTS, tokens + own_per_s * (now_s - refilled_s))
        self._buckets[(target, incarnation)] = (tokens, now_s)
        return max(0.0, 1.0 - tokens) / own_per_s

    def count(self, target: str, incarnation: int, now_s: float) -> None:
        """Record a request that is sent to a target whose rate is limited."""
        tokens, refilled_s = self._buckets.get((target, incarnation), (BURST_REQUESTS, now_s))
        self._buckets[(target, incarnation)] = (tokens - 1.0, refilled_s)

    def _senders_to(self, target: str, rate: SharedRate, vms: Collection[str]) -> Collection[str]:
        """Return the senders to a target, chosen again only when the VMs or the rate change."""
        if len(vms) <= rate.senders:
            return vms
        names = tuple(vms)
        known = self._senders.get(target)
        if known is None or known[1] != rate.senders or known[0] != names:
            known = (names, rate.senders, _senders(target, rate, vms))
            self._senders[target] = known
        return known[2]

    def forget(self, target: str) -> None:
        """Drop the token buckets of a target that is gone."""
        self._senders.pop(target, None)
        for key in [key for key in self._buckets if key[0] == target]:
            del self._buckets[key]


def _senders(target: str, rate: SharedRate, vms: Collection[str]) -> Collection[str]:
    if len(vms) <= rate.senders:
        return vms
    return sorted(vms, key=lambda vm: unit_hash(vm, target, "sender"))[: rate.senders]
