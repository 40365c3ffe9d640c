"""Define the records that callers, targets, the store and the fault injector make during a run.

All times are readings of the machine's monotonic clock in seconds.
"""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """The kind of a caller's request."""

    DIGEST = "digest"
    ORDER = "order"
    UPLOAD = "upload"


class Outcome(Enum):
    """How a request ended for its caller.

    SHORT is an answer whose body broke off in a way that the caller could detect. LOST is a request
    without even the headers of an answer.
    """

    WHOLE = "whole"
    SHORT = "short"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class CallerRecord:
    """One attempt of a caller to send a request.

    `expected` is what the body of the answer must state: the path of a digest, the key of an order
    or the SHA-256 of an upload.
    """

    request_id: str
    kind: RequestKind
    key: str | None
    entry: str
    due_s: float
    sent_s: float
    first_part_s: float | None
    ended_s: float
    outcome: Outcome
    expected: str
    body: bytes = b""
    echoed_id: str | None = None
    reason: str | None = None
    ran: str | None = None


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One request that arrived at a target.

    `ended_s` is None when the target died before the request ended. A request that the target shed
    arrived but did not run.
    """

    target: str
    region: str
    service: str
    request_id: str
    kind: RequestKind
    key: str | None
    started_s: float
    ended_s: float | None
    was_shed: bool = False


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """The interval in which a target was leaving, from the first announcement of its leaving."""

    target: str
    announced_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A graceful stop of an entry VM: the time of the request, and the end of the process."""

    entry: str
    requested_s: float
    ended_s: float
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class Disruption:
    """An interval during which an injected fault kept a VM from working."""

    vm: str
    from_s: float
    until_s: float

    def overlaps(self, from_s: float, until_s: float) -> bool:
        """Return whether this interval and the given interval overlap."""
        return self.from_s <= until_s and from_s <= self.until_s


@dataclass(frozen=True, slots=True)
class ConfigurationWrite:
    """A version of a configuration object that the store accepted."""

    name: str
    version: int
    at_s: float


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """The configuration revision that a node reported as in force."""

    node: str
    at_s: float
    revision: int


@dataclass(frozen=True, slots=True)
class LookupRecord:
    """The region to which a client block was directed."""

    block: str
    service: str
    at_s: float
    region: str


@dataclass(frozen=True, slots=True)
class Shift:
    """A limit on how many blocks of a service may be away from home between two times."""

    service: str
    max_blocks: int
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Confirm:
    """The confirm of a plan and whether the confirm was accepted.

    Plans of one service with the same base conflict: the first accepted confirm makes the other
    plans stale.
    """

    service: str
    plan: str
    base: str
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class RegionSlots:
    """The number of requests that the targets of a service in a region can run at once."""

    region: str
    service: str
    slots: int


@dataclass(slots=True)
class Trace:
    """All records of one run."""

    started_s: float = 0.0
    attempts: list[CallerRecord] = field(default_factory=list)
    runs: list[TargetRun] = field(default_factory=list)
    leavings: list[TargetLeaving] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    writes: list[ConfigurationWrite] = field(default_factory=list)
    revisions: list[RevisionSeen] = field(default_factory=list)
    lookups: list[LookupRecord] = field(default_factory=list)
    shifts: list[Shift] = field(default_factory=list)
    confirms: list[Confirm] = field(default_factory=list)
    slots: list[RegionSlots] = field(default_factory=list)
