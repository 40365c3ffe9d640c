"""Track the share of each cap that a holder was granted and may use."""

from collections.abc import Mapping
from types import MappingProxyType

from chervilmill.nodes._messages import Grant, ShareDemand, ShareRequest

Units = Mapping[str, int]

NO_UNITS: Units = MappingProxyType({})


class ShareHolder:
    """The newest grant of a holder, valid until it expires by this node's monotonic clock."""

    def __init__(self) -> None:
        self._granted: Units = NO_UNITS
        self._expires_s = float("-inf")
        self._epoch = 0
        self._number = 0
        self._last_request_s = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of the newest grant."""
        return self._epoch

    def units(self, resource: str, now: float) -> int:
        """Return how many units of a cap may be used in addition to the floor."""
        return self._granted.get(resource, 0) if now < self._expires_s else 0

    def all_units(self, now: float) -> Units:
        """Return how many units of each cap may be used in addition to the floors."""
        return self._granted if now < self._expires_s else NO_UNITS

    def remaining_s(self, now: float) -> float:
        """Return the remaining lifetime of the current grant."""
        return max(0.0, self._expires_s - now)

    def request(self, wanted: Units, in_use: Units, now: float) -> ShareRequest:
        """Return the next request; `in_use` is what the holders below this one may still use."""
        self._number += 1
        self._last_request_s = now
        self._return_unwanted(wanted, in_use)
        granted = self.all_units(now)
        names = sorted({*wanted, *in_use, *granted})
        demands = tuple(
            ShareDemand(name, wanted.get(name, 0), max(granted.get(name, 0), in_use.get(name, 0)))
            for name in names
        )
        return ShareRequest(self._number, demands)

    def _return_unwanted(self, wanted: Units, in_use: Units) -> None:
        """Stop using units that are neither wanted nor in use."""
        self._granted = {
            name: min(units, max(wanted.get(name, 0), in_use.get(name, 0)))
            for name, units in self._granted.items()
        }

    def receive(self, grant: Grant, now: float) -> bool:
        """Use a grant if it answers the last request and is valid; return whether it is used."""
        if grant.number != self._number or grant.epoch < self._epoch:
            return False
        expires_s = self._last_request_s + grant.lifetime_ms / 1000
        if now >= expires_s:
            return False
        self._epoch = grant.epoch
        self._expires_s = expires_s
        self._granted = {item.resource: item.units for item in grant.granted}
        return True
