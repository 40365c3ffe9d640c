"""Define the configuration and the targets as an entry VM knows them."""

from dataclasses import dataclass

from chervilmill.addresses import Address
from chervilmill.requests import RequestKind
from chervilmill.routing._organisations import OrganisationDirectory


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service with its weight in a route's traffic split; weights are relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The requests of one host and path prefix, and how they are handled.

    `timeout_s` bounds the time to the final answer, and `objective_s` is the latency objective. A
    `priority` of 0 is the most urgent. Without `home_regions`, every region is allowed. A request
    of a route that `is_public` needs no key.
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
    split: tuple[WeightedService, ...]
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """The limits of the targets of a service.

    `cold_rate_per_s` bounds the requests to one cold target over all entry VMs together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate_per_s: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers may send and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of routes, services, limits and organisations.

    If `organisations` is None, callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServicePolicy]
    limits: CallerLimits
    organisations: OrganisationDirectory | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """One lifetime of a target.

    `name` is the instance to which a request is addressed. `incarnation` distinguishes the
    lifetimes of one name. `cold_left_s` counts from the time at which this description was
    received.
    """

    name: str
    incarnation: int
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left_s: float
