"""Queue requests until a target has a free slot, or refuse them at once.

A slot is the capacity of a target to run one request. The queue stays short: a request joins only
if slots are freed fast enough to reach the request before its deadline. Orders and requests with
a near deadline go first and uploads go last. Every request gains priority while it waits, so no
request starves.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import IntEnum

from chervilmill.requests._kinds import RequestKind

NEAR_DEADLINE_S = 2.0
AGING_STEP_S = 0.1  # a wait of this length is worth one step of priority
RATE_WINDOW_S = 1.0
HELD_TIME_EWMA_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0


class Priority(IntEnum):
    """Priorities of queued requests; the lowest value goes first."""

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
    """Return the priority of a newly arrived request."""
    if kind is RequestKind.ORDER:
        return Priority.ORDER
    if kind is RequestKind.UPLOAD:
        return Priority.BULK
    return Priority.NEAR_DEADLINE if time_left_s < NEAR_DEADLINE_S else Priority.NORMAL


@dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request in the queue.

    All times are in seconds of the same clock.
    """

    priority: Priority
    arrived_s: float
    deadline_s: float
    is_admitted: bool = field(default=False)

    def rank(self, now_s: float) -> tuple[float, float]:
        """Return the sort key of this request; the lowest key goes next."""
        return (self.priority - (now_s - self.arrived_s) / AGING_STEP_S, self.deadline_s)

    def wait_until_s(self) -> float:
        """Return the time at which this request stops waiting."""
        return min(self.deadline_s, self.arrived_s + MAX_WAIT_S[self.priority])


@dataclass(frozen=True, slots=True)
class QueueRefusal:
    """A refusal, with the time after which the caller may try again."""

    retry_after_s: float


class _SlotTurnover:
    """Estimates how fast slots are freed.

    The estimate uses the number of slots in use and the average time for which recently released
    slots were held.
    """

    __slots__ = ("_mean_held_s", "_slots_in_use")

    def __init__(self) -> None:
        self._slots_in_use = 0
        self._mean_held_s = 0.0

    def acquire(self) -> None:
        """Count a slot that is now in use."""
        self._slots_in_use += 1

    def release(self, held_s: float) -> None:
        """Count a slot that was released after it was held for `held_s`."""
        self._slots_in_use = max(0, self._slots_in_use - 1)
        weight = HELD_TIME_EWMA_WEIGHT if self._mean_held_s else 1.0
        self._mean_held_s += weight * (held_s - self._mean_held_s)

    def releases_per_s(self) -> float:
        """Return the slots freed per second by Little's law, or 0 if unknown."""
        return self._slots_in_use / self._mean_held_s if self._mean_held_s > 0 else 0.0


class AdmissionQueue:
    """Priority queue of the requests that wait for a slot at the targets of one service."""

    __slots__ = ("_recent_releases_s", "_turnover", "_waiting")

    def __init__(self) -> None:
        self._waiting: list[QueuedRequest] = []
        self._recent_releases_s: deque[float] = deque()
        self._turnover = _SlotTurnover()

    def __len__(self) -> int:
        return len(self._waiting)

    def slot_taken(self) -> None:
        """Count a slot that a request now holds."""
        self._turnover.acquire()

    def slot_freed(self, now_s: float, held_s: float = 0.0) -> None:
        """Record that a slot was freed at `now_s` after it was held for `held_s`."""
        self._turnover.release(held_s)
        self._recent_releases_s.append(now_s)
        while self._recent_releases_s and self._recent_releases_s[0] < now_s - RATE_WINDOW_S:
            self._recent_releases_s.popleft()

    def join(self, request: QueuedRequest, now_s: float) -> QueueRefusal | None:
        """Add a request to the queue, or return QueueRefusal if its wait would be too long."""
        wait_s = self.expected_wait_s(request.priority)
        if now_s + wait_s > request.wait_until_s():
            return QueueRefusal(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))
        self._waiting.append(request)
        return None

    def peek(self, now_s: float, skipped: Collection[QueuedRequest] = ()) -> QueuedRequest | None:
        """Return the request that goes next, without removing it.

        Requests that have waited too long and those in `skipped` are passed over.
        """
        return min(
            (
                candidate
                for candidate in self._waiting
                if candidate.wait_until_s() > now_s and candidate not in skipped
            ),
            key=lambda request: request.rank(now_s),
            default=None,
        )

    def leave(self, request: QueuedRequest) -> None:
        """Remove a request from the queue if the request is still there."""
        if request in self._waiting:
            self._waiting.remove(request)

    def expected_wait_s(self, priority: Priority) -> float:
        """Return the expected wait of a new request with the given priority.

        After a pause in traffic few slots were freed within RATE_WINDOW_S. The estimate from the
        times for which slots were held is therefore used where it gives the higher rate.
        """
        ahead = sum(request.priority <= priority for request in self._waiting)
        slots_per_s = max(
            len(self._recent_releases_s) / RATE_WINDOW_S, self._turnover.releases_per_s()
        )
        if not slots_per_s:
            return MAX_WAIT_S[priority] if ahead else 0.0
        return ahead / slots_per_s
