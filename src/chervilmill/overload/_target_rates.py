"""Decide when this entry VM may send to targets that limit their rate or asked for a pause.

The rate of a target is shared by all entry VMs, and a pause is this VM's own. Every send counts,
whether it is a first one or a retry. Where no target has room, the caller is told when to return.
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
from chervilmill.overload._target_pauses import TargetPauses
from chervilmill.requests import Lifetime


@dataclass(frozen=True, slots=True)
class RatedTarget:
    """A lifetime of a target in a region; `cold_per_s` is its rate if it is cold, else None."""

    lifetime: Lifetime
    region: str
    cold_per_s: float | None = None


class TargetRates:
    """The limits and the pauses of targets, and what this VM has sent to them.

    `vms_by_region` has the live entry VMs of each region. Those in the region of a target share its
    rate, or all of them if the region has none.
    """

    __slots__ = ("_limiter", "limits", "pauses", "vms_by_region")

    def __init__(self, vm: str, region: str) -> None:
        self.limits = TargetLimits()
        self.pauses = TargetPauses()
        self.vms_by_region: Mapping[str, Collection[str]] = {region: [vm]}
        self._limiter = SharedRateLimiter(vm)

    @property
    def is_unlimited(self) -> bool:
        """Return whether no target names a limit or has asked for a pause."""
        return self.limits.is_empty and self.pauses.is_empty

    def room_in_s(self, target: RatedTarget, now_s: float) -> float:
        """Return the time until this VM may send to a target, or infinity if only others may."""
        pause_s = self.pauses.left_s(target.lifetime, now_s)
        rate = self._rate(target, now_s)
        if rate is None:
            return pause_s
        vms = self.vms_by_region.get(target.region) or self._all_vms()
        lifetime = target.lifetime
        wait_s = self._limiter.wait_s(lifetime.target, lifetime.incarnation, rate, vms, now_s)
        return max(pause_s, wait_s)

    def count(self, lifetime: Lifetime, now_s: float) -> None:
        """Record a request that is sent to a target that is cold or names a limit."""
        self._limiter.count(lifetime.target, lifetime.incarnation, now_s)

    def forget(self, target: str) -> None:
        """Drop what was sent to a target that is gone, and its pauses."""
        self._limiter.forget(target)
        self.pauses.forget(target)

    def retry_after_s(self, targets: Iterable[RatedTarget], now_s: float) -> float | None:
        """Return when a caller may return for whom these targets have no room.

        This is when this VM has room at a target with a shared rate, or when the first pause ends.
        If only other VMs may send, it is the average time in which one request fits for each VM.
        Return None if no target has a shared rate or a pause.
        """
        total_per_s, room_in_s, pause_s = 0.0, math.inf, math.inf
        for target in targets:
            rate = self._rate(target, now_s)
            paused_s = self.pauses.left_s(target.lifetime, now_s)
            if paused_s > 0:
                pause_s = min(pause_s, paused_s)
            elif rate is not None:
                total_per_s += rate.per_s
                room_in_s = min(room_in_s, self.room_in_s(target, now_s))
        if not total_per_s:
            return None if math.isinf(pause_s) else max(MIN_RETRY_AFTER_S, pause_s)
        if math.isinf(room_in_s):
            room_in_s = len(self._all_vms()) / total_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, min(room_in_s, pause_s)))

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
