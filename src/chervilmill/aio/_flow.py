"""Control the flow of bytes on client and server connections."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import h11

from chervilmill.aio._guard import HeldBytes
from chervilmill.aio._sockets import (
    count_unacknowledged,
    enable_dead_peer_detection,
    has_closed_window,
)

# One read of asyncio has up to 256 KiB by default, by which a connection may pass its read-ahead.
MAX_READ_BYTES = 64 * 1024
# Unsent bytes above which a connection waits for its peer to read.
MAX_UNSENT_BYTES = 32 * 1024
# Of the parts of a body that have arrived, so many are passed on as one.
BATCH_BYTES = 16 * 1024
MAX_BATCH_PARTS = 64
# A peer that acknowledges nothing at so many checks in a row, in 1.5 s or more, counts as gone. It
# is below the grace period of a retry; a round trip between regions takes about 0.1 s.
PEER_CHECK_S = 0.25
MAX_SILENT_CHECKS = 7


@dataclass(frozen=True, slots=True)
class BodyBatch:
    """Parts of a body that had arrived, joined, and the event of h11 behind them.

    `event` is None if a further part may follow at once. `is_small` says that there were
    MAX_BATCH_PARTS with few bytes: more of the kind take long to parse for their length.
    """

    data: bytes
    event: Any = None
    is_small: bool = False


class H11Connection(asyncio.Protocol):
    """A protocol that passes bytes between a transport and h11, and pauses the faster side.

    `held_bytes` is the part of this connection in `held`: the bytes that the parser holds, those
    that could not be sent yet, and those that its user keeps.

    A peer that leaves bytes unacknowledged for some time counts as gone. One that has acknowledged
    them and closed its window only reads slowly, for as long as the user of the connection allows.
    """

    def __init__(self, h11_connection: h11.Connection, held: HeldBytes) -> None:
        self._h11 = h11_connection
        self._transport: asyncio.Transport | None = None
        self._held = held
        self.held_bytes = 0
        self._kept_bytes = 0
        self._parse_error: h11.RemoteProtocolError | None = None
        self._changed = asyncio.Event()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_reading_paused = False
        self._written_bytes = 0
        self._taken_bytes = 0
        self._silent_checks = 0
        self._peer_check: asyncio.TimerHandle | None = None
        self.is_lost = False
        self.is_peer_silent = False
        self.has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable dead peer detection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_dead_peer_detection(transport)
        if hasattr(transport, "max_size"):
            transport.max_size = MAX_READ_BYTES
        with suppress(NotImplementedError):  # a transport may have no flow control
            transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser, and pause reading while too many are unparsed."""
        if self.is_lost:
            return
        self._h11.receive_data(data)
        self._update_held()
        if (
            not self._is_reading_paused
            and self._parser_bytes > self._held.read_ahead_bytes
            and self._transport
        ):
            self._pause_reading(self._transport)
        self._changed.set()
        if self._held.total > self._held.max_bytes:
            self._held.enforce()

    def eof_received(self) -> bool:
        """Record that the peer has ended its side of the connection."""
        self.has_ended = True
        self._feed_eof()
        self._changed.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss and wake tasks that wait to read or write.

        The parser is not told of an end of the stream: only the peer's own end, which
        `eof_received` reports, may end an answer without a length. A local abort is a loss as well.
        """
        self._release()
        self._changed.set()
        self._can_write.set()
        if self._peer_check is not None:
            self._peer_check.cancel()

    def pause_writing(self) -> None:
        """Block writers while the transport's buffer is full."""
        self._can_write.clear()
        self._update_held()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._can_write.set()
        self._update_held()

    def keep(self, size: int) -> None:
        """Count bytes that the user of the connection keeps; a negative size releases them."""
        self._kept_bytes += size
        self._update_held()

    @property
    def host(self) -> str:
        """Return the peer's address as `IP:port`, or `unknown`."""
        peer = self._transport.get_extra_info("peername") if self._transport else None
        return f"{peer[0]}:{peer[1]}" if peer else "unknown"

    @property
    def has_unsent(self) -> bool:
        """Return whether this process, and not the system, holds bytes for the peer."""
        transport = self._transport
        return not self.is_lost and transport is not None and transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Close the connection at once, without sending buffered bytes."""
        if self._transport is not None:
            self._transport.abort()

    def cut(self) -> None:
        """Close the connection at once, and count what it holds as released."""
        self._release()
        self.abort()

    def close(self) -> None:
        """Close the connection once buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def _feed_eof(self) -> None:
        if self._h11.their_state is not h11.ERROR:
            self._h11.receive_data(b"")

    @property
    def _parser_bytes(self) -> int:
        """Return how many bytes the parser holds.

        `trailing_data` would copy all of them, for each of the requests that they contain.
        """
        return len(self._h11._receive_buffer)

    def _update_held(self) -> None:
        if self.is_lost:
            return
        size = self._parser_bytes + self._kept_bytes
        if not self._can_write.is_set() and self._transport is not None:
            size += self._transport.get_write_buffer_size()
        self._held.total += size - self.held_bytes
        self.held_bytes = size

    def _release(self) -> None:
        self.is_lost = True
        self._held.total -= self.held_bytes
        self.held_bytes = 0

    def _next_event(self) -> Any:
        event = self._h11.next_event()
        self._update_held()
        if self._is_reading_paused and (event is h11.NEED_DATA or self._has_room):
            self._resume_reading()
        return event

    def _next_batch(self) -> BodyBatch:
        """Return the next parts of a body, or raise RemoteProtocolError behind the last of them."""
        if self._parse_error is not None:
            raise self._parse_error
        parts: list[bytes] = []
        size = 0
        while size < BATCH_BYTES and len(parts) < MAX_BATCH_PARTS:
            try:
                event = self._next_event()
            except h11.RemoteProtocolError as exc:
                if not parts:
                    raise
                self._parse_error = exc
                break
            if not isinstance(event, h11.Data):
                return BodyBatch(b"".join(parts), event)
            parts.append(bytes(event.data))
            size += len(event.data)
        is_small = self._parse_error is None and size < BATCH_BYTES
        return BodyBatch(b"".join(parts), is_small=is_small)

    @property
    def _has_read_body(self) -> bool:
        """Return whether the body of the peer's present message was read to its end."""
        return self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _begin_next_cycle(self) -> None:
        """Let the connection carry another exchange."""
        self._h11.start_next_cycle()
        # A whole exchange may be parsed without a need for more data, which resumes reading.
        if self._is_reading_paused and self._has_room:
            self._resume_reading()

    @property
    def _has_room(self) -> bool:
        return self._parser_bytes <= self._held.read_ahead_bytes // 2

    def _pause_reading(self, transport: asyncio.Transport) -> None:
        transport.pause_reading()
        self._is_reading_paused = True

    def _resume_reading(self) -> None:
        if self._transport and not self.is_lost:
            self._transport.resume_reading()
            self._is_reading_paused = False

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _write(self, event: Any, h11_connection: h11.Connection | None = None) -> None:
        data = (h11_connection or self._h11).send(event)
        if data and self._transport is not None and not self.is_lost:
            self._transport.write(data)
            self._written_bytes += len(data)
            if self._peer_check is None:
                self._schedule_peer_check()
            if not self._can_write.is_set():
                self._update_held()
                if self._held.total > self._held.max_bytes:
                    self._held.enforce()

    async def _flush(self) -> None:
        if not self._can_write.is_set():
            await self._can_write.wait()

    def _schedule_peer_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._peer_check = loop.call_later(PEER_CHECK_S, self._check_peer)

    def _check_peer(self) -> None:
        """Tell a peer that is gone from one that reads slowly, until it has taken all bytes."""
        self._peer_check = None
        if self.is_lost or self._transport is None:
            return
        unread = self._count_unread(self._transport)
        taken = self._written_bytes - unread
        has_taken, self._taken_bytes = taken > self._taken_bytes, taken
        is_silent = unread > 0 and not has_taken and not self._is_peer_slow(self._transport)
        self._silent_checks = self._silent_checks + 1 if is_silent else 0
        if self._silent_checks >= MAX_SILENT_CHECKS:
            self.is_peer_silent = True
            self.abort()
            return
        self._handle_unread(unread, has_taken=has_taken)
        if unread and not self.is_lost:
            self._schedule_peer_check()

    def _is_peer_slow(self, transport: asyncio.Transport) -> bool:
        sock = transport.get_extra_info("socket")
        return sock is not None and has_closed_window(sock)

    def _count_unread(self, transport: asyncio.Transport) -> int:
        """Return how many bytes the peer has not taken, here and in the system's buffer."""
        sock = transport.get_extra_info("socket")
        return transport.get_write_buffer_size() + (count_unacknowledged(sock) if sock else 0)

    def _handle_unread(self, unread: int, *, has_taken: bool) -> None:
        """Decide about a peer that has left a number of bytes unread.

        Called at each check; `has_taken` says whether the peer has taken any since the last one.
        """
