"""Tell how much room a service has left, now and once places are lost."""

from collections.abc import Iterator
from dataclasses import dataclass

from chervilmill.coordination import ConfigurationSnapshot
from chervilmill.settings import Service
from chervilmill.steering._loads import KBIT_PER_MBIT, flows, link_loads
from chervilmill.steering._loss import FULL, LossOutcome, after_loss
from chervilmill.steering._model import SteeringWorld, states
from chervilmill.steering._topology import Array, Topology

LEAST = -1.0


@dataclass(frozen=True, slots=True)
class Headroom:
    """Give unused parts of capacity, where 1 is idle, 0 is full and less is overloaded, down
    to -1 for twice the capacity and more.

    `by_place` is by failure domain, without those that have neither targets nor load. The other
    two are those of the fullest place after the worst loss, and 0 where requests would be refused.
    """

    by_place: dict[str, float]
    after_domain_loss: float
    after_region_loss: float


def headroom(world: SteeringWorld, snapshot: ConfigurationSnapshot, service: Service) -> Headroom:
    """Return the headroom under the steering in force, the planned demand and the live targets."""
    topology = world.topology(service)
    present = states(snapshot).get(service.name)
    shares = world.map_in_force(None if present is None else present.state)
    region_flows = flows(topology, shares, world.demand(service))
    loads: Array = region_flows.sum(axis=0)
    slack = topology.link_limits() - link_loads(topology, region_flows, service.kbit_per_request)
    slack *= KBIT_PER_MBIT / service.kbit_per_request
    return Headroom(
        by_place=dict(_unused_parts(topology, loads)),
        after_domain_loss=_worst(_losses(topology, loads, slack, topology.domains)),
        after_region_loss=_worst(_losses(topology, loads, slack, topology.regions)),
    )


def _unused_parts(topology: Topology, loads: Array) -> Iterator[tuple[str, float]]:
    for name, load, capacity in zip(topology.names, loads, topology.capacities(), strict=True):
        if capacity > 0:
            yield name, max(LEAST, float(FULL - load / capacity))
        elif load > 0:
            yield name, LEAST


def _losses(
    topology: Topology, loads: Array, slack: Array, names: tuple[str, ...]
) -> Iterator[LossOutcome]:
    for name in names:
        places = topology.places_within(name)
        if loads[list(places)].sum() > 0:
            yield after_loss(topology, loads, slack, name, places)


def _worst(outcomes: Iterator[LossOutcome]) -> float:
    return min((outcome.headroom for outcome in outcomes), default=FULL)
