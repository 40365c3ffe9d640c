"""Divide caps among holders so that the sum in use never exceeds a cap.

Granted units count as in use until their holder reports that they are released, or until the
grant has expired by the holder's clock. Only the other units can be granted again, so the share
of one holder can rise only after the share of another has fallen.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from chervilmill.nodes._messages import Grant, GrantedUnits, ShareRequest
from chervilmill.nodes._shares import Units

CLOCK_DRIFT_SHARE = 0.1  # by which a holder's clock may run slower than the divider's
HOLDER_RETENTION_S = 30.0
MIN_IMBALANCE_SHARE = 0.01  # of the pool


@dataclass(slots=True)
class _Allocation:
    """Units that a holder may use until a time on the divider's clock."""

    units: Units
    until_s: float


@dataclass(slots=True)
class _Holder:
    """The demand of a holder and the units that it may be using."""

    wanted: dict[str, int] = field(default_factory=dict)
    allocations: list[_Allocation] = field(default_factory=list)
    number: int = 0
    last_request_s: float = 0.0

    def most_in_use(self, resource: str) -> int:
        """Return the highest number of units of a cap that this holder may be using."""
        return max((item.units.get(resource, 0) for item in self.allocations), default=0)

    def shortfall(self, resource: str, level: int) -> int:
        """Return by how many units this holder is below its fair share of a cap."""
        return max(0, min(self.wanted.get(resource, 0), level) - self.most_in_use(resource))


class Divider:
    """Grants units from a pool to the holders that request them.

    A holder is one process. A restarted process must use a new name, because the grants of the
    previous process still count.
    """

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}

    def answer(
        self,
        name: str,
        request: ShareRequest,
        pool: Units,
        *,
        epoch: int,
        lifetime_s: float,
        now: float,
    ) -> Grant | None:
        """Return the grant that answers a request, or None if the request is outdated."""
        self._expire(now)
        holder = self._holders.setdefault(name, _Holder())
        if request.number <= holder.number:
            return None
        holder.number = request.number
        holder.last_request_s = now
        holder.wanted = {demand.resource: demand.wanted for demand in request.demands}
        until_s = now + lifetime_s * (1 + CLOCK_DRIFT_SHARE)
        self._acknowledge(holder, request, until_s)
        units = {name: self._fair_share(holder, name, size) for name, size in pool.items()}
        holder.allocations.append(_Allocation(units, until_s))
        granted = tuple(GrantedUnits(name, size) for name, size in sorted(units.items()) if size)
        return Grant(epoch, request.number, int(lifetime_s * 1000), granted)

    def in_use(self, now: float) -> dict[str, int]:
        """Return the highest number of units of each cap that all holders together may be using."""
        self._expire(now)
        total: dict[str, int] = {}
        for holder in self._holders.values():
            for resource in {name for item in holder.allocations for name in item.units}:
                total[resource] = total.get(resource, 0) + holder.most_in_use(resource)
        return total

    def unbalanced(self, pool: Units, now: float) -> list[str]:
        """Return the holders whose next request would change their share.

        If units are free, these are the holders below their fair share; otherwise, the holders
        above their fair share. A shortfall of at most 1% of the pool is left to the regular
        requests.
        """
        in_use = self.in_use(now)
        names: set[str] = set()
        for resource, size in pool.items():
            wants = [h.wanted.get(resource, 0) for h in self._holders.values()]
            level = _fair_level(wants, size)
            min_units = size * MIN_IMBALANCE_SHARE
            shortfall = {n: h.shortfall(resource, level) for n, h in self._holders.items()}
            if sum(shortfall.values()) <= min_units:
                continue
            if size - in_use.get(resource, 0) > min_units:
                names.update(n for n, units in shortfall.items() if units)
            else:
                names.update(n for n, h in self._holders.items() if h.most_in_use(resource) > level)
        return sorted(names)

    def wanted(self) -> dict[str, int]:
        """Return the units of each cap that all holders together want."""
        total: dict[str, int] = {}
        for holder in self._holders.values():
            for resource, units in holder.wanted.items():
                total[resource] = total.get(resource, 0) + units
        return total

    def _acknowledge(self, holder: _Holder, request: ShareRequest, until_s: float) -> None:
        held = {demand.resource: demand.held for demand in request.demands}
        holder.allocations = [_Allocation(held, until_s)]

    def _expire(self, now: float) -> None:
        for name, holder in list(self._holders.items()):
            holder.allocations = [item for item in holder.allocations if now < item.until_s]
            if not holder.allocations and now - holder.last_request_s > HOLDER_RETENTION_S:
                del self._holders[name]

    def _fair_share(self, holder: _Holder, resource: str, size: int) -> int:
        """Return a fair share, limited to the units that no other holder may be using."""
        others = sum(h.most_in_use(resource) for h in self._holders.values() if h is not holder)
        wants = [h.wanted.get(resource, 0) for h in self._holders.values()]
        target = min(holder.wanted.get(resource, 0), _fair_level(wants, size))
        return max(0, min(target, size - others))


def _fair_level(wants: list[int], size: int) -> int:
    """Return the limit per holder at which the demands, each cut at the limit, fill the pool."""
    remaining = size
    ordered = sorted(wants)
    for index, want in enumerate(ordered):
        level = remaining // (len(ordered) - index)
        if want >= level:
            return level
        remaining -= want
    return size


def floors(caps: Mapping[str, int], floor_percent: int, max_nodes: int) -> dict[str, int]:
    """Return the units of each cap that every node may always use."""
    return {name: size * floor_percent // 100 // max_nodes for name, size in caps.items()}


def pool_above_floors(
    caps: Mapping[str, int], floor_percent: int, max_nodes: int
) -> dict[str, int]:
    """Return the units of each cap that remain for grants."""
    floor_units = floors(caps, floor_percent, max_nodes)
    return {name: size - floor_units[name] * max_nodes for name, size in caps.items()}
