"""Divide a region's requests among the regions by capacity.

Load pattern: a region with too few targets for its callers. Load pattern: a wave that moves between
regions. Shares follow the number of slots and not the current load. They are therefore the same on
every entry VM, objects stay on the targets that hold them, and no share moves faster than the cap
on shifts between regions.
"""

from collections.abc import Mapping

MAX_HOME_LOAD_RATIO = 1.0  # of a region's load by its own callers to the load of the site
MAX_STEP_PER_S = 0.04  # of a region's requests; two seconds of steps stay well below the shift cap


def desired_region_shares(
    region: str, demand: Mapping[str, float], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of a region's requests that each region with capacity should run.

    A share of 0 is part of the result, so that a region which is no longer needed is left
    gradually. `demand` and `capacity` are relative figures by region. What a region cannot run at
    home goes to the other regions in proportion to the capacity that their own callers leave.
    """
    total = sum(capacity.values())
    if total <= 0:
        return {}
    total_demand = sum(demand.values()) or 1.0
    demand_share = {name: demand.get(name, 0.0) / total_demand for name in capacity}
    capacity_share = {name: value / total for name, value in capacity.items()}
    run_at_home = {
        name: min(demand_share[name], capacity_share[name] * MAX_HOME_LOAD_RATIO)
        for name in capacity_share
    }
    own_demand = demand_share.get(region, 0.0)
    if own_demand <= 0:
        return {name: share for name, share in capacity_share.items() if share > 0}
    usable = [name for name, share in capacity_share.items() if share > 0]
    spare = {
        name: max(0.0, capacity_share[name] - run_at_home[name])
        for name in capacity_share
        if name != region
    }
    excess = own_demand - run_at_home.get(region, 0.0)
    shares = {region: run_at_home.get(region, 0.0) / own_demand}
    total_spare = sum(spare.values())
    if excess > 0 and total_spare > 0:
        shares |= {
            name: excess / own_demand * unused / total_spare for name, unused in spare.items()
        }
    else:
        shares = {region: 1.0} if run_at_home.get(region, 0.0) > 0 else dict(capacity_share)
    return {name: shares.get(name, 0.0) for name in usable}


class RegionShares:
    """The shares in use for one service, which move gradually to the desired ones."""

    __slots__ = ("_advanced_s", "_shares")

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._advanced_s = 0.0

    def advance(self, desired: Mapping[str, float], now_s: float) -> dict[str, float]:
        """Return the shares to use now.

        A region that can no longer run requests loses its share at once. All other changes are
        gradual.
        """
        present_shares = {name: share for name, share in self._shares.items() if name in desired}
        present_total = sum(present_shares.values())
        step = MAX_STEP_PER_S * max(0.0, now_s - self._advanced_s)
        self._advanced_s = now_s
        if present_total <= 0:
            self._shares = dict(desired)
            return self._shares
        names = sorted(desired)
        present = {name: present_shares.get(name, 0.0) / present_total for name in names}
        distance = sum(abs(desired[name] - present[name]) for name in names) / 2
        fraction = 1.0 if distance <= step else step / distance
        self._shares = {
            name: present[name] + fraction * (desired[name] - present[name]) for name in names
        }
        return self._shares


def region_at(shares: Mapping[str, float], position: float) -> str | None:
    """Return the region whose share contains a position from 0 to 1."""
    total = sum(shares.values())
    reached = 0.0
    last: str | None = None
    for name in sorted(shares):
        if shares[name] <= 0:
            continue
        last = name
        reached += shares[name] / total
        if position < reached:
            return name
    return last
