"""Hold what one entry VM knows of one lifetime of a target.

Load pattern: slots shared by entry VMs that do not ask each other. A target's load is what this VM
has sent and not had back, which is exact, and what its answers said of the others, which ages.
"""

import math
from collections import OrderedDict

from chervilmill.routing import Target

OTHERS_HALF_LIFE_S = 0.3  # about the time in which a slot is taken anew
SLOWNESS_WEIGHT = 0.2  # five answers of memory, as a target may turn slow at any time
SLOWNESS_HALF_LIFE_S = 3.0  # how soon a slow target is tried again
MAX_SLOWNESS = 20.0
MAX_RATIO = 2.0  # to what is known, that one answer may show: it may have met a queue
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 2.0
IDLE_SHARE = 0.5  # of the slots in use; the rest is left to requests that can be in time
OVERDUE = 3.0  # times its expected time, after which a request tells that its target is slow
EJECTION_S = 0.5  # after a first failure to connect; doubles with each further one
MAX_EJECTION_S = 4.0  # about the time in which a lost target's entry lapses
MAX_HELD = 24  # objects remembered a target; targets of today keep 13 to 33


class TargetRecord:
    """Hold load, speed, failures and held objects; times are readings of one clock in seconds."""

    __slots__ = (
        "target",
        "answered_s",
        "cold_until_s",
        "ejected_until_s",
        "mean_work_s",
        "_ejections",
        "_failure",
        "_failure_at_s",
        "_held",
        "_in_flight",
        "_others",
        "_others_at_s",
        "_serial",
        "_slowness",
        "_slowness_at_s",
    )

    def __init__(self, target: Target, now_s: float) -> None:
        self.target = target
        self.cold_until_s = now_s + target.cold_left_s
        self.ejected_until_s = 0.0
        self.answered_s = float("-inf")
        self.mean_work_s = 0.0
        self._ejections = 0
        self._failure = 0.0
        self._failure_at_s = now_s
        self._held: OrderedDict[str, None] = OrderedDict()
        self._in_flight: dict[int, tuple[float, float]] = {}
        self._others = 0.0
        self._others_at_s = now_s
        self._serial = 0
        self._slowness = 1.0
        self._slowness_at_s = now_s

    @property
    def in_flight(self) -> int:
        """Return the requests of this VM at the target."""
        return len(self._in_flight)

    def load(self, now_s: float, usual_others: float = 0.0) -> float:
        """Return the requests at the target, of this VM and as far as known of the others.

        As the last report ages, what the others have here is taken to be what they have elsewhere:
        `usual_others` a slot.
        """
        aged = _decay(now_s - self._others_at_s, OTHERS_HALF_LIFE_S)
        usual = usual_others * self.target.slots
        return len(self._in_flight) + usual + (self._others - usual) * aged

    def slowness(self, now_s: float) -> float:
        """Return how many times the usual work the target takes, at least 1."""
        aged = _decay(now_s - self._slowness_at_s, SLOWNESS_HALF_LIFE_S)
        learnt = 1.0 + (self._slowness - 1.0) * aged
        return min(MAX_SLOWNESS, max(learnt, self._overdue(now_s)))

    def failure(self, now_s: float) -> float:
        """Return the share of requests of late that the target failed."""
        return self._failure * _decay(now_s - self._failure_at_s, FAILURE_HALF_LIFE_S)

    def wait_s(self, now_s: float, usual_others: float = 0.0, first_guess_s: float = 0.0) -> float:
        """Return how long a request would queue at the target.

        Until the target has answered, those ahead are taken to need `first_guess_s` of work each.
        """
        ahead = self.load(now_s, usual_others) + 1 - self.target.slots
        if ahead <= 0:
            return 0.0
        work_s = self.mean_work_s or first_guess_s
        return ahead / self.target.slots * work_s * self.slowness(now_s)

    def is_idle(self, now_s: float, usual_others: float = 0.0) -> bool:
        """Return whether the target has slots to spare for work that will be late."""
        return self.load(now_s, usual_others) + 1 <= IDLE_SHARE * self.target.slots

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target bears a bounded rate only."""
        return now_s < self.cold_until_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target could not be reached of late."""
        return now_s < self.ejected_until_s

    def holds(self, key: str) -> bool:
        """Return whether the target has handled an object for this VM of late."""
        return key in self._held

    def forget(self, key: str) -> None:
        """Take in that the target did not hold an object after all."""
        self._held.pop(key, None)

    def start(self, key: str, expected_s: float, now_s: float) -> int:
        """Count a request that is sent and return the number to end it by."""
        self._serial += 1
        self._in_flight[self._serial] = (now_s, expected_s)
        if key:
            self._held[key] = None
            self._held.move_to_end(key)
            if len(self._held) > MAX_HELD:
                self._held.popitem(last=False)
        return self._serial

    def end(self, serial: int) -> None:
        """Count a request that is no longer at the target."""
        self._in_flight.pop(serial, None)

    def learn_work(self, work_s: float, ratio: float | None, now_s: float) -> None:
        """Take in the work of an answered request, and its ratio to the usual if that is known."""
        if not self.mean_work_s:
            self.mean_work_s = work_s
        self.mean_work_s += SLOWNESS_WEIGHT * (work_s - self.mean_work_s)
        if ratio is None:
            return
        held = self.slowness(now_s) if not self._in_flight else self._slowness
        self._slowness = max(1.0, held + SLOWNESS_WEIGHT * (min(ratio, MAX_RATIO * held) - held))
        self._slowness_at_s = now_s

    def learn_load(self, total: int, now_s: float) -> float:
        """Take in how many requests the target has; returns how many a slot are of others."""
        self._others = max(0.0, total - len(self._in_flight))
        self._others_at_s = now_s
        return self._others / self.target.slots

    def learn_failure(self, now_s: float, *, has_failed: bool) -> None:
        """Take in whether a request came to a good end."""
        held = self.failure(now_s)
        self._failure = held + FAILURE_WEIGHT * (float(has_failed) - held)
        self._failure_at_s = now_s
        if not has_failed:
            self._ejections = 0
            self.answered_s = now_s

    def eject(self, now_s: float) -> None:
        """Leave the target out for a while, as it could not be reached."""
        if self.is_ejected(now_s):
            return
        term_s = min(MAX_EJECTION_S, EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self.ejected_until_s = now_s + term_s

    def _overdue(self, now_s: float) -> float:
        if not self._in_flight:
            return 1.0
        started_s, expected_s = next(iter(self._in_flight.values()))
        ratio = (now_s - started_s) / max(expected_s, 0.001)
        return ratio if ratio > OVERDUE else 1.0


def _decay(age_s: float, half_life_s: float) -> float:
    return math.exp2(-age_s / half_life_s)
