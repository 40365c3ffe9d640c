"""Build topologies, demands and plan inputs from settings, targets and configuration."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from ipaddress import ip_network
from typing import Protocol

import numpy as np

from chervilmill.coordination import (
    ConfigurationSnapshot,
    MalformedObjectError,
    StoredObject,
    Vm,
    decode_fenced,
)
from chervilmill.settings import Service, Settings
from chervilmill.steering._blocks import BlockTable, ClientNetwork, blocks_of_networks
from chervilmill.steering._confirm import PlannedIntent
from chervilmill.steering._confirmed import (
    CONFIRMED_NAME,
    ConfirmedPlan,
    confirmed_plan,
    confirmed_plans,
    yielding_plan,
)
from chervilmill.steering._inputs import OtherService, PlanInput
from chervilmill.steering._intents import DEFAULT_PRIORITY, StatedIntent, stated_intents
from chervilmill.steering._loads import flows, link_loads
from chervilmill.steering._planner import compute_plan
from chervilmill.steering._priorities import Yield
from chervilmill.steering._shares import ShareMap
from chervilmill.steering._state import (
    STEERING_PREFIX,
    MalformedStateError,
    ShiftState,
    decode_state,
)
from chervilmill.steering._topology import Array, DirectedLink, Place, Topology

PERCENT = 100
UNDECLARED_NETWORK = ip_network("0.0.0.0/0")
UNDECLARED_BLOCK_PREFIX = 12
KEPT_STATES = 32


class ServiceTargets(Protocol):
    """Know the targets of a service that take new work."""

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        ...


@dataclass(frozen=True, slots=True)
class StateInForce:
    """Hold the state of a service's shift with the version of its object."""

    state: ShiftState
    version: int


def states(snapshot: ConfigurationSnapshot) -> dict[str, StateInForce]:
    """Return the readable steering states of a configuration by service."""
    found: dict[str, StateInForce] = {}
    for stored in snapshot.under(STEERING_PREFIX):
        state = _state(stored)
        if state is not None:
            found[stored.name.removeprefix(STEERING_PREFIX)] = StateInForce(state, stored.version)
    return found


@lru_cache(maxsize=KEPT_STATES)
def _state(stored: StoredObject) -> ShiftState | None:
    try:
        body = decode_fenced(stored).body
        return decode_state(body) if body else None
    except (MalformedObjectError, MalformedStateError):
        return None


class SteeringWorld:
    """Know places, links, client blocks and demand, and compute plans from them."""

    def __init__(self, settings: Settings, targets: ServiceTargets) -> None:
        self._settings = settings
        self._targets = targets
        self._regions = {name: r.name for r in settings.regions for name in r.failure_domains}
        self.place_names = tuple(self._regions)
        self.blocks = self._declared_blocks()
        self.planning_blocks = self.blocks if len(self.blocks) else self._undeclared_blocks()
        counts = self.planning_blocks.blocks_per_home(len(self.place_names))
        self.home_weights: Array = counts / counts.sum()

    def region_of(self, place: int) -> str:
        """Return the region of a place."""
        return self._regions[self.place_names[place]]

    def topology(self, service: Service) -> Topology:
        """Return the places with the limits that the live targets of a service give them."""
        counts = dict.fromkeys(self.place_names, 0)
        for vm in self._targets.targets(service.name):
            if vm.failure_domain in counts:
                counts[vm.failure_domain] += 1
        per_target = service.slots_per_target * service.requests_per_slot_per_s
        limit = per_target * self._settings.steering.max_utilisation_percent / PERCENT
        places = [
            Place(name, name, region, counts[name] * limit)
            for name, region in self._regions.items()
        ]
        return Topology(places, self._links())

    def demand(self, service: Service) -> Array:
        """Return the planned requests a second by home place."""
        demand: Array = self.home_weights * service.requests_per_s
        return demand

    def map_in_force(self, state: ShiftState | None) -> ShareMap:
        """Return the map of a state, or that in which every block is served at home."""
        if state is None or state.places != self.place_names:
            return ShareMap.at_home(len(self.place_names))
        return state.in_force()

    def plan_input(self, snapshot: ConfigurationSnapshot, intent: str) -> PlanInput | None:
        """Return what the plan of an intent is computed from, or None if there is no such one."""
        stated = _find(stated_intents(snapshot, self._settings), intent)
        service = None if stated is None else self._settings.service(stated.intent.service)
        if stated is None or service is None:
            return None
        present = states(snapshot).get(service.name)
        confirmed = confirmed_plans(snapshot).get(service.name)
        state = None if present is None else present.state
        confirmed_object = snapshot.objects.get(CONFIRMED_NAME)
        version = 0 if confirmed_object is None else confirmed_object.version
        return PlanInput(
            stated=stated,
            service=service,
            topology=self.topology(service),
            demand=self.demand(service),
            base=self.map_in_force(state),
            is_shifting=_is_shifting(present, confirmed),
            others=tuple(self._others(snapshot, service)),
            blocks=self.planning_blocks,
            revision=max(stated.version, version),
            headroom_part=self._settings.objective.headroom_percent / PERCENT,
            emergency_percent_per_min=self._settings.steering.emergency_percent_per_min,
        )

    def plan(self, snapshot: ConfigurationSnapshot, intent: str) -> PlannedIntent | None:
        """Return the plan of an intent and the record of its confirm, or None."""
        given = self.plan_input(snapshot, intent)
        if given is None:
            return None
        plan = compute_plan(given)
        record = confirmed_plan(plan, given)
        present = states(snapshot)
        yielding = tuple(
            self._yielding(record, service, plan.yields, present.get(service))
            for service in record.waits_for
        )
        return PlannedIntent(plan, record, yielding)

    def _yielding(
        self,
        record: ConfirmedPlan,
        service: str,
        given_up: tuple[Yield, ...],
        present: StateInForce | None,
    ) -> ConfirmedPlan:
        state = None if present is None else present.state
        own = [item for item in given_up if item.service == service]
        admitted = {} if state is None else state.admitted
        return yielding_plan(record, service, self.map_in_force(state), own, admitted)

    def _others(self, snapshot: ConfigurationSnapshot, service: Service) -> Iterator[OtherService]:
        """Yield what other services take of links, now or once their plans are carried out."""
        present, confirmed = states(snapshot), confirmed_plans(snapshot)
        priorities = {
            item.intent.service: item.intent.priority
            for item in stated_intents(snapshot, self._settings)
        }
        for other in self._settings.services:
            if other.name == service.name:
                continue
            state = present.get(other.name)
            maps = [self.map_in_force(None if state is None else state.state)]
            plan = confirmed.get(other.name)
            is_shifting = _is_shifting(state, plan)
            if state is not None and is_shifting:
                maps.extend([state.state.base, state.state.goal])
            if plan is not None and plan.places == self.place_names:
                maps.append(plan.goal)
            yield OtherService(
                name=other.name,
                priority=priorities.get(other.name, DEFAULT_PRIORITY),
                is_shifting=is_shifting,
                link_mbit=self._greatest_links(other, maps),
            )

    def _greatest_links(self, service: Service, maps: list[ShareMap]) -> Array:
        topology = Topology([Place(n, n, r, 0.0) for n, r in self._regions.items()], self._links())
        demand = self.demand(service)
        loads = [
            link_loads(topology, flows(topology, shares, demand), service.kbit_per_request)
            for shares in maps
        ]
        greatest: Array = np.max(loads, axis=0)
        return greatest

    def _links(self) -> list[DirectedLink]:
        links = []
        for link in self._settings.links:
            one, other = link.between
            for source, sink in ((one, other), (other, one)):
                delay = float(link.one_way_delay_ms)
                links.append(DirectedLink(source, sink, float(link.mbit_per_s), delay))
        return links

    def _declared_blocks(self) -> BlockTable:
        steering = self._settings.steering
        return blocks_of_networks(
            ClientNetwork(
                item.network,
                _block_prefix(item.network.version, steering.block_prefix),
                self._homes(item.region),
            )
            for item in steering.clients
        )

    def _undeclared_blocks(self) -> BlockTable:
        homes = tuple(range(len(self.place_names)))
        network = ClientNetwork(UNDECLARED_NETWORK, UNDECLARED_BLOCK_PREFIX, homes)
        return blocks_of_networks([network])

    def _homes(self, region: str) -> tuple[int, ...]:
        return tuple(
            index for index, name in enumerate(self.place_names) if self._regions[name] == region
        )


def _is_shifting(present: StateInForce | None, plan: ConfirmedPlan | None) -> bool:
    """Return whether a confirmed plan is not yet carried out."""
    if plan is None:
        return False
    if present is None or present.state.plan_id != plan.plan_id:
        return True
    return not present.state.phase.is_final


def _block_prefix(version: int, v4_prefix: int) -> int:
    return v4_prefix if version == 4 else 0


def _find(stated: list[StatedIntent], name: str) -> StatedIntent | None:
    return next((item for item in stated if item.intent.name == name), None)
