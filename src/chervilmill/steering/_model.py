"""Model places, links, client blocks and demand, and compute plans from that model."""

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
    CONFIRMED_OBJECT_NAME,
    ConfirmedPlan,
    confirmed_plan,
    confirmed_plans,
    yielding_plan,
)
from chervilmill.steering._intents import DEFAULT_PRIORITY, VersionedIntent, stated_intents
from chervilmill.steering._loads import link_loads, loads_by_region_and_place
from chervilmill.steering._plan_input import OtherService, PlanInput
from chervilmill.steering._planner import compute_plan
from chervilmill.steering._priorities import LinkConcession
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
STATE_CACHE_SIZE = 32


class ServiceTargets(Protocol):
    """Source of the targets of a service that take new work."""

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        ...


@dataclass(frozen=True, slots=True)
class VersionedState:
    """State of a service's shift and the version of the object that stores it."""

    state: ShiftState
    version: int


def steering_states(snapshot: ConfigurationSnapshot) -> dict[str, VersionedState]:
    """Return the steering states of a configuration by service, without malformed ones."""
    found: dict[str, VersionedState] = {}
    for stored in snapshot.with_prefix(STEERING_PREFIX):
        state = _decode_stored(stored)
        if state is not None:
            found[stored.name.removeprefix(STEERING_PREFIX)] = VersionedState(state, stored.version)
    return found


@lru_cache(maxsize=STATE_CACHE_SIZE)
def _decode_stored(stored: StoredObject) -> ShiftState | None:
    try:
        body = decode_fenced(stored).body
        return decode_state(body) if body else None
    except (MalformedObjectError, MalformedStateError):
        return None


class SteeringModel:
    """Places, links, client blocks and planned demand of the site, and the plans that follow."""

    def __init__(self, settings: Settings, targets: ServiceTargets) -> None:
        self._settings = settings
        self._targets = targets
        self._region_by_place = {
            name: r.name for r in settings.regions for name in r.failure_domains
        }
        self.place_names = tuple(self._region_by_place)
        self.blocks = self._declared_blocks()
        self.planning_blocks = self.blocks if len(self.blocks) else self._undeclared_blocks()
        counts = self.planning_blocks.blocks_per_home(len(self.place_names))
        self.block_share_by_home: Array = counts / counts.sum()

    def region_of(self, place: int) -> str:
        """Return the region of a place."""
        return self._region_by_place[self.place_names[place]]

    def topology(self, service: Service) -> Topology:
        """Return the places and links, with place limits from the live targets of a service."""
        counts = dict.fromkeys(self.place_names, 0)
        for vm in self._targets.targets(service.name):
            if vm.failure_domain in counts:
                counts[vm.failure_domain] += 1
        per_target = service.slots_per_target * service.requests_per_slot_per_s
        limit = per_target * self._settings.steering.max_utilisation_percent / PERCENT
        places = [
            Place(name, name, region, counts[name] * limit)
            for name, region in self._region_by_place.items()
        ]
        return Topology(places, self._links())

    def demand(self, service: Service) -> Array:
        """Return the planned requests a second by home place."""
        demand: Array = self.block_share_by_home * service.requests_per_s
        return demand

    def current_map(self, state: ShiftState | None) -> ShareMap:
        """Return the map of a state, or the identity map, under which blocks are served at home.

        The identity map also replaces a state that was written for other places.
        """
        if state is None or state.places != self.place_names:
            return ShareMap.identity(len(self.place_names))
        return state.current_map()

    def plan_input(self, snapshot: ConfigurationSnapshot, intent: str) -> PlanInput | None:
        """Return the input of the plan of an intent, or None if the intent does not exist."""
        stated = _find_intent(stated_intents(snapshot, self._settings), intent)
        service = None if stated is None else self._settings.service(stated.intent.service)
        if stated is None or service is None:
            return None
        current = steering_states(snapshot).get(service.name)
        confirmed = confirmed_plans(snapshot).get(service.name)
        state = None if current is None else current.state
        confirmed_object = snapshot.objects.get(CONFIRMED_OBJECT_NAME)
        version = 0 if confirmed_object is None else confirmed_object.version
        return PlanInput(
            stated_intent=stated,
            service=service,
            topology=self.topology(service),
            demand=self.demand(service),
            base=self.current_map(state),
            is_shifting=_is_shifting(current, confirmed),
            others=tuple(self._other_services(snapshot, service)),
            blocks=self.planning_blocks,
            revision=max(stated.version, version),
            headroom_share=self._settings.objective.headroom_percent / PERCENT,
            emergency_percent_per_min=self._settings.steering.emergency_percent_per_min,
        )

    def plan(self, snapshot: ConfigurationSnapshot, intent: str) -> PlannedIntent | None:
        """Return the plan of an intent with its records, or None if the intent does not exist."""
        plan_input = self.plan_input(snapshot, intent)
        if plan_input is None:
            return None
        plan = compute_plan(plan_input)
        record = confirmed_plan(plan, plan_input)
        current_states = steering_states(snapshot)
        yielding_records = tuple(
            self._yielding_record(
                record, service, plan.link_concessions, current_states.get(service)
            )
            for service in record.waits_for
        )
        return PlannedIntent(plan, record, yielding_records)

    def _yielding_record(
        self,
        record: ConfirmedPlan,
        service: str,
        concessions: tuple[LinkConcession, ...],
        current: VersionedState | None,
    ) -> ConfirmedPlan:
        state = None if current is None else current.state
        own = [item for item in concessions if item.service == service]
        admitted = {} if state is None else state.admitted
        return yielding_plan(record, service, self.current_map(state), own, admitted)

    def _other_services(
        self, snapshot: ConfigurationSnapshot, service: Service
    ) -> Iterator[OtherService]:
        """Yield the link loads of other services, now or once their plans are carried out."""
        current_states, confirmed = steering_states(snapshot), confirmed_plans(snapshot)
        priorities = {
            item.intent.service: item.intent.priority
            for item in stated_intents(snapshot, self._settings)
        }
        for other in self._settings.services:
            if other.name == service.name:
                continue
            state = current_states.get(other.name)
            maps = [self.current_map(None if state is None else state.state)]
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
                link_mbit=self._peak_link_mbit(other, maps),
            )

    def _peak_link_mbit(self, service: Service, maps: list[ShareMap]) -> Array:
        topology = Topology(
            [Place(n, n, r, 0.0) for n, r in self._region_by_place.items()], self._links()
        )
        demand = self.demand(service)
        loads = [
            link_loads(
                topology,
                loads_by_region_and_place(topology, shares, demand),
                service.kbit_per_request,
            )
            for shares in maps
        ]
        peak: Array = np.max(loads, axis=0)
        return peak

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
                self._places_of_region(item.region),
            )
            for item in steering.clients
        )

    def _undeclared_blocks(self) -> BlockTable:
        homes = tuple(range(len(self.place_names)))
        network = ClientNetwork(UNDECLARED_NETWORK, UNDECLARED_BLOCK_PREFIX, homes)
        return blocks_of_networks([network])

    def _places_of_region(self, region: str) -> tuple[int, ...]:
        return tuple(
            index
            for index, name in enumerate(self.place_names)
            if self._region_by_place[name] == region
        )


def _is_shifting(current: VersionedState | None, plan: ConfirmedPlan | None) -> bool:
    """Return whether a confirmed plan is not yet carried out in full."""
    if plan is None:
        return False
    if current is None or current.state.plan_id != plan.plan_id:
        return True
    return not current.state.phase.is_final


def _block_prefix(version: int, v4_prefix: int) -> int:
    return v4_prefix if version == 4 else 0


def _find_intent(stated: list[VersionedIntent], name: str) -> VersionedIntent | None:
    return next((item for item in stated if item.intent.name == name), None)
