"""Define the data classes of validated settings."""

from dataclasses import dataclass, field
from ipaddress import IPv4Network, IPv6Network

from chervilmill.addresses import Address


@dataclass(frozen=True, slots=True)
class Node:
    """This entry VM: its name, its location and the addresses it listens on.

    `seeds` are node addresses of other entry VMs. They are tried while the platform's list of VMs
    is unknown.
    """

    name: str
    region: str
    failure_domain: str
    callers: Address
    operators: Address
    nodes: Address
    seeds: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Platform:
    """The address of the platform's object API and the time-out of one call.

    `region` is the region of the platform's store, or empty if unknown.
    """

    address: Address
    timeout_ms: int
    region: str = ""


@dataclass(frozen=True, slots=True)
class Region:
    """A region and its failure domains."""

    name: str
    failure_domains: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Link:
    """The link between two regions, whose rate applies to each direction."""

    between: tuple[str, str]
    mbit_per_s: int
    one_way_delay_ms: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service, the capacity and costs of its targets, and the demand to plan for."""

    name: str
    slots_per_target: int
    connections_per_target: int
    reports_load: bool
    connect_cost_ms: int
    probe_cost_ms: int
    requests_per_s: int
    requests_per_slot_per_s: int
    kbit_per_request: int


@dataclass(frozen=True, slots=True)
class Objective:
    """The weights of latency and headroom in planning, which add up to 100."""

    latency_percent: int
    headroom_percent: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources that callers and peers may use on this node."""

    max_body_bytes: int
    max_header_bytes: int
    default_deadline_ms: int
    lookup_lifetime_s: int
    request_threads: int
    idle_timeout_s: int
    least_bytes_per_s: int
    keep_alive_s: int
    max_connections: int
    most_nodes: int


@dataclass(frozen=True, slots=True)
class ClientRange:
    """An IP network and the region of its callers."""

    network: IPv4Network | IPv6Network
    region: str


@dataclass(frozen=True, slots=True)
class Steering:
    """The networks of callers and the limits of steering.

    `block_prefix` is the prefix length of an IPv4 block; IPv6 blocks are 64-bit prefixes or the
    whole of a shorter network.
    """

    clients: tuple[ClientRange, ...]
    block_prefix: int
    max_utilisation_percent: int
    emergency_percent_per_min: int
    plan_lifetime_s: int


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a node, read when it starts."""

    node: Node
    platform: Platform
    regions: tuple[Region, ...]
    links: tuple[Link, ...]
    services: tuple[Service, ...]
    objective: Objective
    limits: Limits
    steering: Steering
    operators_token: str = field(repr=False)
    nodes_key: str = field(repr=False)

    def service(self, name: str) -> Service | None:
        """Return the service with a name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None
