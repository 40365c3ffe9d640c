"""Project the loads, the effects of losses and the cold starts during a shift."""

import numpy as np

from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._loads import KBIT_PER_MBIT, link_loads, loads_by_region_and_place
from chervilmill.steering._place_loss import after_loss
from chervilmill.steering._plan import LinkLoad, Loss, PlaceLoad, PlanStep
from chervilmill.steering._plan_input import PlanInput
from chervilmill.steering._priorities import LinkConcession
from chervilmill.steering._shares import ShareMap
from chervilmill.steering._steps import STEP_INTERVAL_S, ShiftStep
from chervilmill.steering._topology import Array

DECIMALS = 3
MS_PER_S = 1000


class Projection:
    """The projected state at each fraction of a shift.

    Loads are assumed to change in proportion to the fraction.
    """

    def __init__(
        self,
        plan_input: PlanInput,
        goal: ShareMap,
        served_demand: Array,
        concessions: tuple[LinkConcession, ...] = (),
    ) -> None:
        """Set up the projection of a shift from the present map to `goal`.

        `served_demand` is the demand that is served, by home place. Entry VMs refuse the rest.
        `concessions` is the link load that services of lower priority give up.
        """
        self._other_link_mbit = plan_input.other_link_mbit
        regions = plan_input.topology.regions
        for item in concessions:
            pair = regions.index(item.source), regions.index(item.sink)
            self._other_link_mbit[pair] -= item.refused_mbit_per_s
        base = plan_input.base
        self._plan_input = plan_input
        self._served_demand = served_demand
        self._base_loads = loads_by_region_and_place(plan_input.topology, base, served_demand)
        self._goal_loads = loads_by_region_and_place(plan_input.topology, goal, served_demand)
        self._load_gains = np.maximum(
            self._goal_loads.sum(axis=0) - self._base_loads.sum(axis=0), 0.0
        )
        self._moving_requests_per_s = self._sum_moving_requests(base, goal)

    def loads(self, fraction: int) -> Array:
        """Return the load of each place in requests a second."""
        total: Array = self._loads_by_region_and_place(fraction).sum(axis=0)
        return total

    def links(self, fraction: int) -> Array:
        """Return the load of all services on each link in Mbit/s, by source and sink region."""
        own = link_loads(
            self._plan_input.topology,
            self._loads_by_region_and_place(fraction),
            self._plan_input.service.kbit_per_request,
        )
        return own + self._other_link_mbit

    def step(self, number: int, step: ShiftStep) -> PlanStep:
        """Return the state after a step; number 0 is the state before the first step."""
        share = step.fraction / HASH_SPAN
        connections = self._connections(share)
        service = self._plan_input.service
        return PlanStep(
            after_s=number * STEP_INTERVAL_S,
            blocks_moved=step.blocks,
            requests_per_s_moved=_rounded(self._moving_requests_per_s * share),
            cold_connections=connections,
            cold_start_s=_rounded(connections * service.connect_cost_ms / MS_PER_S),
            places=self._place_loads(step.fraction),
            links=self._link_loads(step.fraction),
            domain_losses=self._losses(step.fraction, self._plan_input.topology.domains),
            region_losses=self._losses(step.fraction, self._plan_input.topology.regions),
        )

    def _loads_by_region_and_place(self, fraction: int) -> Array:
        return self._base_loads + (self._goal_loads - self._base_loads) * (fraction / HASH_SPAN)

    def _sum_moving_requests(self, base: ShareMap, goal: ShareMap) -> float:
        places = len(self._plan_input.topology.places)
        difference = np.abs(goal.shares(places) - base.shares(places)).sum(axis=1) / 2
        return float((difference * self._served_demand).sum())

    def _connections(self, share: float) -> int:
        """Return the number of new connections that targets have to accept."""
        service = self._plan_input.service
        per_target = service.slots_per_target * service.requests_per_slot_per_s
        targets = float(self._load_gains.sum()) * share / per_target
        return round(targets * service.connections_per_target)

    def _place_loads(self, fraction: int) -> tuple[PlaceLoad, ...]:
        loads = self.loads(fraction)
        return tuple(
            PlaceLoad(place.name, _rounded(load), _rounded(place.requests_per_s))
            for place, load in zip(self._plan_input.topology.places, loads, strict=True)
        )

    def _link_loads(self, fraction: int) -> tuple[LinkLoad, ...]:
        regions = self._plan_input.topology.regions
        loads = self.links(fraction)
        return tuple(
            LinkLoad(
                link.source,
                link.sink,
                _rounded(loads[regions.index(link.source), regions.index(link.sink)]),
                link.mbit_per_s,
            )
            for link in self._plan_input.topology.links
        )

    def _losses(self, fraction: int, names: tuple[str, ...]) -> tuple[Loss, ...]:
        topology = self._plan_input.topology
        loads = self.loads(fraction)
        slack = topology.link_limits() - self.links(fraction)
        slack *= KBIT_PER_MBIT / self._plan_input.service.kbit_per_request
        outcomes = (
            after_loss(topology, loads, slack, name, topology.places_within(name)) for name in names
        )
        return tuple(
            Loss(item.lost, _rounded(item.utilisation), _rounded(item.refused)) for item in outcomes
        )


def _rounded(value: float) -> float:
    return round(float(value), DECIMALS) + 0.0
