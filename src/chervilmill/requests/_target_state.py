"""Keep what one entry VM knows about one target.

What the node sees itself goes first: its own requests in flight, sheds and failures. Readings of
the target's load come from its answers and probes; they are used while they are young.
"""

from dataclasses import dataclass, field
from enum import Enum

READING_LIFETIME_S = 0.25
SHED_FACTOR = 0.7
RECOVERY_SLOTS_PER_S = 1.0
RAMP_S = 10.0
RAMP_FIRST_SHARE = 0.34
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
LATENCY_WEIGHT = 0.1
SHED_PAUSE_S = 0.05
LEAVING_PROBE_S = 5.0
LIVE_PROBES = 3
SILENCE_S = 2.0


class AttemptEnd(Enum):
    """Say how an attempt at a target ended."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class TargetCondition(Enum):
    """Say what a target states of itself."""

    LIVE = "live"
    COLD = "cold"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class LoadReading:
    """Hold the load that a target stated: requests that run and those that wait."""

    in_flight: int
    slots: int


@dataclass(slots=True)
class TargetState:
    """Hold the changing knowledge about one target; times are readings of one clock in seconds."""

    name: str
    slots: int
    seen_s: float
    is_cold: bool = False
    in_flight: int = 0
    limit: float = field(init=False)
    latency_s: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    avoid_until_s: float = 0.0
    is_leaving: bool = False
    needs_probe: bool = False
    heard_s: float = field(init=False)
    _live_probes: int = 0
    _others: int = 0
    _read_s: float = float("-inf")
    _limited_s: float = 0.0

    def __post_init__(self) -> None:
        self.limit = float(self.slots)
        self.heard_s = self.seen_s
        self._limited_s = self.seen_s

    def start(self) -> None:
        """Count an attempt that begins."""
        self.in_flight += 1

    def end(
        self, end: AttemptEnd, now_s: float, latency_s: float | None, *, may_eject: bool
    ) -> None:
        """Count an attempt that has ended and learn from it.

        Where most targets fail, a failing one is no outlier and stays: `may_eject` is False.
        """
        self.in_flight -= 1
        if end in (AttemptEnd.ANSWERED, AttemptEnd.SHED):
            self.heard_s = now_s
        if end is AttemptEnd.ANSWERED:
            self._answered(latency_s)
        elif end is AttemptEnd.SHED:
            self._shed(now_s)
        elif end is AttemptEnd.FAILED:
            self._failed(now_s, may_eject)
        elif end is AttemptEnd.UNREACHABLE and not self.needs_probe:
            self.needs_probe = True
            self.ejected_until_s = now_s

    def read(self, reading: LoadReading, now_s: float) -> None:
        """Take in the load that the target stated just now."""
        self._others = max(0, reading.in_flight - self.in_flight)
        self._read_s = now_s

    def occupancy(self, now_s: float, expected_others: float) -> float:
        """Return the estimated requests at the target by its slots.

        An old reading fades into the number of others' requests that is expected of any target.
        """
        age = min(1.0, max(0.0, now_s - self._read_s) / READING_LIFETIME_S)
        others = (1 - age) * self._others + age * expected_others
        return (self.in_flight + others) / self.slots

    def allowed(self, now_s: float) -> float:
        """Return how many requests of this node the target may have in flight now."""
        recovered = (now_s - self._limited_s) * RECOVERY_SLOTS_PER_S
        limit = min(float(self.slots), self.limit + recovered)
        if self.is_cold:
            limit = min(limit, self._ramp(now_s))
        return max(1.0, limit)

    @property
    def is_out_of_work(self) -> bool:
        """Return whether the target left or could not be reached when it was tried last."""
        return self.is_leaving or self.needs_probe

    def is_ejected(self, now_s: float) -> bool:
        """Return whether failures keep the target out; what was unreachable waits for a probe."""
        return self.needs_probe or now_s < self.ejected_until_s

    def is_open(self, now_s: float) -> bool:
        """Return whether the target may be chosen at all."""
        return not self.is_ejected(now_s) and not self.is_leaving

    def has_room(self, now_s: float, home: int, expected_others: float) -> bool:
        """Return whether one more request of this node fits.

        Beyond the home slots, the others' requests count too.
        """
        if now_s < self.avoid_until_s or self.in_flight + 1 > self.allowed(now_s):
            return False
        if self.in_flight < home:
            return True
        return self.occupancy(now_s, expected_others) < 1.0

    def set_condition(self, condition: TargetCondition, now_s: float) -> bool:
        """Take in what the target states of itself and return whether it began to leave.

        Its ramp begins where it says it is cold.
        """
        if condition is TargetCondition.COLD and not self.is_cold:
            self.seen_s = now_s
        begins_to_leave = condition is TargetCondition.LEAVING and not self.is_leaving
        if begins_to_leave:
            self.ejected_until_s = now_s + LEAVING_PROBE_S
        self._live_probes = 0
        self.is_cold = condition is TargetCondition.COLD
        self.is_leaving = condition is TargetCondition.LEAVING
        return begins_to_leave

    def set_probed_condition(self, condition: TargetCondition, now_s: float) -> bool:
        """Take in what a probe tells and return whether the target began to leave.

        It is believed slowly that a leaving target stays.
        """
        if self.is_leaving and condition is not TargetCondition.LEAVING:
            self._live_probes += 1
            if self._live_probes < LIVE_PROBES:
                return False
        return self.set_condition(condition, now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether nothing was heard of the target for so long that it may be leaving."""
        return not self.is_ejected(now_s) and now_s - self.heard_s > SILENCE_S

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether a probe shall tell if the target takes work again."""
        return (self.needs_probe or self.is_leaving) and now_s >= self.ejected_until_s

    def probed(self, is_reached: bool, now_s: float) -> None:
        """Take in the end of a probe."""
        if is_reached:
            self.heard_s = now_s
            self.needs_probe = False
            self.failures = 0
            self.ejected_until_s = now_s + (LEAVING_PROBE_S if self.is_leaving else 0.0)
            return
        self.needs_probe = True
        self._eject(now_s)

    def _answered(self, latency_s: float | None) -> None:
        self.failures = 0
        self.ejections = 0
        if latency_s is None:
            return
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def _shed(self, now_s: float) -> None:
        self.limit = max(1.0, min(self.allowed(now_s), self.in_flight + 1) * SHED_FACTOR)
        self._limited_s = now_s
        self.avoid_until_s = now_s + SHED_PAUSE_S

    def _failed(self, now_s: float, may_eject: bool) -> None:
        self.failures += 1
        if may_eject and self.failures >= FAILURES_TO_EJECT and now_s >= self.ejected_until_s:
            self.failures = FAILURES_TO_EJECT - 1
            self._eject(now_s)

    def _eject(self, now_s: float) -> None:
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now_s + pause_s

    def _ramp(self, now_s: float) -> float:
        share = RAMP_FIRST_SHARE + (1 - RAMP_FIRST_SHARE) * (now_s - self.seen_s) / RAMP_S
        return self.slots * min(1.0, share)
