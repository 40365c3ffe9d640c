"""Divide the allowance of an organisation among its owners, leases and reserves.

Every token is counted in advance. The owners of an organisation, the same in every view of the
registered VMs, have fixed shares of its rate and burst, so that two halves of a fleet that cannot
reach each other need no agreement. What a lease may be late, what owners save beyond the burst,
and what VMs may use without any owner are parts of the overshoot and the slack.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import chain
from typing import Protocol

from chervilmill.routing import unit_hash

# Tokens are used up to a lease after their grant. What this adds to a window is this share of the
# overshoot and of the slack; the latter lets VMs ask for a second's tokens of small organisations.
LEASE_OVERSHOOT_SHARE = 0.6
LEASE_SLACK_SHARE = 0.25
MAX_LEASE_S = 2.0
# The rest of overshoot and slack. The tenth that is left over covers views that differ.
SAVED_SHARE = 0.5  # owners save it beyond the burst, as small organisations send unevenly
RESERVE_SHARE = 0.4  # VMs use it while no owner answers
# Several owners keep the load of each one low, and in small fleets most VMs are owners themselves.
# Each saves this many tokens, as requests do not come to the owners evenly.
MIN_BURST_PER_OWNER = 3.0
MAX_OWNERS_PER_REGION = 4


class AllowedOrganisation(Protocol):
    """The part of an organisation that its allowance depends on; a rate of 0 is unlimited."""

    @property
    def name(self) -> str:
        """Return the name."""
        ...

    @property
    def rate_per_s(self) -> float:
        """Return the rate over all VMs."""
        ...

    @property
    def burst(self) -> float:
        """Return the burst over all VMs."""
        ...


@dataclass(frozen=True, slots=True)
class AllowanceBounds:
    """In any `window_s`, targets run at most (rate x window + burst) x (1 + overshoot) + slack."""

    window_s: float
    overshoot: float
    slack: float

    def most_in_window(self, rate_per_s: float, burst: float) -> float:
        """Return how many requests targets may run in a window."""
        return (rate_per_s * self.window_s + burst) * (1 + self.overshoot) + self.slack

    def lease_s(self, rate_per_s: float) -> float:
        """Return for how long a token may be used, from when it was asked for."""
        of_overshoot_s = LEASE_OVERSHOOT_SHARE * self.overshoot * self.window_s
        return min(MAX_LEASE_S, of_overshoot_s + LEASE_SLACK_SHARE * self.slack / rate_per_s)

    def spare(self, rate_per_s: float, burst: float) -> float:
        """Return the part of overshoot and slack that leases do not use."""
        extra = (rate_per_s * self.window_s + burst) * self.overshoot + self.slack
        return max(0.0, extra - rate_per_s * self.lease_s(rate_per_s))


@dataclass(frozen=True, slots=True)
class OwnerShare:
    """The rate and burst of one owner."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class AllowancePlan:
    """The owners of an organisation by region, the share of each of this VM's region, its reserve.

    `reserve` is the number of requests that this VM may admit in a window without an owner.
    `count` is the number of owners in a region with enough VMs.
    """

    owners_by_region: Mapping[str, tuple[str, ...]]
    share: OwnerShare
    reserve: int
    count: int

    @property
    def owners(self) -> tuple[str, ...]:
        """Return the owners of all regions."""
        return tuple(vm for owners in self.owners_by_region.values() for vm in owners)


def plan_allowance(
    organisation: AllowedOrganisation,
    vms_by_region: Mapping[str, Sequence[str]],
    bounds: AllowanceBounds,
    own_name: str,
    own_region: str,
) -> AllowancePlan:
    """Return the plan for an organisation; `vms_by_region` are all registered VMs.

    All configured regions are in it. The share of a region without VMs is not used, as the store
    may have dropped VMs that still run and are cut off from it.
    """
    rate_per_s, burst = organisation.rate_per_s, organisation.burst
    regions = max(1, len(vms_by_region))
    spare = bounds.spare(rate_per_s, burst)
    saved = burst + SAVED_SHARE * spare
    count = min(MAX_OWNERS_PER_REGION, max(1, int(saved / regions / MIN_BURST_PER_OWNER)))
    owners = {
        region: choose_owners(organisation.name, names, count)
        for region, names in vms_by_region.items()
    }
    parts = regions * max(1, len(owners.get(own_region, ())))
    share = OwnerShare(rate_per_s / parts, saved / parts)
    reserve = _reserve(organisation.name, vms_by_region, int(RESERVE_SHARE * spare), own_name)
    return AllowancePlan(owners, share, reserve, count)


def _reserve(
    organisation: str, vms_by_region: Mapping[str, Sequence[str]], total: int, own_name: str
) -> int:
    """Return this VM's part of a total; where it does not suffice for all, some VMs have one.

    Those are next to each other in the order of the list, from a place that the organisation names.
    """
    names = list(chain.from_iterable(vms_by_region.values()))
    if own_name not in names:
        return 0
    each, rest = divmod(total, len(names))
    start = int(unit_hash(organisation, "reserve") * len(names))
    return each + ((names.index(own_name) - start) % len(names) < rest)


def choose_owners(organisation: str, vms: Sequence[str], count: int) -> tuple[str, ...]:
    """Return the owners of an organisation among the VMs of a region."""
    return tuple(sorted(vms, key=lambda vm: unit_hash(vm, organisation, "owner"))[:count])
