"""Limit what all connections of a process hold together, and count what is refused for it."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from chervilmill.aio._parse_turns import ParseTurns
from chervilmill.logs import log_problem

# Covers a few round trips on a link between regions, at one VM's share of the link's rate.
READ_AHEAD_BYTES = 256 * 1024
# While much is held, a connection reads no further than a whole head of 16,384 bytes needs.
LOW_READ_AHEAD_BYTES = 32 * 1024
# Above this share of the limit, read-ahead is low and no body is kept to be sent again.
LOW_MEMORY_SHARE = 0.5
# Above this share, new requests are refused, before connections with accepted ones are cut.
REFUSING_SHARE = 0.85
# A client library that pipelines at all sends a few requests ahead.
MAX_PIPELINED_REQUESTS = 64
UNLIMITED = 2**62
LOG_INTERVAL_S = 1.0  # of the lines about one limit; they would be one a connection under attack


class CallerLimit(Enum):
    """The limit for which a caller was refused or cut off; the values appear in metrics."""

    CONNECTIONS = "connections"  # refused with 503, or closed if many are being refused
    HELD_BYTES_NEW = "held_bytes_new"  # a new request was refused with 503
    HELD_BYTES_LARGEST = "held_bytes_largest"  # the connection that held the most was closed
    PIPELINED = "pipelined"  # refused with 503
    LONG_HEADS = "long_heads"  # refused with 503, as others wait to be parsed
    NOT_READ = "not_read"  # the caller read nothing of an answer, so its connection was closed


class Holder(Protocol):
    """A connection that holds bytes."""

    held_bytes: int

    def release_replay_buffer(self) -> bool:
        """Drop what is held only to be sent again, and return whether there was any."""
        ...

    def cut(self) -> None:
        """Close the connection at once and release what it holds."""


class HeldBytes:
    """The bytes that the connections of a process hold for callers, and their limit.

    Input that was not parsed, output that was not sent and bodies kept to be sent again count, also
    on connections to targets. Above the limit, the connection of a caller that holds the most gives
    up its replay buffer, or is closed if it has none, until the rest is below.
    """

    __slots__ = ("_low_memory_bytes", "_refusing_bytes", "callers", "max_bytes", "total", "on_cut")

    def __init__(self, max_bytes: int = UNLIMITED) -> None:
        self.max_bytes = max_bytes
        self.total = 0
        self.callers: set[Holder] = set()
        self.on_cut: Callable[[], None] = lambda: None
        self._low_memory_bytes = int(max_bytes * LOW_MEMORY_SHARE)
        self._refusing_bytes = int(max_bytes * REFUSING_SHARE)

    @property
    def is_low_on_memory(self) -> bool:
        """Return whether connections should hold less than they usually may."""
        return self.total > self._low_memory_bytes

    @property
    def is_full(self) -> bool:
        """Return whether new requests are refused, before connections have to be cut."""
        return self.total > self._refusing_bytes

    @property
    def read_ahead_bytes(self) -> int:
        """Return how much one connection may hold unparsed before it stops reading."""
        return LOW_READ_AHEAD_BYTES if self.is_low_on_memory else READ_AHEAD_BYTES

    def enforce(self) -> None:
        """Drop replay buffers and cut callers' connections until the limit holds.

        The connection that holds the most comes first, and is only cut if it has no such buffer.
        """
        while self.total > self.max_bytes and self.callers:
            largest = max(self.callers, key=lambda holder: holder.held_bytes)
            if not largest.held_bytes:
                return
            if not largest.release_replay_buffer():
                largest.cut()
                self.on_cut()


class LimitCounter:
    """Counts what was refused or cut by limit, and logs at most one line a second for each."""

    def __init__(self, clock: Callable[[], float], on_limit: Callable[[CallerLimit], None]) -> None:
        self._clock = clock
        self._on_limit = on_limit
        self._unlogged: Counter[CallerLimit] = Counter()
        self._logged_s: dict[CallerLimit, float] = {}

    def count(self, limit: CallerLimit, server: str, peer: str) -> None:
        """Count one caller, and log the number since the last line if that is old enough."""
        self._on_limit(limit)
        self._unlogged[limit] += 1
        now_s = self._clock()
        if now_s - self._logged_s.get(limit, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[limit] = now_s
        count = self._unlogged.pop(limit)
        log_problem(
            "caller limit reached",
            step="limit callers",
            limit=limit.value,
            server=server,
            peer=peer,
            count=count,
        )


@dataclass(slots=True)
class ServerGuard:
    """The limits of one server: its connections, and what they hold with those of other servers."""

    name: str
    held: HeldBytes
    max_connections: int = UNLIMITED
    max_pipelined: int = MAX_PIPELINED_REQUESTS
    counter: LimitCounter | None = None
    parse_turns: ParseTurns = field(default_factory=ParseTurns)
    refused: set[Holder] = field(default_factory=set)  # connections that are being refused

    def count(self, limit: CallerLimit, peer: str) -> None:
        """Count one caller that was refused or cut."""
        if self.counter is not None:
            self.counter.count(limit, self.name, peer)
