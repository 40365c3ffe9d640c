"""Detect callers that disconnect and deadlines that pass while requests are in flight."""

import heapq
import itertools
import select
import socket
import threading
import time
from collections.abc import Callable
from functools import partial

from chervilmill.logs import log_problem
from chervilmill.supervision import supervised_thread
from chervilmill.targets import CancelReason

MAX_WAIT_S = 1.0
WAKE_BYTES = 4096
MAX_CLOSED_TIMERS = 256  # a closed timer stays in the heap until about this many are closed
_HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Timer:
    """A call that is due at some time; `close` cancels it."""

    __slots__ = ("_action", "is_closed")

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self.is_closed = False

    def fire(self) -> None:
        """Make the call unless it was cancelled."""
        if not self.is_closed:
            self._action()

    def close(self) -> None:
        """Cancel the call."""
        self.is_closed = True


class WatchedRequest:
    """A watched request; call `close` before the caller's socket is closed."""

    __slots__ = ("_on_end", "_timer", "_watch", "fileno")

    def __init__(
        self, watch: "CallerWatch", fileno: int, on_end: Callable[[CancelReason], None]
    ) -> None:
        self._watch = watch
        self._on_end = on_end
        self._timer = Timer(lambda: on_end(CancelReason.DEADLINE))
        self.fileno = fileno

    @property
    def timer(self) -> Timer:
        """Return the timer for the deadline."""
        return self._timer

    def report_caller_gone(self) -> None:
        """Notify the request that its caller has gone away."""
        if not self._timer.is_closed:
            self._on_end(CancelReason.CALLER_GONE)

    def close(self) -> None:
        """End the watch."""
        self._timer.close()
        self._watch.forget(self)


class CallerWatch:
    """Watches the sockets and deadlines of all requests in flight, in one thread.

    Only the end of a caller's sending side or connection is watched, not its input. A pipelined
    request therefore causes no event.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._by_fileno: dict[int, WatchedRequest] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._lock = threading.Lock()
        self._is_stopped = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._epoll.register(self._wake_reader.fileno(), select.EPOLLIN)
        self._thread = supervised_thread("caller watch", self._run)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._is_stopped = True
        self._wake_writer.send(b"\0")

    def watch(
        self, sock: socket.socket, deadline_s: float, on_end: Callable[[CancelReason], None]
    ) -> WatchedRequest:
        """Call `on_end` when the caller goes away or the deadline passes.

        Each of the two causes at most one call.
        """
        watched = WatchedRequest(self, sock.fileno(), on_end)
        with self._lock:
            self._by_fileno[watched.fileno] = watched
            self._epoll.register(watched.fileno, _HANGUP_EVENTS | select.EPOLLONESHOT)
        self._add_timer(deadline_s, watched.timer)
        return watched

    def call_at(self, time_s: float, action: Callable[[], None]) -> Timer:
        """Make a call at a time on the monotonic clock.

        The call must be short, as it runs in the thread that watches all requests.
        """
        timer = Timer(action)
        self._add_timer(time_s, timer)
        return timer

    def forget(self, watched: WatchedRequest) -> None:
        """End a watch."""
        with self._lock:
            if self._by_fileno.get(watched.fileno) is watched:
                del self._by_fileno[watched.fileno]
                self._epoll.unregister(watched.fileno)

    def _add_timer(self, time_s: float, timer: Timer) -> None:
        with self._lock:
            is_next = not self._timers or time_s < self._timers[0][0]
            heapq.heappush(self._timers, (time_s, next(self._sequence), timer))
            if len(self._timers) > MAX_CLOSED_TIMERS + 3 * len(self._by_fileno):
                self._timers = [item for item in self._timers if not item[2].is_closed]
                heapq.heapify(self._timers)
        if is_next:
            self._wake_writer.send(b"\0")

    def _run(self) -> None:
        while not self._is_stopped:
            for fileno, _ in self._epoll.poll(self._wait_s()):
                _call(partial(self._on_event, fileno))
            for timer in self._due_timers():
                _call(timer.fire)

    def _on_event(self, fileno: int) -> None:
        if fileno == self._wake_reader.fileno():
            self._wake_reader.recv(WAKE_BYTES)
            return
        with self._lock:
            watched = self._by_fileno.get(fileno)
        if watched is not None:
            watched.report_caller_gone()

    def _wait_s(self) -> float:
        with self._lock:
            if not self._timers:
                return MAX_WAIT_S
            return min(MAX_WAIT_S, max(0.0, self._timers[0][0] - time.monotonic()))

    def _due_timers(self) -> list[Timer]:
        due = []
        with self._lock:
            while self._timers and self._timers[0][0] <= time.monotonic():
                due.append(heapq.heappop(self._timers)[2])
        return due


def _call(action: Callable[[], None]) -> None:
    """Make a call whose error must not cost the other requests their cancellation."""
    try:
        action()
    except Exception as exc:
        log_problem("call failed", step="caller watch", peer="self", error=repr(exc)[:256])
