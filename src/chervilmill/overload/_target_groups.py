"""Keep the usable targets of each service by region, for all requests until a target changes."""

from collections.abc import Mapping
from dataclasses import dataclass

from chervilmill.overload._target_record import TargetRecord
from chervilmill.routing import SiteView, Target


@dataclass(frozen=True, slots=True)
class RegionTargets:
    """The usable targets of a service in one region; `name` is the same for all requests there."""

    name: str
    targets: tuple[Target, ...]
    records: tuple[TargetRecord, ...]
    by_name: Mapping[str, TargetRecord]
    slots: float


class TargetGroups:
    """The usable targets of each service by region.

    Targets of a failure domain without a region are in the region with the empty name.
    """

    __slots__ = ("_by_service", "_records", "_regions", "version")

    def __init__(self, regions: Mapping[str, str], records: Mapping[str, TargetRecord]) -> None:
        self.version = 0  # changes with each change of any group
        self._regions = regions
        self._records = records
        self._by_service: dict[str, dict[str, RegionTargets]] = {}

    def forget(self, service: str) -> None:
        """Drop the groups of a service, whose targets have changed."""
        self.version += 1
        self._by_service.pop(service, None)

    def forget_all(self) -> None:
        """Drop all groups, because a failure domain became usable or unusable."""
        self.version += 1
        self._by_service.clear()

    def by_region(self, service: str, view: SiteView) -> Mapping[str, RegionTargets]:
        """Return the groups of a service."""
        found = self._by_service.get(service)
        if found is None:
            found = self._collect(service, view)
            self._by_service[service] = found
        return found

    def _collect(self, service: str, view: SiteView) -> dict[str, RegionTargets]:
        targets: dict[str, list[Target]] = {}
        for target in view.usable_targets(service):
            targets.setdefault(self._regions.get(target.failure_domain, ""), []).append(target)
        return {region: self._group(service, region, found) for region, found in targets.items()}

    def _group(self, service: str, region: str, targets: list[Target]) -> RegionTargets:
        by_name = {target.name: self._records[target.name] for target in targets}
        slots = sum(target.slots for target in targets)
        records = tuple(by_name.values())
        return RegionTargets(f"{service}/{region}", tuple(targets), records, by_name, slots)
