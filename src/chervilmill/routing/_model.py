"""Define the configuration and the targets as the entry VMs hold them."""

from dataclasses import dataclass

from chervilmill.addresses import Address
from chervilmill.requests import RequestKind


@dataclass(frozen=True, slots=True)
class SplitPart:
    """Give one service its weight in a route's traffic; weights are relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests of one host and path prefix.

    `timeout_s` bounds the time to a final answer, `objective_s` is the latency objective, and a
    `priority` of 0 is the most urgent. No `home_regions` means that every region is allowed.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    has_affinity: bool
    home_regions: frozenset[str]
    split: tuple[SplitPart, ...]


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Describe what the targets of a service bear.

    `cold_rate_per_s` bounds the requests to one cold target over all entry VMs together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate_per_s: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what callers may send and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServicePolicy]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class Target:
    """Describe one lifetime of a target.

    `name` is the instance that a request is addressed to; `incarnation` tells lifetimes under one
    name apart. `cold_left_s` counts from the moment at which the description was received.
    """

    name: str
    incarnation: int
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left_s: float
