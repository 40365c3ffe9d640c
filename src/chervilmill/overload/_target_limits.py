"""Keep the limits that targets name: the rate that a target takes from all entry VMs together.

A limit holds for one lifetime of its target, until the target names another one or none. Entry VMs
tell each other, and the newest statement of the target counts.
"""

import math
import re
from dataclasses import dataclass

from chervilmill.requests import Lifetime

# Without news from any entry VM, a limit is dropped after this time, in case its end was missed.
LIMIT_TTL_S = 120.0
# A limit that was withdrawn is still reported for this long, to VMs that missed it.
WITHDRAWN_TTL_S = 60.0
# A report counts as older by this much, so that what a VM has seen itself goes first.
REPORT_DELAY_S = 0.2
MAX_KNOWN_LIMITS = 4096
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """A limit as a target states it in an answer.

    `per_s`, in requests a second from all entry VMs together, is None if `text` is malformed.
    """

    per_s: float | None
    text: str


def parse_limit(text: str) -> StatedLimit:
    """Return the limit that a target states as a decimal number, such as `4.1`."""
    stripped = text.strip()
    is_number = _DECIMAL_NUMBER.fullmatch(stripped) is not None
    return StatedLimit(float(stripped) if is_number else None, text)


def is_limit(value: object) -> bool:
    """Return whether a decoded value can be a limit in requests a second."""
    return isinstance(value, float) and math.isfinite(value) and value >= 0


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a target last said, for other entry VMs, with its age in place of a clock reading.

    `per_s` is None if the target no longer names a limit.
    """

    lifetime: Lifetime
    per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class _Statement:
    per_s: float | None
    said_s: float

    def is_expired(self, now_s: float) -> bool:
        ttl_s = WITHDRAWN_TTL_S if self.per_s is None else LIMIT_TTL_S
        return now_s - self.said_s >= ttl_s


class TargetLimits:
    """The limits known to one entry VM; all times are in seconds of one clock."""

    __slots__ = ("_statements",)

    def __init__(self) -> None:
        self._statements: dict[Lifetime, _Statement] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no target has named a limit."""
        return not self._statements

    def per_s(self, lifetime: Lifetime, now_s: float) -> float | None:
        """Return the limit in requests a second, or None if the target names none."""
        statement = self._statements.get(lifetime)
        if statement is None or statement.is_expired(now_s):
            return None
        return statement.per_s

    def record(self, lifetime: Lifetime, per_s: float | None, now_s: float) -> bool:
        """Record what a target says in an answer and return whether its limit has changed."""
        if per_s is None and lifetime not in self._statements:
            return False
        return self._put(lifetime, _Statement(per_s, now_s), now_s)

    def receive(self, report: LimitReport, now_s: float) -> bool:
        """Apply the report of another entry VM and return whether the limit has changed."""
        said_s = now_s - max(0.0, report.age_s) - REPORT_DELAY_S
        statement = _Statement(report.per_s, said_s)
        known = self._statements.get(report.lifetime)
        is_old = known is not None and said_s <= known.said_s
        if is_old or statement.is_expired(now_s):
            return False
        return self._put(report.lifetime, statement, now_s)

    def forget(self, target: str) -> None:
        """Drop the limits of a target that is gone, in all its lifetimes."""
        for lifetime in [known for known in self._statements if known.target == target]:
            del self._statements[lifetime]

    def lifetimes(self, now_s: float) -> list[Lifetime]:
        """Return the lifetimes of which something can be reported."""
        return [
            lifetime
            for lifetime, statement in self._statements.items()
            if not statement.is_expired(now_s)
        ]

    def report(self, lifetime: Lifetime, now_s: float) -> LimitReport | None:
        """Return the report on a target, or None if nothing is known of its limit."""
        statement = self._statements.get(lifetime)
        if statement is None or statement.is_expired(now_s):
            return None
        return LimitReport(lifetime, statement.per_s, now_s - statement.said_s)

    def _put(self, lifetime: Lifetime, statement: _Statement, now_s: float) -> bool:
        previous = self.per_s(lifetime, now_s)
        if lifetime not in self._statements:
            self._make_room(now_s)
        self._statements[lifetime] = statement
        return previous != statement.per_s

    def _make_room(self, now_s: float) -> None:
        """Drop what has expired, and the oldest statements if there are too many."""
        if len(self._statements) < MAX_KNOWN_LIMITS:
            return
        newest_first = sorted(
            self.lifetimes(now_s), key=lambda lifetime: -self._statements[lifetime].said_s
        )
        kept = newest_first[: MAX_KNOWN_LIMITS - 1]
        self._statements = {lifetime: self._statements[lifetime] for lifetime in kept}
