"""Hold what callers and targets saw, as the checks read it."""

from dataclasses import dataclass, field

PROMISES = frozenset({408, 421, 429, 503})  # not run, and never will be


@dataclass(slots=True)
class Sent:
    """Record one attempt of a caller; `status` is None where no whole answer came."""

    request_id: str
    kind: str
    method: str
    path: str
    body_digest: str
    sent_s: float
    vm: str
    status: int | None = None
    body: bytes = b""
    ended_s: float | None = None
    is_read: bool = False


@dataclass(frozen=True, slots=True)
class Ran:
    """Record one run at a target."""

    request_id: str
    method: str
    path: str
    body_digest: str
    target: str
    failure_domain: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Left:
    """Record that a target or a failure domain was to get nothing in a span."""

    name: str
    from_s: float
    until_s: float
    is_domain: bool


@dataclass(frozen=True, slots=True)
class Start:
    """Record how long an entry VM took from a start to its readiness."""

    vm: str
    took_s: float


@dataclass(slots=True)
class History:
    """Hold the records of one soak; spans of unplanned disruption are in `disrupted`."""

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: list[Ran] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    disrupted: list[tuple[float, float]] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    calm_from_s: float = 0.0
