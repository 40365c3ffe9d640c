"""Define the state of a request between its caller and the targets."""

from dataclasses import dataclass, field

from chervilmill.aio import ServerConnection
from chervilmill.entry._attempt import Attempt, OutgoingRequest
from chervilmill.entry._decision_basis import DecisionBasis
from chervilmill.overload import Admitted, AffinityWorkload, Candidate, Workload
from chervilmill.platform import RequestHeaders
from chervilmill.reasons import RefusalReason
from chervilmill.routing import Organisation, Route, combined_home_regions


@dataclass(frozen=True, slots=True)
class Origin:
    """The address of a request's caller, and whether a peer relays the request."""

    caller_host: str
    is_relayed: bool = False


@dataclass(slots=True)
class Progress:
    """The state of a caller's request until its final answer.

    `deadline_s` is when the request times out: `caller_deadline_s`, at which the caller stops
    waiting, or the time-out of the route if that is earlier. `sent_s` is when the current attempt
    started, or None between attempts, and `attempt` is the current attempt. `sent_count` counts
    the attempts that reached a target. `next_placement` is where an overdue request moves to, if
    another target has admitted it. `is_relayed` says that a peer sent the request. `status` is the
    status of the answer given to the caller. `basis` is what the VM knew when it decided: the
    configuration is the one that chose the route, all else is as of the current or last attempt.
    `holds_token` says that the request was counted against an allowance.
    """

    caller: ServerConnection
    request_headers: RequestHeaders
    outgoing: OutgoingRequest
    route: Route
    service: str
    began_s: float
    deadline_s: float
    caller_deadline_s: float
    age_s: float
    fingerprint: bytes
    organisation: Organisation | None = None
    holds_token: bool = False
    is_relayed: bool = False
    tried: list[str] = field(default_factory=list)
    sent_count: int = 0
    sent_s: float | None = None
    last_candidate: Candidate | None = None
    status: int = 0
    may_have_run: bool = False
    attempt: Attempt | None = None
    next_placement: Admitted | None = None
    basis: DecisionBasis = DecisionBasis()

    def update_basis(self, known: DecisionBasis) -> None:
        """Take over what is known now, except the configuration, which chose the route before."""
        self.basis = DecisionBasis(
            config_version=self.basis.config_version,
            targets_version=known.targets_version,
            copy_age_s=known.copy_age_s,
            trust=known.trust,
            config_as_of=self.basis.config_as_of,
            config_proven_by=self.basis.config_proven_by,
        )

    @property
    def may_still_run(self) -> bool:
        """Return whether a target may have run the request or may still run it."""
        return self.may_have_run or (self.attempt is not None and self.attempt.is_sent)

    @property
    def priority(self) -> int:
        """Return the priority of the organisation, or of the route if that has none."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def home_regions(self) -> frozenset[str]:
        """Return the regions in which the request may run; an empty set allows every region."""
        regions = combined_home_regions(self.route, self.organisation)
        if regions is None:  # an empty set would allow every region
            raise ValueError("a request without a region to run in was not refused")
        return regions

    @property
    def path(self) -> str:
        """Return the path of the request with its query."""
        return self.outgoing.head.target.decode("latin-1")

    @property
    def affinity_workload(self) -> AffinityWorkload:
        """Return the parameters by which targets are compared for this request."""
        key = self.request_headers.affinity if self.route.has_affinity else ""
        return AffinityWorkload(self.workload, key)

    @property
    def workload(self) -> Workload:
        """Return the workload class under which the time of the request is estimated."""
        return Workload(self.service, self.route.name, self.route.objective_s)


@dataclass(frozen=True, slots=True)
class Refusal:
    """The final answer to a request that no target answered."""

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ""
