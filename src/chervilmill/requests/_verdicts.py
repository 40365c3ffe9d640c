"""Define the verdicts on requests that may crash their targets, and the reports about them."""

from dataclasses import dataclass

from chervilmill.requests._losses import Lifetime


@dataclass(frozen=True, slots=True)
class ReportedLoss:
    """A loss as one entry VM reports it to others, with its age in place of a clock reading."""

    lifetime: Lifetime
    age_s: float
    is_crash: bool
    was_alone: bool
    callers: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class CrashReport:
    """What one entry VM knows of a request or a content that may crash its targets.

    `answered_age_s` is the time since the latest answered run was sent, or None if none is known.
    """

    fingerprint: bytes
    losses: tuple[ReportedLoss, ...]
    limited_to: str = ""
    answered_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unrestricted:
    """The verdict that a request may run at any target."""


@dataclass(frozen=True, slots=True)
class LimitedToTarget:
    """The verdict that a request may run at one target only; an empty name means that none can."""

    target: str


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The verdict that a request is refused until its quarantine expires."""

    expires_in_s: float


Verdict = Unrestricted | LimitedToTarget | Quarantined
