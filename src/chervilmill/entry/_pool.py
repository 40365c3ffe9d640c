"""Reuse connections to targets, since opening one costs the target and the caller time."""

import asyncio
from collections import Counter
from enum import Enum

from chervilmill.aio import ClientConnection, HeldBytes, connect
from chervilmill.routing import Target

CONNECT_TIMEOUT_S = 0.5  # four round trips between the most distant regions
# After a target drops an idle connection unannounced, other connections are reused only if their
# idle time is below this share of the dropped connection's idle time.
DROPPED_IDLE_SHARE = 0.5
# How long a limit on the idle time applies: about as long as targets keep idle connections.
IDLE_LIMIT_VALID_S = 10.0
# The shortest limit. A connection that broke after less than twice this time, which would give a
# shorter limit, broke for another reason.
MIN_IDLE_LIMIT_S = 1.0
# One entry VM seldom uses more connections to a target than the target has slots.
MAX_IDLE_PER_TARGET = 8


class OpenReason(Enum):
    """Why a connection was opened; the values appear in logs."""

    FIRST = "first"  # no connection to this lifetime of the target was released yet
    BUSY = "busy"  # all connections kept for reuse were in use
    CLOSED = "closed"  # the target had closed the idle connections
    UNIDENTIFIED = "unidentified"  # for a request without an id
    PROBE = "probe"  # to find out whether targets can be reached at all
    RESTED = "rested"  # the connections were idle for longer than the target is known to allow


class TargetPool:
    """A pool of idle connections for each lifetime of a target, reused last in, first out.

    `opened` counts the opened connections by reason. What connections hold counts in `held`.
    """

    def __init__(self, held: HeldBytes | None = None) -> None:
        self._held = held or HeldBytes()
        self.opened: Counter[OpenReason] = Counter()
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self._idle_limits: dict[str, tuple[float, float]] = {}

    async def open_probe(self, target: Target) -> ClientConnection:
        """Open a connection that no request uses, or raise ConnectError."""
        self.opened[OpenReason.PROBE] += 1
        return await connect(target.address, CONNECT_TIMEOUT_S, self._held)

    async def open_unshared(self, target: Target) -> ClientConnection:
        """Open a connection for one request, which is not to be kept, or raise ConnectError."""
        self.opened[OpenReason.UNIDENTIFIED] += 1
        return await connect(target.address, CONNECT_TIMEOUT_S, self._held)

    async def acquire(self, target: Target) -> ClientConnection:
        """Return an idle connection or open a new one, which may raise ConnectError."""
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get((target.name, target.incarnation))
        reason = OpenReason.FIRST if idle is None else OpenReason.BUSY
        limit_s = self._idle_limit_s(target.service, now_s)
        while idle:
            conn = idle.pop()
            is_open = not conn.is_lost and not conn.has_ended
            is_too_idle = now_s >= conn.idle_until_s or now_s - conn.idle_since_s >= limit_s
            if is_open and not is_too_idle:
                return conn
            reason = OpenReason.RESTED if is_open else OpenReason.CLOSED
            conn.abort()
        self.opened[reason] += 1
        return await connect(target.address, CONNECT_TIMEOUT_S, self._held)

    def release(self, target: Target, conn: ClientConnection) -> None:
        """Return a connection to the pool.

        The connection is closed instead if its exchange is incomplete or if the pool has enough
        connections to the target.
        """
        idle = self._idle.setdefault((target.name, target.incarnation), [])
        if len(idle) < MAX_IDLE_PER_TARGET and conn.finish_exchange(
            asyncio.get_running_loop().time()
        ):
            idle.append(conn)
        else:
            conn.abort()

    def put_back(self, target: Target, conn: ClientConnection) -> None:
        """Return a connection on which nothing was sent, or close it if it was never used."""
        idle = self._idle.setdefault((target.name, target.incarnation), [])
        if conn.exchanges and len(idle) < MAX_IDLE_PER_TARGET:
            idle.append(conn)
        else:
            conn.abort()

    def record_drop(self, target: Target, idle_s: float) -> None:
        """Record that a target dropped a connection that had been idle for a time.

        For a while, connections to the service are then reused only after shorter idle times.
        """
        if idle_s < 2 * MIN_IDLE_LIMIT_S:
            return
        now_s = asyncio.get_running_loop().time()
        limit_s = min(self._idle_limit_s(target.service, now_s), idle_s * DROPPED_IDLE_SHARE)
        self._idle_limits[target.service] = (
            max(limit_s, MIN_IDLE_LIMIT_S),
            now_s + IDLE_LIMIT_VALID_S,
        )

    def _idle_limit_s(self, service: str, now_s: float) -> float:
        limit_s, until_s = self._idle_limits.get(service, (float("inf"), 0.0))
        return limit_s if now_s < until_s else float("inf")

    def close_idle(self, target: Target) -> None:
        """Close the idle connections to all lifetimes of a target.

        If the most recently used connection is broken, the connections that have been idle for
        longer are broken too.
        """
        for key in [key for key in self._idle if key[0] == target.name]:
            for conn in self._idle.pop(key):
                conn.abort()
