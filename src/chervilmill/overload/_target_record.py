"""Record what one entry VM knows about one lifetime of a target.

Load pattern: slots shared by entry VMs that do not ask each other. The load of a target has two
parts. This VM's own unanswered requests are counted exactly. The requests of other VMs are taken
from the load reports in the target's answers, and the weight of the last report decays with age.
"""

import math
from collections import OrderedDict
from collections.abc import Callable

from chervilmill.routing import Target

OTHERS_HALF_LIFE_S = 0.3  # about the time after which a slot has a new request
SLOWNESS_WEIGHT = 0.2  # a memory of five answers, as a target may become slow at any time
SLOWNESS_HALF_LIFE_S = 3.0  # decides how soon a slow target is tried again
# Of a stated work ratio, as which targets are slow changes about that often.
STATED_HALF_LIFE_S = 0.6
MAX_SLOWNESS = 20.0
MAX_SLOWDOWN_RATIO = 2.0  # of one answer, to the known slowness: the request may have queued
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 2.0
MAX_IDLE_LOAD_SHARE = 0.5  # of the slots; the rest is for requests that can be in time
OVERDUE_RATIO = 3.0  # of elapsed to expected time, from which an open request shows a slow target
EJECTION_S = 0.5  # after the first failure to reach the target; doubles with each further one
MAX_EJECTION_S = 4.0  # about the time after which the entry of a lost target expires
MAX_HELD_OBJECTS = 24  # for each target; known targets keep 13 to 33 objects


class TargetRecord:
    """The load, speed, failures and held objects of a target.

    All times are readings of one clock in seconds. The `ejection_listeners` are called when the
    target is ejected.
    """

    __slots__ = (
        "target",
        "last_answer_s",
        "cold_until_s",
        "ejected_until_s",
        "ejection_listeners",
        "mean_work_s",
        "_ejections",
        "_failure_share",
        "_failure_at_s",
        "_held_objects",
        "_in_flight",
        "_others",
        "_others_at_s",
        "_serial",
        "_slowness",
        "_slowness_at_s",
        "_stated_slowness",
        "_stated_at_s",
    )

    def __init__(self, target: Target, now_s: float) -> None:
        self.target = target
        self.cold_until_s = now_s + target.cold_left_s
        self.ejected_until_s = 0.0
        self.ejection_listeners: set[Callable[[], None]] = set()
        self.last_answer_s = float("-inf")
        self.mean_work_s = 0.0
        self._ejections = 0
        self._failure_share = 0.0
        self._failure_at_s = now_s
        self._held_objects: OrderedDict[str, None] = OrderedDict()
        self._in_flight: dict[int, tuple[float, float]] = {}
        self._others = 0.0
        self._others_at_s = now_s
        self._serial = 0
        self._slowness = 1.0
        self._slowness_at_s = now_s
        self._stated_slowness = 1.0
        self._stated_at_s = now_s

    @property
    def in_flight(self) -> int:
        """Return the number of this VM's requests at the target."""
        return len(self._in_flight)

    def load(self, now_s: float, others_per_slot: float = 0.0) -> float:
        """Return the estimated number of requests at the target, of this VM and of the others.

        As the target's last report ages, the estimate for other VMs approaches what they have at
        similar targets: `others_per_slot` requests for each slot.
        """
        weight = _decay(now_s - self._others_at_s, OTHERS_HALF_LIFE_S)
        expected_others = others_per_slot * self.target.slots
        return len(self._in_flight) + expected_others + (self._others - expected_others) * weight

    def slowness(self, now_s: float) -> float:
        """Return the ratio of the target's work to the usual work, at least 1."""
        known = self._learnt_slowness(now_s)
        if self._stated_slowness != 1.0:
            known = max(known, self.stated_slowness(now_s))
        if self._in_flight:
            known = max(known, self._overdue_slowness(now_s))
        return min(MAX_SLOWNESS, known)

    def stated_slowness(self, now_s: float) -> float:
        """Return the ratio of the target's work to the usual that it stated, at least 1.

        The ratio approaches 1 as the statement ages, because the target's speed changes often.
        """
        if self._stated_slowness == 1.0:
            return 1.0
        weight = _decay(now_s - self._stated_at_s, STATED_HALF_LIFE_S)
        return 1.0 + (self._stated_slowness - 1.0) * weight

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent requests that the target failed."""
        if not self._failure_share:
            return 0.0
        return self._failure_share * _decay(now_s - self._failure_at_s, FAILURE_HALF_LIFE_S)

    def wait_s(
        self, now_s: float, others_per_slot: float = 0.0, default_work_s: float = 0.0
    ) -> float:
        """Return how long a request would queue at the target.

        Until the target has answered, each request ahead is assumed to need `default_work_s`.
        """
        load = self.load(now_s, others_per_slot)
        return self.wait_behind_s(load, default_work_s, self.slowness(now_s))

    def wait_behind_s(self, load: float, default_work_s: float, slowness: float) -> float:
        """Return how long a request would queue behind a load at a slowness."""
        ahead = load + 1 - self.target.slots
        if ahead <= 0:
            return 0.0
        return ahead / self.target.slots * (self.mean_work_s or default_work_s) * slowness

    def is_idle(self, now_s: float, others_per_slot: float = 0.0) -> bool:
        """Return whether the target has free slots for work that will be late."""
        return self.is_idle_at(self.load(now_s, others_per_slot))

    def is_idle_at(self, load: float) -> bool:
        """Return whether a load leaves free slots for work that will be late."""
        return load + 1 <= MAX_IDLE_LOAD_SHARE * self.target.slots

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether a request would start at once, as far as this VM knows."""
        return self.load(now_s) + 1 <= self.target.slots

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target may receive requests only at a limited rate."""
        return now_s < self.cold_until_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target is excluded because it could not be reached recently."""
        return now_s < self.ejected_until_s

    def holds(self, key: str) -> bool:
        """Return whether the target holds an object, judging by this VM's recent requests."""
        return key in self._held_objects

    def forget(self, key: str) -> None:
        """Record that the target does not hold an object."""
        self._held_objects.pop(key, None)

    def start(self, key: str, expected_s: float, now_s: float) -> int:
        """Record a request that is sent, and return the serial number for `end`."""
        self._serial += 1
        self._in_flight[self._serial] = (now_s, expected_s)
        if key:
            self._held_objects[key] = None
            self._held_objects.move_to_end(key)
            if len(self._held_objects) > MAX_HELD_OBJECTS:
                self._held_objects.popitem(last=False)
        return self._serial

    def end(self, serial: int) -> None:
        """Record that a request is no longer at the target."""
        self._in_flight.pop(serial, None)

    def record_work(self, work_s: float, ratio: float | None, now_s: float) -> None:
        """Record the work of an answered request.

        `ratio` is the ratio of the work to the usual work, or None if that is not known.
        """
        if not self.mean_work_s:
            self.mean_work_s = work_s
        self.mean_work_s += SLOWNESS_WEIGHT * (work_s - self.mean_work_s)
        if ratio is None:
            return
        previous = self._slowness if self._in_flight else self._learnt_slowness(now_s)
        self._slowness = max(
            1.0, previous + SLOWNESS_WEIGHT * (min(ratio, MAX_SLOWDOWN_RATIO * previous) - previous)
        )
        self._slowness_at_s = now_s

    def record_load(self, total: int, now_s: float, work_ratio: float | None = None) -> float:
        """Record the number of requests at the target, and the ratio of its work to the usual.

        `work_ratio` is None if the target does not state it. Return how many of these requests are
        of other VMs, for each slot.
        """
        self._others = max(0.0, total - len(self._in_flight))
        self._others_at_s = now_s
        self._stated_slowness = min(MAX_SLOWNESS, max(1.0, work_ratio or 1.0))
        self._stated_at_s = now_s
        return self._others / self.target.slots

    def record_result(self, now_s: float, *, has_failed: bool) -> None:
        """Record whether a request failed."""
        previous = self.failure_share(now_s)
        self._failure_share = previous + FAILURE_WEIGHT * (float(has_failed) - previous)
        self._failure_at_s = now_s
        if not has_failed:
            self._ejections = 0
            self.last_answer_s = now_s

    def eject(self, now_s: float) -> None:
        """Exclude the target for a while because it could not be reached."""
        if self.is_ejected(now_s):
            return
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self.ejected_until_s = now_s + duration_s
        for notify in tuple(self.ejection_listeners):
            notify()

    def forgive(self) -> None:
        """Forget failures that were not the target's."""
        self.ejected_until_s = float("-inf")
        self._ejections = 0
        self._failure_share = 0.0

    def _learnt_slowness(self, now_s: float) -> float:
        """Return the slowness that answers showed beyond what the target stated."""
        if self._slowness == 1.0:
            return 1.0
        weight = _decay(now_s - self._slowness_at_s, SLOWNESS_HALF_LIFE_S)
        return min(MAX_SLOWNESS, 1.0 + (self._slowness - 1.0) * weight)

    def _overdue_slowness(self, now_s: float) -> float:
        if not self._in_flight:
            return 1.0
        started_s, expected_s = next(iter(self._in_flight.values()))
        ratio = (now_s - started_s) / max(expected_s, 0.001)
        return ratio if ratio > OVERDUE_RATIO else 1.0


def _decay(age_s: float, half_life_s: float) -> float:
    return math.exp2(-age_s / half_life_s)
