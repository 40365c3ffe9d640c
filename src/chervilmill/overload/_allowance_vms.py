"""Hold what one VM knows of the VMs that share allowances."""

import random
from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from chervilmill.overload._allowances import AllowancePlan

OWNERS_ASKED_IN_REGION = 2
OWNERS_ASKED_ELSEWHERE = 2


@dataclass(frozen=True, slots=True)
class AllowanceVms:
    """The VMs that may be owners by region, those that live, and those that can be asked now.

    `own_name` is in the list of `own_region` once it is registered. `reachable` are the VMs that
    are alive and know these messages. `longest_uptime_s` is the longest time for which another live
    VM of this region has run.
    """

    own_name: str
    own_region: str
    by_region: Mapping[str, Sequence[str]] = field(default_factory=dict)
    reachable: Collection[str] = frozenset()
    live: Collection[str] = frozenset()
    longest_uptime_s: float = float("inf")

    def is_reachable(self, vm: str) -> bool:
        """Return whether a VM can be asked."""
        return vm == self.own_name or vm in self.reachable

    @property
    def in_own_region(self) -> Sequence[str]:
        """Return the VMs of this VM's region that may be owners."""
        return self.by_region.get(self.own_region, ())

    @property
    def is_region_heard(self) -> bool:
        """Return whether all VMs of this region's list are alive, this VM among them."""
        names = self.in_own_region
        return self.own_name in names and all(
            name == self.own_name or name in self.live for name in names
        )

    @property
    def share_in_contact(self) -> float:
        """Return the share of its rate that this VM may grant as an owner.

        It is below 1 without contact to half of the region: this VM may then not know that others
        have become owners.
        """
        names = self.in_own_region
        live = sum(name == self.own_name or name in self.live for name in names)
        return 1.0 if 2 * live >= len(names) else live / len(names)

    def owners_to_ask(
        self, plan: AllowancePlan, skipped: Collection[str], rng: random.Random
    ) -> Iterator[tuple[str, bool]]:
        """Yield owners in the order to ask them, and whether each is of this VM's region.

        This VM comes first where it is an owner, and then the others of the region at random.
        """
        near = plan.owners_by_region.get(self.own_region, ())
        for is_near, count in ((True, OWNERS_ASKED_IN_REGION), (False, OWNERS_ASKED_ELSEWHERE)):
            owners = [
                vm
                for vm in (near if is_near else plan.owners)
                if (vm in near) == is_near and vm not in skipped and self.is_reachable(vm)
            ]
            rng.shuffle(owners)
            if self.own_name in owners:
                owners.remove(self.own_name)
                owners.insert(0, self.own_name)
            for vm in owners[:count]:
                yield vm, is_near
