"""Share a region's requests among the regions by capacity, steadily.

Load patterns: a region with few targets for its callers; a wave that moves between regions. Shares
follow the slots, not the load of the moment, so that they are the same on every entry VM, objects
stay where they are held, and no share moves faster than the cap on shifts between regions.
"""

from collections.abc import Mapping

HOME_HEADROOM = 1.0  # how much fuller than the site a region may be with its own callers
MAX_STEP_PER_S = 0.04  # of a region's requests; two seconds of it stay well under the shift cap


def home_shares(
    region: str, demand: Mapping[str, float], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of a region's requests that each region is to run.

    `demand` and `capacity` are relative figures by region. What a region cannot run at home goes to
    the others in proportion to the room that their own callers leave.
    """
    total = sum(capacity.values())
    if total <= 0:
        return {}
    asked = sum(demand.values()) or 1.0
    wanted = {name: demand.get(name, 0.0) / asked for name in capacity}
    can = {name: value / total for name, value in capacity.items()}
    kept = {name: min(wanted[name], can[name] * HOME_HEADROOM) for name in can}
    own = wanted.get(region, 0.0)
    if own <= 0:
        return {name: share for name, share in can.items() if share > 0}
    room = {name: max(0.0, can[name] - kept[name]) for name in can if name != region}
    away = own - kept.get(region, 0.0)
    shares = {region: kept.get(region, 0.0) / own}
    all_room = sum(room.values())
    if away > 0 and all_room > 0:
        shares |= {name: away / own * part / all_room for name, part in room.items()}
    else:
        shares = {region: 1.0} if kept.get(region, 0.0) > 0 else dict(can)
    return {name: share for name, share in shares.items() if share > 0}


class RegionShares:
    """Hold the shares in use for one service and move them towards those wanted."""

    __slots__ = ("_at_s", "_shares")

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._at_s = 0.0

    def move(self, wanted: Mapping[str, float], now_s: float) -> dict[str, float]:
        """Return the shares to use now.

        A region that can run nothing any more loses its share at once; all else moves slowly.
        """
        usable = {name: share for name, share in self._shares.items() if name in wanted}
        held = sum(usable.values())
        step = MAX_STEP_PER_S * max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if held <= 0:
            self._shares = dict(wanted)
            return self._shares
        names = sorted(wanted)
        present = {name: usable.get(name, 0.0) / held for name in names}
        gap = sum(abs(wanted[name] - present[name]) for name in names) / 2
        part = 1.0 if gap <= step else step / gap
        self._shares = {
            name: present[name] + part * (wanted[name] - present[name]) for name in names
        }
        return self._shares


def region_of_key(shares: Mapping[str, float], position: float) -> str | None:
    """Return the region in whose share a position from 0 to 1 falls."""
    total = sum(shares.values())
    reached = 0.0
    last: str | None = None
    for name in sorted(shares):
        last = name
        reached += shares[name] / total
        if position < reached:
            return name
    return last
