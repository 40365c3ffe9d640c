"""Decide which registered VMs may be owners of allowances.

The store lists VMs that are long gone, and what they would own were never granted. A VM that has
said that it takes no callers is no owner. One that is silent stays an owner, as it may run without
contact to this VM, unless few of its region are silent: they then own little, and grant in
proportion to those that they reach.
"""

from collections.abc import Collection, Mapping

# Silent for this long beyond the time in which VMs are known to be dead, so that short cuts change
# no owner.
GONE_AFTER_S = 5.0
MAX_GONE_SHARE = 0.2  # of the VMs of a region, dropped at one time

VmsByRegion = Mapping[str, tuple[str, ...]]


class ListedVms:
    """The registered VMs of each region without those that are gone."""

    __slots__ = ("_dropped", "_silent_from_s")

    def __init__(self) -> None:
        self._silent_from_s: dict[str, float] = {}
        self._dropped: set[str] = set()

    def update(
        self,
        registered: VmsByRegion,
        live: Collection[str],
        left: Collection[str],
        now_s: float,
    ) -> VmsByRegion:
        """Return the VMs that may be owners; `left` have said that they take no callers."""
        names = {name for in_region in registered.values() for name in in_region}
        silent = names.difference(live, left)
        self._silent_from_s = {name: self._silent_from_s.get(name, now_s) for name in silent}
        self._dropped &= silent
        listed = {}
        for region, in_region in registered.items():
            counted = [name for name in in_region if name not in left]
            self._drop_gone([name for name in counted if name not in self._dropped], now_s)
            listed[region] = tuple(name for name in counted if name not in self._dropped)
        return listed

    def _drop_gone(self, names: Collection[str], now_s: float) -> None:
        silent = [name for name in names if name in self._silent_from_s]
        gone = [name for name in silent if now_s - self._silent_from_s[name] >= GONE_AFTER_S]
        has_contact = 2 * (len(names) - len(silent)) > len(names)
        if has_contact and len(silent) <= max(1.0, MAX_GONE_SHARE * len(names)):
            self._dropped.update(gone)
