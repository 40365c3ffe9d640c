"""Keep connections to targets for reuse, since a new one costs the target and the caller time."""

import asyncio
from collections import Counter
from enum import Enum

from chervilmill.aio import ClientConnection, connect
from chervilmill.routing import Target

CONNECT_TIMEOUT_S = 0.5  # four round trips between the farthest regions
DROPPED_SHARE = 0.5  # of the rest after which a target dropped a connection unannounced
DROPPED_FOR_S = 10.0  # about as long as targets keep idle connections
MIN_IDLE_S = 1.0  # a connection that broke after a shorter rest broke for another reason
MAX_IDLE = 8  # a target; more than its slots are seldom in use by one entry VM


class OpenReason(Enum):
    """Say why a connection was opened."""

    FIRST = "first"  # none was kept to this lifetime of the target
    BUSY = "busy"  # all that are kept were in use
    CLOSED = "closed"  # the target had closed those that were idle
    RESTED = "rested"  # those idle had rested longer than the target is known to allow


class TargetPool:
    """Hold idle connections by lifetime of a target; the last one used is taken first.

    `opened` counts the connections opened, by reason.
    """

    def __init__(self) -> None:
        self.opened: Counter[OpenReason] = Counter()
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self._dropped: dict[str, tuple[float, float]] = {}

    async def take(self, target: Target) -> ClientConnection:
        """Return an idle connection or a new one; raises ConnectError."""
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get((target.name, target.incarnation))
        reason = OpenReason.FIRST if idle is None else OpenReason.BUSY
        longest_s = self._longest_idle_s(target.service, now_s)
        while idle:
            conn = idle.pop()
            is_open = not conn.is_lost and not conn.has_ended
            is_rested = now_s >= conn.idle_until_s or now_s - conn.idle_since_s >= longest_s
            if is_open and not is_rested:
                return conn
            reason = OpenReason.RESTED if is_open else OpenReason.CLOSED
            conn.abort()
        self.opened[reason] += 1
        return await connect(target.address, CONNECT_TIMEOUT_S)

    def put_back(self, target: Target, conn: ClientConnection) -> None:
        """Keep a connection whose exchange has ended whole, and close any other."""
        idle = self._idle.setdefault((target.name, target.incarnation), [])
        if len(idle) < MAX_IDLE and conn.finish(asyncio.get_running_loop().time()):
            idle.append(conn)
        else:
            conn.abort()

    def learn_dropped(self, target: Target, idle_s: float) -> None:
        """Take in that a connection was dropped by its target after being idle.

        Connections of the service are then reused only after shorter rests, for a while.
        """
        if idle_s < 2 * MIN_IDLE_S:
            return
        now_s = asyncio.get_running_loop().time()
        longest_s = min(self._longest_idle_s(target.service, now_s), idle_s * DROPPED_SHARE)
        self._dropped[target.service] = (max(longest_s, MIN_IDLE_S), now_s + DROPPED_FOR_S)

    def _longest_idle_s(self, service: str, now_s: float) -> float:
        longest_s, until_s = self._dropped.get(service, (float("inf"), 0.0))
        return longest_s if now_s < until_s else float("inf")

    def drop(self, target: Target) -> None:
        """Close the idle connections to a target, of all its lifetimes.

        Where the one used last turns out to be broken, those that rested longer are broken too.
        """
        for key in [key for key in self._idle if key[0] == target.name]:
            for conn in self._idle.pop(key):
                conn.abort()
