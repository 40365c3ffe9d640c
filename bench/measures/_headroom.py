"""Compute the minimum headroom of each region and link after the loss of any failure domain.

The load of a region stays within the region up to the capacity of its remaining failure domains.
The excess goes to the other regions in proportion to their spare capacity.
"""

from collections.abc import Iterator

import numpy as np

from bench._rows import Figure
from bench.fleet import Shape
from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.settings import Service, check_settings
from chervilmill.steering import SteeringModel
from chervilmill.steering._topology import Array, Topology

CURRENT_TARGETS = 35
PERCENT = 100.0
KBIT_PER_MBIT = 1000.0


class _CurrentTargets:
    """The targets that a user has today, spread evenly over the failure domains."""

    def __init__(self, shape: Shape) -> None:
        self._shape = shape

    def targets(self, service: str) -> tuple[Vm, ...]:
        places = self._shape.places
        assigned = (places[number % len(places)] for number in range(CURRENT_TARGETS))
        return tuple(
            Vm(
                f"target-{number}",
                VmRole.TARGET,
                VmState.LIVE,
                service,
                place.region,
                place.failure_domain,
                Address("10.0.0.1", 1 + number),
            )
            for number, place in enumerate(assigned)
        )


def headroom_figures(shape: Shape) -> Iterator[Figure]:
    """Yield the minimum headroom of each region and of each direction of a link, in percent."""
    settings = check_settings(shape.settings())
    service = settings.service(shape.service)
    assert service is not None
    model = SteeringModel(settings, _CurrentTargets(shape))
    topology, demand = model.topology(service), model.demand(service)
    headrooms = [_after_loss(topology, demand, service, lost) for lost in topology.domains]
    prefix = f"headroom.{shape.name}"
    for index, region in enumerate(topology.regions):
        least = min(float(regions[index]) for regions, _ in headrooms)
        yield Figure(f"{prefix}.region_{region}", least, "%")
    for index, link in enumerate(topology.links):
        least = min(float(links[index]) for _, links in headrooms)
        yield Figure(f"{prefix}.link_{link.source}_to_{link.sink}", least, "%")


def _after_loss(
    topology: Topology, demand: Array, service: Service, lost: str
) -> tuple[Array, Array]:
    """Return the headroom in percent, by region and by link, after the loss of a failure domain."""
    capacities = topology.capacities()
    capacities[list(topology.places_within(lost))] = 0.0
    capacity, load = topology.by_region(capacities), topology.by_region(demand)
    excess = np.maximum(load - capacity, 0.0)
    spare = np.maximum(capacity - load, 0.0)
    moved = np.outer(excess, spare / max(float(spare.sum()), 1e-9))
    load_after = load - excess + moved.sum(axis=0)
    links_mbit = moved * service.kbit_per_request / KBIT_PER_MBIT
    utilisation = [
        links_mbit[topology.regions.index(link.source), topology.regions.index(link.sink)]
        / link.mbit_per_s
        for link in topology.links
    ]
    return PERCENT * (1.0 - load_after / capacity), PERCENT * (1.0 - np.array(utilisation))
