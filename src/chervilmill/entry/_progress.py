"""Hold a request on its way from its caller to a target."""

from dataclasses import dataclass, field

from chervilmill.aio import ServerConnection
from chervilmill.entry._attempt import Attempt, Outgoing
from chervilmill.overload import Admitted, Candidate, PlacementRequest, Workload
from chervilmill.platform import RequestFacts
from chervilmill.reasons import RefusalReason
from chervilmill.routing import Route


@dataclass(slots=True)
class Progress:
    """Hold a request; `sent_s` is when the present attempt began, or None without one, and
    `status` that of the answer given.

    `attempt` is the one under way, and `next` the target to which an overdue request moves, if one
    was found.
    """

    caller: ServerConnection
    facts: RequestFacts
    outgoing: Outgoing
    route: Route
    service: str
    began_s: float
    deadline_s: float
    patience_until_s: float
    age_s: float
    fingerprint: bytes
    tried: list[str] = field(default_factory=list)
    sends: int = 0
    sent_s: float | None = None
    last: Candidate | None = None
    status: int = 0
    may_have_run: bool = False
    attempt: Attempt | None = None
    next: Admitted | None = None

    @property
    def may_still_run(self) -> bool:
        """Return whether a target may have run the request, or may be about to."""
        return self.may_have_run or (self.attempt is not None and self.attempt.is_sent)

    @property
    def placement(self) -> PlacementRequest:
        """Return what decides which target is the best."""
        key = self.facts.affinity if self.route.has_affinity else ""
        return PlacementRequest(self.workload, key)

    @property
    def workload(self) -> Workload:
        """Return the kind of work."""
        return Workload(self.service, self.route.name, self.route.objective_s)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold the final answer to a request that no target answered."""

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ""
