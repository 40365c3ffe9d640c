"""Decide when this entry VM may send to targets whose rate all entry VMs share.

Every send to such a target counts, whether it is a first one or a retry. Where no target has room,
the caller is told when to return.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from chervilmill.overload._admission import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from chervilmill.overload._shared_rate import (
    SharedRate,
    SharedRateLimiter,
    cold_rate,
    limited_rate,
)
from chervilmill.overload._target_limits import TargetLimits
from chervilmill.requests import Lifetime


@dataclass(frozen=True, slots=True)
class RatedTarget:
    """A lifetime of a target in a region; `cold_per_s` is its rate if it is cold, else None."""

    lifetime: Lifetime
    region: str
    cold_per_s: float | None = None


class TargetRates:
    """The limits of targets, and what this VM has sent to them.

    `vms_by_region` has the live entry VMs of each region. Those in the region of a target share its
    rate, or all of them if the region has none.
    """

    __slots__ = ("_limiter", "limits", "vms_by_region")

    def __init__(self, vm: str, region: str) -> None:
        self.limits = TargetLimits()
        self.vms_by_region: Mapping[str, Collection[str]] = {region: [vm]}
        self._limiter = SharedRateLimiter(vm)

    def room_in_s(self, target: RatedTarget, now_s: float) -> float:
        """Return the time until this VM may send to a target, or infinity if only others may."""
        rate = self._rate(target, now_s)
        if rate is None:
            return 0.0
        vms = self.vms_by_region.get(target.region) or self._all_vms()
        lifetime = target.lifetime
        return self._limiter.wait_s(lifetime.target, lifetime.incarnation, rate, vms, now_s)

    def count(self, lifetime: Lifetime, now_s: float) -> None:
        """Record a request that is sent to a target that is cold or names a limit."""
        self._limiter.count(lifetime.target, lifetime.incarnation, now_s)

    def forget(self, target: str) -> None:
        """Drop what was sent to a target that is gone."""
        self._limiter.forget(target)

    def retry_after_s(self, targets: Iterable[RatedTarget], now_s: float) -> float | None:
        """Return when a caller may return for whom these targets have no room.

        This is when this VM has room at a target with a shared rate. If only other VMs may send, it
        is the average time in which one request fits for each VM. Return None if no target has a
        shared rate.
        """
        total_per_s, room_in_s = 0.0, math.inf
        for target in targets:
            rate = self._rate(target, now_s)
            if rate is not None:
                total_per_s += rate.per_s
                room_in_s = min(room_in_s, self.room_in_s(target, now_s))
        if not total_per_s:
            return None
        if math.isinf(room_in_s):
            room_in_s = len(self._all_vms()) / total_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, room_in_s))

    def _rate(self, target: RatedTarget, now_s: float) -> SharedRate | None:
        """Return the rate that the entry VMs share at a target, or None if it is unlimited."""
        per_s = self.limits.per_s(target.lifetime, now_s)
        limited = limited_rate(per_s) if per_s is not None else None
        if target.cold_per_s is None:
            return limited
        cold = cold_rate(target.cold_per_s)
        return cold.strictest(limited) if limited is not None else cold

    def _all_vms(self) -> list[str]:
        return [name for names in self.vms_by_region.values() for name in names]
