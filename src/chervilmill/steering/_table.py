"""Hold the steering in force at this node and answer where callers belong."""

import ipaddress
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import numpy as np

from chervilmill.coordination import ConfigurationSnapshot
from chervilmill.settings import Service, Settings
from chervilmill.steering._blocks import Block
from chervilmill.steering._hashing import folded, position, seed_of
from chervilmill.steering._loads import KBIT_PER_MBIT, flows, link_loads
from chervilmill.steering._model import StateInForce, SteeringWorld, states
from chervilmill.steering._pacing import Pacer
from chervilmill.steering._shares import ShareMap
from chervilmill.steering._state import ShiftState, admitted_share
from chervilmill.steering._topology import Topology

UNKNOWN_V4_BITS = 24
SPILL_REFRESH_S = 1.0
FIRST_WEIGHT = 1.0

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class PlaceChoice:
    """Name a failure domain to try and how much of the load it may take, from 0 to 1.

    The first choice has weight 1. The weight of a further one is its unused part, which for
    another region is also bounded by what its link has left.
    """

    failure_domain: str
    region: str
    weight: float


class Places(Protocol):
    """Know which failure domains serve a caller."""

    def places_for(self, service: str, client_address: str) -> tuple[PlaceChoice, ...]:
        """Return the failure domains to try, in order."""
        ...

    def admits(self, service: str, client_address: str, draw: float) -> bool:
        """Return whether a request finds room; `draw` is uniform within 0 to 1."""
        ...


@dataclass(frozen=True, slots=True)
class Placement:
    """Say where a block belongs and why; the state is None where nothing was ever steered."""

    service: str
    block: Block
    is_known_client: bool
    home: str
    place: str
    state: ShiftState | None
    version: int

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form for operators."""
        state = self.state
        return {
            "service": self.service,
            "block": self.block.first_address,
            "is_known_client": self.is_known_client,
            "home": self.home,
            "place": self.place,
            "why": self._why(),
            "revision": self.version,
            "intent": None if state is None else state.intent,
            "intent_version": None if state is None else state.intent_version,
            "plan": None if state is None else state.plan_id,
            "plan_revision": None if state is None else state.plan_revision,
        }

    def _why(self) -> str:
        if self.state is None:
            return "no plan was ever carried out, so the block is served at home"
        if self.place == self.home:
            return f"intent {self.state.intent} leaves the block at home so far"
        return f"intent {self.state.intent} moved the block from {self.home}"


@dataclass(frozen=True, slots=True)
class Whereabouts:
    """Give the index of the place that serves a block, the block's key and the revision."""

    place: int
    key: int
    revision: int


@dataclass(frozen=True, slots=True)
class _Applied:
    """Hold what this node applies for one service; `version` is that last applied wholly."""

    shares: ShareMap
    state: ShiftState | None
    version: int


class SteeringTable:
    """Answer look-ups from the configuration; `receive` takes it and `tick` paces it."""

    def __init__(self, world: SteeringWorld, settings: Settings, clock: Clock = time.monotonic):
        self._world = world
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._snapshot_states: Mapping[str, StateInForce] = {}
        self._own_home = world.place_names.index(settings.node.failure_domain)
        self._seeds = {service.name: seed_of(service.name) for service in settings.services}
        self._pacers = {service.name: Pacer(world.home_weights) for service in settings.services}
        at_home = ShareMap.at_home(len(world.place_names))
        self._applied = {service.name: _Applied(at_home, None, 0) for service in settings.services}
        self._choices: dict[tuple[str, int, int], tuple[PlaceChoice, ...]] = {}
        self._choices_until_s = 0.0

    def receive(self, snapshot: ConfigurationSnapshot) -> None:
        """Take the steering of a configuration."""
        with self._lock:
            self._snapshot_states = states(snapshot)
        self.tick()

    def tick(self) -> None:
        """Apply what the caps allow now."""
        with self._lock:
            now_s = self._clock()
            for service, held in self._snapshot_states.items():
                if service in self._applied:
                    self._follow(now_s, service, held)

    @property
    def place_regions(self) -> tuple[tuple[str, str], ...]:
        """Return the failure domain and region of each place, by index."""
        names = self._world.place_names
        return tuple((name, self._world.region_of(index)) for index, name in enumerate(names))

    def is_steered(self, service: str) -> bool:
        """Return whether a shift of the service was ever carried out."""
        return self._applied[service].state is not None

    def applied_version(self, service: str) -> int:
        """Return the version of the steering object that this node last applied wholly, or 0."""
        applied = self._applied.get(service)
        return 0 if applied is None else applied.version

    def state(self, service: str) -> ShiftState | None:
        """Return the state of the service's shift."""
        applied = self._applied.get(service)
        return None if applied is None else applied.state

    def placement(self, service: str, client_address: str) -> Placement:
        """Return where a caller belongs, or raise ValueError for what is no IP address."""
        block = self._world.blocks.find(client_address)
        is_known = block is not None
        if block is None:
            block = self._unknown(client_address)
        applied = self._applied[service]
        place = applied.shares.place_of(block.home, position(block.key, self._seeds[service]))
        names = self._world.place_names
        return Placement(
            service,
            block,
            is_known,
            names[block.home],
            names[place],
            applied.state,
            applied.version,
        )

    def whereabouts(self, service: str, client_address: str) -> Whereabouts:
        """Return the place that serves a caller, or raise ValueError for what is no IP address.

        An empty service stands for the caller's home.
        """
        block = self._world.blocks.find(client_address) or self._unknown(client_address)
        applied = self._applied.get(service)
        if applied is None:
            return Whereabouts(block.home, block.key, 0)
        place = applied.shares.place_of(block.home, position(block.key, self._seeds[service]))
        return Whereabouts(place, block.key, applied.version)

    def places_for(self, service: str, client_address: str) -> tuple[PlaceChoice, ...]:
        """Return the failure domains to try, in order."""
        block = self._world.blocks.find(client_address) or self._unknown(client_address)
        shares = self._applied[service].shares
        place = shares.place_of(block.home, position(block.key, self._seeds[service]))
        now_s = self._clock()
        if now_s >= self._choices_until_s:
            self._choices = {}
            self._choices_until_s = now_s + SPILL_REFRESH_S
        key = (service, block.home, place)
        choices = self._choices.get(key)
        if choices is None:
            choices = self._ordered(service, block.home, place)
            self._choices[key] = choices
        return choices

    def admits(self, service: str, client_address: str, draw: float) -> bool:
        """Return whether a request finds room; `draw` is uniform within 0 to 1."""
        state = self._applied[service].state
        if state is None or not state.admitted:
            return True
        block = self._world.blocks.find(client_address) or self._unknown(client_address)
        place = self._applied[service].shares.place_of(
            block.home, position(block.key, self._seeds[service])
        )
        return draw < admitted_share(
            state.admitted, self._world.region_of(block.home), self._world.region_of(place)
        )

    def _follow(self, now_s: float, service: str, held: StateInForce) -> None:
        is_applied = held.version == self._applied[service].version
        if is_applied or held.state.places != self._world.place_names:
            return
        cap = held.state.cap_blocks_per_min / max(1, held.state.block_count)
        pacer = self._pacers[service]
        is_reached = pacer.follow(now_s, held.state.in_force(), cap)
        assert pacer.map is not None
        version = held.version if is_reached else self._applied[service].version
        self._applied[service] = _Applied(pacer.map, held.state, version)

    def _unknown(self, client_address: str) -> Block:
        """Return a block for a caller of no declared network, at home in this node's place."""
        ip = ipaddress.ip_address(client_address)
        if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped is not None:
            ip = ip.ipv4_mapped
        if isinstance(ip, ipaddress.IPv4Address):
            start = int(ip) >> (32 - UNKNOWN_V4_BITS) << (32 - UNKNOWN_V4_BITS)
            return Block(start, str(ipaddress.IPv4Address(start)), self._own_home)
        prefix = int(ip) >> 64
        return Block(folded(prefix), str(ipaddress.IPv6Address(prefix << 64)), self._own_home)

    def _ordered(self, service: str, home: int, place: int) -> tuple[PlaceChoice, ...]:
        """Order places: the block's own, its region's by unused part, others within their links."""
        found = self._settings.service(service)
        assert found is not None
        topology = self._world.topology(found)
        unused = self._unused(found, topology, home)
        region = topology.region_of_place[place]
        delays = topology.delays_ms()[topology.region_of_place[home]]

        def rank(other: int) -> tuple[bool, float, float, int]:
            other_region = topology.region_of_place[other]
            is_remote = bool(other_region != region)
            return (
                is_remote,
                float(delays[other_region]) if is_remote else 0.0,
                -unused[other],
                other,
            )

        others = sorted((i for i in range(len(topology.places)) if i != place), key=rank)
        first = topology.places[place]
        choices = [PlaceChoice(first.name, first.region, FIRST_WEIGHT)]
        for other in others:
            if unused[other] > 0:
                chosen = topology.places[other]
                choices.append(PlaceChoice(chosen.name, chosen.region, round(unused[other], 3)))
        return tuple(choices)

    def _unused(self, service: Service, topology: Topology, home: int) -> list[float]:
        """Return the part of each place that is unused and reachable from a home.

        A place that the shift in force leaves without any block takes nothing from others either.
        """
        shares = self._applied[service.name].shares
        own = flows(topology, shares, self._world.demand(service))
        limits = topology.capacities()
        free = np.maximum(limits - own.sum(axis=0), 0.0)
        kbit = service.kbit_per_request
        slack = topology.link_limits() - link_loads(topology, own, kbit)
        reachable = np.maximum(slack * KBIT_PER_MBIT / kbit, 0.0)[topology.region_of_place[home]]
        bounded = np.minimum(free, reachable[topology.region_of_place])
        parts = np.divide(bounded, limits, out=np.zeros_like(bounded), where=limits > 0)
        state = self._applied[service.name].state
        if state is not None:
            wanted = state.goal.shares(len(topology.places)).sum(axis=0)
            parts[wanted == 0] = 0.0
        return [float(part) for part in parts]
