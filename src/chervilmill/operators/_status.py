"""Report the status of a node to operators."""

from collections.abc import Callable
from dataclasses import asdict, dataclass

from chervilmill.operators._router import OperatorRequest, OperatorResponse, Route
from chervilmill.steering import Headroom


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The status of a node as operators see it; targets and headroom are given by service.

    `revision` is None while the node has no configuration and serves no callers.
    `configuration_age_s` is None until the store has confirmed the configuration for the first
    time.
    """

    node: str
    region: str
    failure_domain: str
    is_leaving: bool
    in_flight: int
    revision: int | None
    entry_vms: tuple[str, ...]
    targets: dict[str, int]
    headroom: dict[str, Headroom]
    nodes_present: int = 1
    configuration_age_s: float | None = None
    is_stale: bool = False


def status_routes(status: Callable[[], NodeStatus]) -> tuple[Route, ...]:
    """Return the route that reports the status of this node."""

    def show(_req: OperatorRequest) -> OperatorResponse:
        return OperatorResponse(asdict(status()))

    return (Route("GET", "/status", show),)
