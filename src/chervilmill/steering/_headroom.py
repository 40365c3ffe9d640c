"""Compute the unused capacity of a service, now and after a loss of places."""

from collections.abc import Iterator
from dataclasses import dataclass

from chervilmill.coordination import ConfigurationSnapshot
from chervilmill.settings import Service
from chervilmill.steering._loads import KBIT_PER_MBIT, link_loads, loads_by_region_and_place
from chervilmill.steering._model import SteeringModel, steering_states
from chervilmill.steering._place_loss import FULL, LossOutcome, after_loss
from chervilmill.steering._topology import Array, Topology

MIN_UNUSED_SHARE = -1.0


@dataclass(frozen=True, slots=True)
class Headroom:
    """Unused shares of capacity: 1 is idle, 0 is full and a negative value is overloaded.

    The lowest value is -1, for a load of twice the capacity or more. `by_place` is by failure
    domain and leaves out failure domains that have neither targets nor load. The other two fields
    are the unused share of the place with the highest utilisation, after the worst loss of a
    failure domain or of a region. They are 0 if requests would be refused after that loss.
    """

    by_place: dict[str, float]
    after_domain_loss: float
    after_region_loss: float


def headroom(model: SteeringModel, snapshot: ConfigurationSnapshot, service: Service) -> Headroom:
    """Return the headroom under the steering in force, with planned demand and live targets."""
    topology = model.topology(service)
    present = steering_states(snapshot).get(service.name)
    shares = model.current_map(None if present is None else present.state)
    loads_by_region = loads_by_region_and_place(topology, shares, model.demand(service))
    loads: Array = loads_by_region.sum(axis=0)
    slack = topology.link_limits() - link_loads(topology, loads_by_region, service.kbit_per_request)
    slack *= KBIT_PER_MBIT / service.kbit_per_request
    return Headroom(
        by_place=dict(_unused_shares(topology, loads)),
        after_domain_loss=_worst_headroom(_losses(topology, loads, slack, topology.domains)),
        after_region_loss=_worst_headroom(_losses(topology, loads, slack, topology.regions)),
    )


def _unused_shares(topology: Topology, loads: Array) -> Iterator[tuple[str, float]]:
    for name, load, capacity in zip(
        topology.place_names, loads, topology.capacities(), strict=True
    ):
        if capacity > 0:
            yield name, max(MIN_UNUSED_SHARE, float(FULL - load / capacity))
        elif load > 0:
            yield name, MIN_UNUSED_SHARE


def _losses(
    topology: Topology, loads: Array, slack: Array, names: tuple[str, ...]
) -> Iterator[LossOutcome]:
    for name in names:
        places = topology.places_within(name)
        if loads[list(places)].sum() > 0:
            yield after_loss(topology, loads, slack, name, places)


def _worst_headroom(outcomes: Iterator[LossOutcome]) -> float:
    return min((outcome.headroom for outcome in outcomes), default=FULL)
