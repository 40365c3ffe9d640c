"""Control the flow of bytes on client and server connections."""

import asyncio
from typing import Any

import h11

from chervilmill.aio._sockets import enable_dead_peer_detection

# Covers a few round trips on a link between regions, at one VM's share of the link's rate.
READ_AHEAD_BYTES = 256 * 1024


class H11Connection(asyncio.Protocol):
    """A protocol that passes bytes between a transport and h11, and pauses the faster side."""

    def __init__(self, h11_connection: h11.Connection) -> None:
        self._h11 = h11_connection
        self._transport: asyncio.Transport | None = None
        self._unparsed_bytes = 0
        self._changed = asyncio.Event()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_reading_paused = False
        self.is_lost = False
        self.has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable dead peer detection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_dead_peer_detection(transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser, and pause reading while too many are unparsed."""
        self._h11.receive_data(data)
        self._unparsed_bytes += len(data)
        if (
            self._unparsed_bytes > READ_AHEAD_BYTES
            and self._transport
            and not self._is_reading_paused
        ):
            self._transport.pause_reading()
            self._is_reading_paused = True
        self._changed.set()

    def eof_received(self) -> bool:
        """Record that the peer has ended its side of the connection."""
        self.has_ended = True
        self._feed_eof()
        self._changed.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss and wake tasks that wait to read or write."""
        self.is_lost = True
        if exc is None:
            self._feed_eof()
        self._changed.set()
        self._can_write.set()

    def pause_writing(self) -> None:
        """Block writers while the transport's buffer is full."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._can_write.set()

    @property
    def host(self) -> str:
        """Return the peer's address as `IP:port`, or `unknown`."""
        peer = self._transport.get_extra_info("peername") if self._transport else None
        return f"{peer[0]}:{peer[1]}" if peer else "unknown"

    def abort(self) -> None:
        """Close the connection at once, without sending buffered bytes."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def _feed_eof(self) -> None:
        if self._h11.their_state is not h11.ERROR:
            self._h11.receive_data(b"")

    def _next_event(self) -> Any:
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            self._resume_reading()
        return event

    def _begin_next_cycle(self) -> None:
        """Let the connection carry another exchange."""
        self._h11.start_next_cycle()
        # A whole exchange may be parsed without a need for more data, which resumes reading.
        self._resume_reading()

    def _resume_reading(self) -> None:
        self._unparsed_bytes = 0
        if self._is_reading_paused and self._transport and not self.is_lost:
            self._transport.resume_reading()
            self._is_reading_paused = False

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _write(self, event: Any, h11_connection: h11.Connection | None = None) -> None:
        data = (h11_connection or self._h11).send(event)
        if data and self._transport is not None and not self.is_lost:
            self._transport.write(data)

    async def _flush(self) -> None:
        await self._can_write.wait()
