"""Look up the places that serve a caller, under the steering that this node applies."""

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
from chervilmill.steering._hashing import fold_prefix, hash_seed, position
from chervilmill.steering._loads import KBIT_PER_MBIT, link_loads, loads_by_region_and_place
from chervilmill.steering._model import SteeringModel, VersionedState, steering_states
from chervilmill.steering._pacing import Pacer
from chervilmill.steering._shares import ShareMap
from chervilmill.steering._state import ShiftState, served_share
from chervilmill.steering._topology import Topology

# Callers without a declared network are grouped by IPv4 /24 or IPv6 /64.
UNDECLARED_V4_PREFIX_BITS = 24
# The weights of choices follow live targets and steering, so choices are cached this long.
CHOICE_LIFETIME_S = 1.0
FIRST_WEIGHT = 1.0

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class PlaceChoice:
    """A failure domain to try, and the share of the load that it may take, from 0 to 1.

    The first choice has weight 1. The weight of every further choice is the unused share of its
    capacity. For a choice in another region, the rate left on the link to that region bounds the
    weight as well.
    """

    failure_domain: str
    region: str
    weight: float


class PlaceLookup(Protocol):
    """Look-up of the failure domains that serve a caller."""

    def places_for(self, service: str, client_address: str) -> tuple[PlaceChoice, ...]:
        """Return the failure domains to try, in order."""
        ...

    def admits(self, service: str, client_address: str, draw: float) -> bool:
        """Return whether a request is admitted; `draw` is a uniform random number from 0 to 1."""
        ...


@dataclass(frozen=True, slots=True)
class Placement:
    """The place that serves a block, and why.

    `state` is None if no shift of the service was ever carried out.
    """

    service: str
    block: Block
    is_known_client: bool
    home: str
    place: str
    state: ShiftState | None
    revision: int

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form for operators."""
        state = self.state
        return {
            "service": self.service,
            "block": self.block.first_address,
            "is_known_client": self.is_known_client,
            "home": self.home,
            "place": self.place,
            "why": self._reason(),
            "revision": self.revision,
            "intent": None if state is None else state.intent,
            "intent_version": None if state is None else state.intent_version,
            "plan": None if state is None else state.plan_id,
            "plan_revision": None if state is None else state.plan_revision,
        }

    def _reason(self) -> str:
        if self.state is None:
            return "no plan was ever carried out, so the block is served at home"
        if self.place == self.home:
            return f"intent {self.state.intent} leaves the block at home so far"
        return f"intent {self.state.intent} moved the block from {self.home}"


@dataclass(frozen=True, slots=True)
class BlockLocation:
    """The index of the place that serves a block, the hash key of the block and the revision."""

    place: int
    key: int
    revision: int


@dataclass(frozen=True, slots=True)
class _AppliedSteering:
    """The steering that this node applies for one service.

    `version` is the last version of the steering object that was applied completely.
    """

    shares: ShareMap
    state: ShiftState | None
    version: int


class SteeringTable:
    """A table that answers look-ups under the steering of the newest configuration.

    `receive` stores the steering of a new configuration. `tick` moves the applied share maps
    towards it, no faster than the caps of the shifts allow.
    """

    def __init__(self, model: SteeringModel, settings: Settings, clock: Clock = time.monotonic):
        self._model = model
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._received_states: Mapping[str, VersionedState] = {}
        self._local_place = model.place_names.index(settings.node.failure_domain)
        self._hash_seeds = {service.name: hash_seed(service.name) for service in settings.services}
        self._pacers = {
            service.name: Pacer(model.block_share_by_home) for service in settings.services
        }
        identity_map = ShareMap.identity(len(model.place_names))
        self._applied = {
            service.name: _AppliedSteering(identity_map, None, 0) for service in settings.services
        }
        self._cached_choices: dict[tuple[str, int, int], tuple[PlaceChoice, ...]] = {}
        self._choices_expire_s = 0.0

    def receive(self, snapshot: ConfigurationSnapshot) -> None:
        """Store the steering of a configuration and apply what the caps allow of it now."""
        with self._lock:
            self._received_states = steering_states(snapshot)
        self.tick()

    def tick(self) -> None:
        """Move towards the stored steering by the blocks that the caps allow to move now."""
        with self._lock:
            now_s = self._clock()
            for service, received in self._received_states.items():
                if service in self._applied:
                    self._advance(now_s, service, received)

    @property
    def place_regions(self) -> tuple[tuple[str, str], ...]:
        """Return the failure domain and the region of each place, by place index."""
        names = self._model.place_names
        return tuple((name, self._model.region_of(index)) for index, name in enumerate(names))

    def is_steered(self, service: str) -> bool:
        """Return whether a shift of the service was ever carried out."""
        return self._applied[service].state is not None

    def applied_version(self, service: str) -> int:
        """Return the version of the steering object last applied completely, or 0 for none."""
        applied = self._applied.get(service)
        return 0 if applied is None else applied.version

    def state(self, service: str) -> ShiftState | None:
        """Return the state of the service's shift, or None if there never was one."""
        applied = self._applied.get(service)
        return None if applied is None else applied.state

    def placement(self, service: str, client_address: str) -> Placement:
        """Return the place of a caller's block, or raise ValueError for an invalid IP address."""
        block = self._model.blocks.find(client_address)
        is_known = block is not None
        if block is None:
            block = self._undeclared_block(client_address)
        applied = self._applied[service]
        place = applied.shares.place_of(block.home, position(block.key, self._hash_seeds[service]))
        names = self._model.place_names
        return Placement(
            service,
            block,
            is_known,
            names[block.home],
            names[place],
            applied.state,
            applied.version,
        )

    def locate(self, service: str, client_address: str) -> BlockLocation:
        """Return the place that serves a caller, or raise ValueError for an invalid IP address.

        With an empty service name, return the caller's home.
        """
        block = self._model.blocks.find(client_address) or self._undeclared_block(client_address)
        applied = self._applied.get(service)
        if applied is None:
            return BlockLocation(block.home, block.key, 0)
        place = applied.shares.place_of(block.home, position(block.key, self._hash_seeds[service]))
        return BlockLocation(place, block.key, applied.version)

    def places_for(self, service: str, client_address: str) -> tuple[PlaceChoice, ...]:
        """Return the failure domains to try, in order."""
        block = self._model.blocks.find(client_address) or self._undeclared_block(client_address)
        shares = self._applied[service].shares
        place = shares.place_of(block.home, position(block.key, self._hash_seeds[service]))
        now_s = self._clock()
        if now_s >= self._choices_expire_s:
            self._cached_choices = {}
            self._choices_expire_s = now_s + CHOICE_LIFETIME_S
        key = (service, block.home, place)
        choices = self._cached_choices.get(key)
        if choices is None:
            choices = self._ordered_choices(service, block.home, place)
            self._cached_choices[key] = choices
        return choices

    def admits(self, service: str, client_address: str, draw: float) -> bool:
        """Return whether a request is admitted; `draw` is a uniform random number from 0 to 1."""
        state = self._applied[service].state
        if state is None or not state.admitted:
            return True
        block = self._model.blocks.find(client_address) or self._undeclared_block(client_address)
        place = self._applied[service].shares.place_of(
            block.home, position(block.key, self._hash_seeds[service])
        )
        return draw < served_share(
            state.admitted, self._model.region_of(block.home), self._model.region_of(place)
        )

    def _advance(self, now_s: float, service: str, received: VersionedState) -> None:
        is_applied = received.version == self._applied[service].version
        if is_applied or received.state.places != self._model.place_names:
            return
        cap = received.state.cap_blocks_per_min / max(1, received.state.block_count)
        pacer = self._pacers[service]
        is_reached = pacer.advance_towards(now_s, received.state.current_map(), cap)
        assert pacer.map is not None
        version = received.version if is_reached else self._applied[service].version
        self._applied[service] = _AppliedSteering(pacer.map, received.state, version)

    def _undeclared_block(self, client_address: str) -> Block:
        """Return a block for a caller outside all declared networks, with this node's home."""
        ip = ipaddress.ip_address(client_address)
        if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped is not None:
            ip = ip.ipv4_mapped
        if isinstance(ip, ipaddress.IPv4Address):
            start = int(ip) >> (32 - UNDECLARED_V4_PREFIX_BITS) << (32 - UNDECLARED_V4_PREFIX_BITS)
            return Block(start, str(ipaddress.IPv4Address(start)), self._local_place)
        prefix = int(ip) >> 64
        return Block(
            fold_prefix(prefix), str(ipaddress.IPv6Address(prefix << 64)), self._local_place
        )

    def _ordered_choices(self, service: str, home: int, place: int) -> tuple[PlaceChoice, ...]:
        """Return the place of a block, then the places that may take its overflow.

        Places in the same region come first, the one with the largest unused share first. Places
        in other regions follow, ordered by the delay from the block's home region and then by
        unused share. Places without an unused share are left out.
        """
        service_settings = self._settings.service(service)
        assert service_settings is not None
        topology = self._model.topology(service_settings)
        unused = self._unused_shares(service_settings, topology, home)
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

    def _unused_shares(self, service: Service, topology: Topology, home: int) -> list[float]:
        """Return the share of each place's capacity that is unused and reachable from a home.

        The links from the home's region bound the share. A place to which the goal of the shift
        assigns no blocks takes no overflow from other places either, so its share is 0.
        """
        shares = self._applied[service.name].shares
        own = loads_by_region_and_place(topology, shares, self._model.demand(service))
        limits = topology.capacities()
        free = np.maximum(limits - own.sum(axis=0), 0.0)
        kbit = service.kbit_per_request
        slack_mbit = topology.link_limits() - link_loads(topology, own, kbit)
        reachable = np.maximum(slack_mbit * KBIT_PER_MBIT / kbit, 0.0)[
            topology.region_of_place[home]
        ]
        bounded = np.minimum(free, reachable[topology.region_of_place])
        unused_shares = np.divide(bounded, limits, out=np.zeros_like(bounded), where=limits > 0)
        state = self._applied[service.name].state
        if state is not None:
            goal_shares = state.goal.shares(len(topology.places)).sum(axis=0)
            unused_shares[goal_shares == 0] = 0.0
        return [float(share) for share in unused_shares]
