"""Evaluate how the loss of places would change the load of the remaining places."""

from dataclasses import dataclass

import numpy as np

from chervilmill.steering._topology import Array, Topology

BISECTION_STEPS = 40
FULL = 1.0


@dataclass(frozen=True, slots=True)
class LossOutcome:
    """The state after a loss, with the lost load moved to the remaining places.

    `utilisation` is the highest utilisation of any place or region, at most 1. `refused` is the
    load in requests a second that exceeds the capacity of the remaining places and links.
    """

    lost: str
    utilisation: float
    refused: float

    @property
    def headroom(self) -> float:
        """Return the unused share of the place with the highest utilisation."""
        return FULL - self.utilisation


def after_loss(
    topology: Topology, loads: Array, link_slack: Array, lost: str, places: tuple[int, ...]
) -> LossOutcome:
    """Return the state after the loss of some places of one region.

    `loads` is by place and `link_slack` is by source and sink region, both in requests a second.
    The load goes to the other places of the region first. The rest goes to other regions, limited
    by the slack of the links and by the free capacity of the places there.
    """
    is_lost = np.zeros(len(topology.places), bool)
    is_lost[list(places)] = True
    capacities = np.where(is_lost, 0.0, topology.capacities())
    affected_region = int(topology.region_of_place[places[0]])
    region_loads = topology.by_region(loads)
    region_capacities = topology.by_region(capacities)
    is_loaded = ~is_lost & (loads > 0)
    floor = _max_utilisation(loads[is_loaded], capacities[is_loaded])
    others = np.arange(len(topology.regions)) != affected_region
    region_state = _RegionLoads(
        region_loads, region_capacities, link_slack[affected_region], affected_region, others
    )
    if region_state.excess(FULL) > 0:
        return LossOutcome(lost, FULL, region_state.excess(FULL))
    low, high = min(floor, FULL), FULL
    if region_state.excess(low) <= 0:
        return LossOutcome(lost, low, 0.0)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if region_state.excess(middle) > 0:
            low = middle
        else:
            high = middle
    return LossOutcome(lost, high, 0.0)


@dataclass(frozen=True, slots=True)
class _RegionLoads:
    """The loads and capacities by region after a loss.

    `loads` includes the load of the lost places, and `capacities` leaves their capacity out.
    `link_slack` is what the links from the affected region to each region have left.
    """

    loads: Array
    capacities: Array
    link_slack: Array
    affected_region: int
    others: "np.typing.NDArray[np.bool_]"

    def excess(self, level: float) -> float:
        """Return the load that is left over when regions are filled up to a utilisation level."""
        overflow = self.loads[self.affected_region] - level * self.capacities[self.affected_region]
        if overflow <= 0:
            return 0.0
        free = np.maximum(level * self.capacities - self.loads, 0.0)
        reachable = np.minimum(free, np.maximum(self.link_slack, 0.0))[self.others]
        return max(0.0, float(overflow - reachable.sum()))


def _max_utilisation(loads: Array, capacities: Array) -> float:
    if not len(loads):
        return 0.0
    if np.any(capacities <= 0):
        return np.inf
    return float((loads / capacities).max())
