"""Keep connections to targets for reuse, since a new one costs the target and the caller time."""

import asyncio

from chervilmill.aio import ClientConnection, connect
from chervilmill.routing import Target

CONNECT_TIMEOUT_S = 0.5  # four round trips between the farthest regions
MAX_IDLE = 8  # a target; more than its slots are seldom in use by one entry VM


class TargetPool:
    """Hold idle connections by lifetime of a target; the last one used is taken first."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}

    async def take(self, target: Target) -> ClientConnection:
        """Return an idle connection or a new one; raises ConnectError."""
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get((target.name, target.incarnation), [])
        while idle:
            conn = idle.pop()
            if not conn.is_lost and not conn.has_ended and now_s < conn.idle_until_s:
                return conn
            conn.abort()
        return await connect(target.address, CONNECT_TIMEOUT_S)

    def put_back(self, target: Target, conn: ClientConnection) -> None:
        """Keep a connection whose exchange has ended whole, and close any other."""
        idle = self._idle.setdefault((target.name, target.incarnation), [])
        if len(idle) < MAX_IDLE and conn.finish(asyncio.get_running_loop().time()):
            idle.append(conn)
        else:
            conn.abort()

    def drop(self, target: Target) -> None:
        """Close the idle connections to earlier lifetimes under a target's name."""
        for key in [key for key in self._idle if key[0] == target.name]:
            for conn in self._idle.pop(key):
                conn.abort()
