"""Track the state of one target as one entry VM sees it.

The entry VM's own observations take precedence: its requests in flight, sheds and failures. The
load that the target reports in its answers and to probes is used only while the report is recent.
"""

from dataclasses import dataclass, field
from enum import Enum

REPORTED_LOAD_LIFETIME_S = 0.25
SHED_FACTOR = 0.7
RECOVERY_SLOTS_PER_S = 1.0
RAMP_DURATION_S = 10.0
RAMP_START_SHARE = 0.34
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
LATENCY_EWMA_WEIGHT = 0.1
SHED_PAUSE_S = 0.05
LEAVING_PROBE_INTERVAL_S = 5.0
LIVE_PROBES_TO_RETURN = 3
MAX_SILENCE_S = 2.0


class AttemptEnd(Enum):
    """Ways in which an attempt at a target ends."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class TargetCondition(Enum):
    """Conditions that a target reports of itself."""

    LIVE = "live"
    COLD = "cold"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a target reported.

    `in_flight` counts both the requests that run and those that wait at the target.
    """

    in_flight: int
    slots: int


@dataclass(slots=True)
class TargetState:
    """The state of one target as seen by one entry VM.

    All times are in seconds of the same clock. `ramp_start_s` is when the target was first listed
    or last became cold. `limit` is the number of requests allowed in flight at `_limit_set_s`; the
    limit rises again from then on. Until `ejected_until_s` the target is ejected, or is not probed
    while it is unreachable or leaving. Until `shed_pause_until_s` the target gets no requests.
    """

    name: str
    slots: int
    ramp_start_s: float
    is_cold: bool = False
    in_flight: int = 0
    limit: float = field(init=False)
    latency_s: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    shed_pause_until_s: float = 0.0
    is_leaving: bool = False
    needs_probe: bool = False
    last_heard_s: float = field(init=False)
    _live_probes: int = 0
    _others_in_flight: int = 0
    _load_reported_s: float = float("-inf")
    _limit_set_s: float = 0.0

    def __post_init__(self) -> None:
        self.limit = float(self.slots)
        self.last_heard_s = self.ramp_start_s
        self._limit_set_s = self.ramp_start_s

    def start_attempt(self) -> None:
        """Count an attempt that starts."""
        self.in_flight += 1

    def end_attempt(
        self, end: AttemptEnd, now_s: float, latency_s: float | None, *, may_eject: bool
    ) -> None:
        """Count an attempt that ended and update the state from its result.

        `may_eject` is False while failures are common among all targets: a failing target is then
        no outlier and is not ejected.
        """
        self.in_flight -= 1
        if end in (AttemptEnd.ANSWERED, AttemptEnd.SHED):
            self.last_heard_s = now_s
        if end is AttemptEnd.ANSWERED:
            self._record_answer(latency_s)
        elif end is AttemptEnd.SHED:
            self._record_shed(now_s)
        elif end is AttemptEnd.FAILED:
            self._record_failure(now_s, may_eject)
        elif end is AttemptEnd.UNREACHABLE and not self.needs_probe:
            self.needs_probe = True
            self.ejected_until_s = now_s

    def record_load(self, load: ReportedLoad, now_s: float) -> None:
        """Record the load that the target has just reported."""
        self._others_in_flight = max(0, load.in_flight - self.in_flight)
        self._load_reported_s = now_s

    def occupancy(self, now_s: float, expected_others: float) -> float:
        """Return the estimated number of requests at the target, divided by its slots.

        As the last reported load ages, the estimate of the requests of other entry VMs shifts from
        that load to `expected_others`, the number expected at any target.
        """
        age = min(1.0, max(0.0, now_s - self._load_reported_s) / REPORTED_LOAD_LIFETIME_S)
        others = (1 - age) * self._others_in_flight + age * expected_others
        return (self.in_flight + others) / self.slots

    def current_limit(self, now_s: float) -> float:
        """Return how many requests this entry VM may have in flight at the target now."""
        recovered = (now_s - self._limit_set_s) * RECOVERY_SLOTS_PER_S
        limit = min(float(self.slots), self.limit + recovered)
        if self.is_cold:
            limit = min(limit, self._ramp_limit(now_s))
        return max(1.0, limit)

    @property
    def is_unavailable(self) -> bool:
        """Return whether the target is leaving or was unreachable when it was last tried."""
        return self.is_leaving or self.needs_probe

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target is ejected because of failures.

        An unreachable target stays ejected until a probe reaches it.
        """
        return self.needs_probe or now_s < self.ejected_until_s

    def is_open(self, now_s: float) -> bool:
        """Return whether the target may be chosen, regardless of its load."""
        return not self.is_ejected(now_s) and not self.is_leaving

    def has_room(self, now_s: float, home: int, expected_others: float) -> bool:
        """Return whether the target has room for one more request of this entry VM.

        Beyond the home slots, the requests of other entry VMs count as well.
        """
        if now_s < self.shed_pause_until_s or self.in_flight + 1 > self.current_limit(now_s):
            return False
        if self.in_flight < home:
            return True
        return self.occupancy(now_s, expected_others) < 1.0

    def set_condition(self, condition: TargetCondition, now_s: float) -> bool:
        """Record the condition the target reports; return whether it has just begun to leave.

        The ramp starts when the target first reports that it is cold.
        """
        if condition is TargetCondition.COLD and not self.is_cold:
            self.ramp_start_s = now_s
        begins_to_leave = condition is TargetCondition.LEAVING and not self.is_leaving
        if begins_to_leave:
            self.ejected_until_s = now_s + LEAVING_PROBE_INTERVAL_S
        self._live_probes = 0
        self.is_cold = condition is TargetCondition.COLD
        self.is_leaving = condition is TargetCondition.LEAVING
        return begins_to_leave

    def set_probed_condition(self, condition: TargetCondition, now_s: float) -> bool:
        """Record the condition found by a probe; return whether the target has begun to leave.

        A leaving target counts as staying only after LIVE_PROBES_TO_RETURN probes that say so.
        """
        if self.is_leaving and condition is not TargetCondition.LEAVING:
            self._live_probes += 1
            if self._live_probes < LIVE_PROBES_TO_RETURN:
                return False
        return self.set_condition(condition, now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether the target has been silent for so long that it may be leaving."""
        return not self.is_ejected(now_s) and now_s - self.last_heard_s > MAX_SILENCE_S

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether the target is unreachable or leaving and should be probed now."""
        return (self.needs_probe or self.is_leaving) and now_s >= self.ejected_until_s

    def record_probe(self, is_reached: bool, now_s: float) -> None:
        """Record whether a probe reached the target."""
        if is_reached:
            self.last_heard_s = now_s
            self.needs_probe = False
            self.failures = 0
            self.ejected_until_s = now_s + (LEAVING_PROBE_INTERVAL_S if self.is_leaving else 0.0)
            return
        self.needs_probe = True
        self._eject(now_s)

    def _record_answer(self, latency_s: float | None) -> None:
        self.failures = 0
        self.ejections = 0
        if latency_s is None:
            return
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self.latency_s)

    def _record_shed(self, now_s: float) -> None:
        self.limit = max(1.0, min(self.current_limit(now_s), self.in_flight + 1) * SHED_FACTOR)
        self._limit_set_s = now_s
        self.shed_pause_until_s = now_s + SHED_PAUSE_S

    def _record_failure(self, now_s: float, may_eject: bool) -> None:
        self.failures += 1
        if may_eject and self.failures >= FAILURES_TO_EJECT and now_s >= self.ejected_until_s:
            self.failures = FAILURES_TO_EJECT - 1
            self._eject(now_s)

    def _eject(self, now_s: float) -> None:
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now_s + pause_s

    def _ramp_limit(self, now_s: float) -> float:
        share = (
            RAMP_START_SHARE
            + (1 - RAMP_START_SHARE) * (now_s - self.ramp_start_s) / RAMP_DURATION_S
        )
        return self.slots * min(1.0, share)
