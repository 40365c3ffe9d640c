"""Hold requests back for a moment until a target has room, or refuse them early.

The queue is short: a request waits only where the present rate of free places will reach it before
its deadline. Orders and requests whose deadline is near go first; uploads go last, and age lifts
every request, so none of them starves.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import IntEnum

from chervilmill.requests._kinds import RequestKind

NEAR_DEADLINE_S = 2.0
AGING_S = 0.1
RATE_WINDOW_S = 1.0
HOLD_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0


class Priority(IntEnum):
    """Rank requests that wait; the lowest goes first."""

    ORDER = 0
    NEAR_DEADLINE = 1
    NORMAL = 2
    BULK = 3


MAX_WAIT_S = {
    Priority.ORDER: 1.0,
    Priority.NEAR_DEADLINE: 0.1,
    Priority.NORMAL: 0.1,
    Priority.BULK: 1.0,
}


def priority_of(kind: RequestKind, time_left_s: float) -> Priority:
    """Return the rank of a request as it arrives."""
    if kind is RequestKind.ORDER:
        return Priority.ORDER
    if kind is RequestKind.UPLOAD:
        return Priority.BULK
    return Priority.NEAR_DEADLINE if time_left_s < NEAR_DEADLINE_S else Priority.NORMAL


@dataclass(eq=False, slots=True)
class Waiting:
    """Hold one request that waits; times are readings of one clock in seconds."""

    priority: Priority
    arrived_s: float
    deadline_s: float
    is_admitted: bool = field(default=False)

    def rank(self, now_s: float) -> tuple[float, float]:
        """Return the key by which the next request is taken."""
        return (self.priority - (now_s - self.arrived_s) / AGING_S, self.deadline_s)

    def gives_up_s(self) -> float:
        """Return the time until which it may wait."""
        return min(self.deadline_s, self.arrived_s + MAX_WAIT_S[self.priority])


@dataclass(frozen=True, slots=True)
class TooBusy:
    """Refuse a request at once and tell when to come back."""

    retry_after_s: float


class _HoldTimes:
    """Estimate how fast the taken places become free, from how long places were held of late."""

    __slots__ = ("_mean_s", "_taken")

    def __init__(self) -> None:
        self._taken = 0
        self._mean_s = 0.0

    def take(self) -> None:
        """Count a place that is taken."""
        self._taken += 1

    def free(self, held_s: float) -> None:
        """Count a place that was held for a time."""
        self._taken = max(0, self._taken - 1)
        weight = HOLD_WEIGHT if self._mean_s else 1.0
        self._mean_s += weight * (held_s - self._mean_s)

    def rate_per_s(self) -> float:
        """Return the places that become free per second by Little's law, or 0 if unknown."""
        return self._taken / self._mean_s if self._mean_s > 0 else 0.0


class AdmissionQueue:
    """Order the requests that wait for a place at the targets of one service."""

    __slots__ = ("_freed", "_holds", "_waiting")

    def __init__(self) -> None:
        self._waiting: list[Waiting] = []
        self._freed: deque[float] = deque()
        self._holds = _HoldTimes()

    def __len__(self) -> int:
        return len(self._waiting)

    def take(self) -> None:
        """Count a place that has been taken."""
        self._holds.take()

    def free(self, now_s: float, held_s: float = 0.0) -> None:
        """Count a place that has become free after some time, and so the rate at which they do."""
        self._holds.free(held_s)
        self._freed.append(now_s)
        while self._freed and self._freed[0] < now_s - RATE_WINDOW_S:
            self._freed.popleft()

    def join(self, waiting: Waiting, now_s: float) -> TooBusy | None:
        """Add a request, or return TooBusy where its wait would be too long."""
        wait_s = self.expected_wait_s(waiting.priority)
        if now_s + wait_s > waiting.gives_up_s():
            return TooBusy(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))
        self._waiting.append(waiting)
        return None

    def next(self, now_s: float, skipped: Collection[Waiting] = ()) -> Waiting | None:
        """Return the request that goes next; those that waited too long are not among them."""
        return min(
            (one for one in self._waiting if one.gives_up_s() > now_s and one not in skipped),
            key=lambda waiting: waiting.rank(now_s),
            default=None,
        )

    def leave(self, waiting: Waiting) -> None:
        """Take a request out; it may have left before."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def expected_wait_s(self, priority: Priority) -> float:
        """Return the wait that a request of a priority must expect.

        After a pause few places have become free, so the time for which they were held counts too.
        """
        ahead = sum(waiting.priority <= priority for waiting in self._waiting)
        rate = max(len(self._freed) / RATE_WINDOW_S, self._holds.rate_per_s())
        if not rate:
            return MAX_WAIT_S[priority] if ahead else 0.0
        return ahead / rate
