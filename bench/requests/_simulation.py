"""Simulated targets, and the network between targets and entry VMs, on a virtual clock."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from chervilmill.requests import ReportedLoad

ONE_WAY_DELAY_S = 0.0015
CONNECT_TIMEOUT_S = 0.05
PROBE_S = 0.006
QUEUE_PER_SLOT = 4
MEAN_SERVICE_S = 0.05
SERVICE_SIGMA = 0.4


class Clock:
    """A virtual clock that runs scheduled events in the order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), event))

    def run(self, until_s: float) -> None:
        """Run all events that are due by a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()


class ReplyKind(Enum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    SHED = "shed"
    LOST = "lost"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Reply:
    """The end of an attempt, with the load that the target reports, if any."""

    kind: ReplyKind
    load: ReportedLoad | None = None


ReplyCallback = Callable[[Reply], None]


@dataclass(eq=False, slots=True)
class Attempt:
    """An attempt at a target, with its service time at speed 1."""

    deliver: ReplyCallback
    service_s: float
    is_cancelled: bool = False


@dataclass(eq=False, slots=True)
class SimulatedTarget:
    """A target that serves attempts in slots with a short queue and sheds the rest.

    `speed` divides service times, and `report_age_s` is the age of the reported load. A target with
    `reports_no_load` always reports zero requests in flight.
    """

    name: str
    slots: int
    clock: Clock
    rng: random.Random
    speed: float = 1.0
    failure_share: float = 0.0
    report_age_s: float = 0.0
    reports_no_load: bool = False
    is_down: bool = False
    running: int = 0
    peak_load: int = 0
    sent: int = 0
    shed: int = 0
    _queue: deque[Attempt] = field(default_factory=deque)
    _load_history: deque[tuple[float, int]] = field(default_factory=deque)

    def send(self, attempt: Attempt) -> None:
        """Deliver an attempt that an entry VM sends now; a target that is down is unreachable."""
        self.sent += 1
        if self.is_down:
            self.clock.after(
                CONNECT_TIMEOUT_S, lambda: attempt.deliver(Reply(ReplyKind.UNREACHABLE))
            )
            return
        self.clock.after(ONE_WAY_DELAY_S, lambda: self._arrive(attempt))

    def probe(self, deliver: Callable[[bool], None]) -> None:
        """Report to `deliver`, after the probe's delay, whether the target is reachable."""
        delay_s = CONNECT_TIMEOUT_S if self.is_down else 2 * ONE_WAY_DELAY_S + PROBE_S
        self.clock.after(delay_s, lambda: deliver(not self.is_down))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that nobody waits for.

        A queued attempt is never started; a running attempt frees its slot when it ends.
        """
        attempt.is_cancelled = True

    def _arrive(self, attempt: Attempt) -> None:
        if self.running < self.slots:
            self._start(attempt)
        elif len(self._queue) < QUEUE_PER_SLOT * self.slots:
            self._queue.append(attempt)
        else:
            self.shed += 1
            self._reply(attempt, ReplyKind.SHED)
        self._record_load()

    def _start(self, attempt: Attempt) -> None:
        self.running += 1
        self.clock.after(attempt.service_s / self.speed, lambda: self._finish(attempt))

    def _finish(self, attempt: Attempt) -> None:
        self.running -= 1
        is_lost = self.rng.random() < self.failure_share
        self._reply(attempt, ReplyKind.LOST if is_lost else ReplyKind.ANSWERED)
        while self._queue and self.running < self.slots:
            following = self._queue.popleft()
            if not following.is_cancelled:
                self._start(following)
        self._record_load()

    def _reply(self, attempt: Attempt, kind: ReplyKind) -> None:
        load = (
            None if kind is ReplyKind.LOST else ReportedLoad(self._reported_requests(), self.slots)
        )
        self.clock.after(ONE_WAY_DELAY_S, lambda: attempt.deliver(Reply(kind, load)))

    def _record_load(self) -> None:
        load = self.running + len(self._queue)
        self.peak_load = max(self.peak_load, load)
        if self.report_age_s:
            self._load_history.append((self.clock.now_s, load))

    def _reported_requests(self) -> int:
        if self.reports_no_load:
            return 0
        if not self.report_age_s:
            return self.running + len(self._queue)
        reported, limit_s = 0, self.clock.now_s - self.report_age_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= limit_s:
            self._load_history.popleft()
        if self._load_history and self._load_history[0][0] <= limit_s:
            reported = self._load_history[0][1]
        return reported


def service_time(rng: random.Random) -> float:
    """Return the service time of one request at a target of speed 1, log-normal in seconds."""
    return MEAN_SERVICE_S * rng.lognormvariate(-(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA)
