"""Bound the queue of less urgent kinds by the queue that more urgent ones can afford.

Load pattern: kinds of different urgency, work and objective that share a service. A kind with a
longer objective can wait longer. It would fill the queues of the targets to a length with which a
more urgent kind with a shorter objective is late, so that only the more urgent kind is refused.

A kind is what a route and a priority have in common, because the priority of an organisation may
replace that of its route. Each VM knows the kinds that it received itself.
"""

import math

LESS_URGENT_WAIT_SHARE = (
    0.7  # of the wait of a more urgent kind, which finds room at the end of the queue
)
KIND_TTL_S = 4.0  # several requests of a kind at a VM that gets one a second
MAX_KINDS = 64  # of one service; configurations have about 20 routes


class FairWaits:
    """The waits that the kinds of one service can afford, as of their last requests."""

    __slots__ = ("_by_kind",)

    def __init__(self) -> None:
        self._by_kind: dict[tuple[int, str], tuple[float, float]] = {}

    def __len__(self) -> int:
        """Return the number of kinds with a record."""
        return len(self._by_kind)

    def record(self, route: str, priority: int, wait_s: float, now_s: float) -> None:
        """Record the wait that a request can afford.

        A wait of 0 or less means that the kind is late without a queue; it bounds no other kind.
        """
        kind = (priority, route)
        if kind not in self._by_kind and len(self._by_kind) >= MAX_KINDS:
            del self._by_kind[min(self._by_kind, key=lambda name: self._by_kind[name][1])]
        self._by_kind[kind] = (wait_s, now_s)

    def longest_s(self, priority: int, now_s: float) -> float:
        """Return for how long a request of a priority may queue at most; infinite without bound."""
        return min(
            (
                LESS_URGENT_WAIT_SHARE * wait_s
                for (other, _), (wait_s, at_s) in self._by_kind.items()
                if other < priority and wait_s > 0 and now_s - at_s < KIND_TTL_S
            ),
            default=math.inf,
        )
