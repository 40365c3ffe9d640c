"""Define the verdicts on requests that may crash their targets, and the reports about them."""

from dataclasses import dataclass

import xxhash

from chervilmill.requests._losses import Lifetime


@dataclass(frozen=True, slots=True)
class ReportedLoss:
    """A loss as one entry VM reports it to others, with its age in place of a clock reading."""

    lifetime: Lifetime
    age_s: float
    is_crash: bool
    was_alone: bool


@dataclass(frozen=True, slots=True)
class CrashReport:
    """What one entry VM knows of a request that may crash its targets, for the others."""

    fingerprint: bytes
    losses: tuple[ReportedLoss, ...]
    limited_to: str = ""


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


def request_fingerprint(service: str, method: str, path: str, content: bytes = b"") -> bytes:
    """Return the fingerprint by which resends of the same request are recognised."""
    return xxhash.xxh3_128_digest(f"{service}\n{method}\n{path}\n".encode() + content)
