"""Record how late the event loop was, from ticks that are due at a fixed interval.

What a VM observes while its loop is late says little of others: answers wait in their sockets while
the time-outs of their calls end, and digests are older than they seem. A tick that runs late shows
by how much, since all that becomes ready in one turn of the loop waits for the same callbacks.
"""

from collections import deque

TICK_S = 0.1
KEPT_S = 30.0  # longer than the age at which copies count as unconfirmed


class Lateness:
    """The times at which the loop was late; all times are readings of one clock in seconds."""

    def __init__(self, now_s: float) -> None:
        self._due_s = now_s + TICK_S
        self._spans: deque[tuple[float, float]] = deque()

    def record_tick(self, now_s: float) -> float:
        """Record that a tick ran, the next one of which is due in TICK_S; return how late it was.

        The tick was due within TICK_S of the one before.
        """
        late_s = max(0.0, now_s - self._due_s)
        if late_s:
            self._spans.append((self._due_s, now_s))
        while self._spans and self._spans[0][1] < now_s - KEPT_S:
            self._spans.popleft()
        self._due_s = now_s + TICK_S
        return late_s

    def longest_since(self, at_s: float, now_s: float) -> float:
        """Return the longest time for which the loop was late at once between two times."""
        present_s = now_s - max(at_s, self._due_s)
        past_s = (until_s - max(at_s, from_s) for from_s, until_s in self._spans)
        return max(0.0, present_s, *past_s)
