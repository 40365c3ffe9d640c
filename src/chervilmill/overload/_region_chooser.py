"""Choose the region of a request by shares that are brought up to date at intervals."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from chervilmill.overload._region_shares import RegionShares, desired_region_shares, region_at

# The shares move by at most 4% a second, so that older ones are wrong by 0.2% at most.
UPDATE_INTERVAL_S = 0.05


@dataclass(slots=True)
class _SharesInUse:
    shares: RegionShares = field(default_factory=RegionShares)
    current: Mapping[str, float] = field(default_factory=dict)
    version: object = None
    updated_s: float = float("-inf")


class RegionChooser:
    """The shares into which the requests of this VM's region are divided, by service and homes."""

    __slots__ = ("_demand", "_in_use", "_region")

    def __init__(self, region: str, regions: Mapping[str, str]) -> None:
        self._region = region
        self._demand: dict[str, float] = {}
        for name in regions.values():
            self._demand[name] = self._demand.get(name, 0.0) + 1.0
        self._in_use: dict[tuple[str, frozenset[str]], _SharesInUse] = {}

    def choose(
        self,
        service: str,
        homes: frozenset[str],
        position: float,
        capacity: Callable[[], Mapping[str, float]],
        version: object,
        now_s: float,
    ) -> str | None:
        """Return the region whose share contains a position, or None without capacity.

        `version` changes whenever the usable targets change. The shares then change at once.
        """
        in_use = self._in_use.setdefault((service, homes), _SharesInUse())
        is_due = not 0.0 <= now_s - in_use.updated_s < UPDATE_INTERVAL_S
        if is_due or in_use.version != version:
            in_use.version, in_use.updated_s = version, now_s
            slots = capacity()
            in_use.current = {}
            if slots:
                desired = desired_region_shares(self._region, self._demand, slots)
                in_use.current = in_use.shares.advance(desired, now_s)
        return region_at(in_use.current, position) if in_use.current else None
