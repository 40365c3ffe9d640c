"""Share flow control between client and server connections."""

import asyncio
from typing import Any

import h11

from chervilmill.aio._sockets import notice_silence

READ_AHEAD_BYTES = 256 * 1024  # a few round trips of a region link at a VM's share of its rate


class H11Connection(asyncio.Protocol):
    """Pass bytes between a transport and h11, pausing the side that is ahead."""

    def __init__(self, h11_connection: h11.Connection) -> None:
        self._h11 = h11_connection
        self._transport: asyncio.Transport | None = None
        self._unread = 0
        self._has_news = asyncio.Event()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_paused = False
        self.is_lost = False
        self.has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a connected transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        notice_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Give bytes to the parser and stop reading where it is too far behind."""
        self._h11.receive_data(data)
        self._unread += len(data)
        if self._unread > READ_AHEAD_BYTES and self._transport and not self._is_paused:
            self._transport.pause_reading()
            self._is_paused = True
        self._has_news.set()

    def eof_received(self) -> bool:
        """Note that the peer sends no more."""
        self.has_ended = True
        self._feed_end()
        self._has_news.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever waits for the connection."""
        self.is_lost = True
        if exc is None:
            self._feed_end()
        self._has_news.set()
        self._can_write.set()

    def pause_writing(self) -> None:
        """Hold writers back."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._can_write.set()

    @property
    def host(self) -> str:
        """Return the peer's address as text."""
        peer = self._transport.get_extra_info("peername") if self._transport else None
        return f"{peer[0]}:{peer[1]}" if peer else "unknown"

    def abort(self) -> None:
        """Drop the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def _feed_end(self) -> None:
        if self._h11.their_state is not h11.ERROR:
            self._h11.receive_data(b"")

    def _next_event(self) -> Any:
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            self._unread = 0
            if self._is_paused and self._transport and not self.is_lost:
                self._transport.resume_reading()
                self._is_paused = False
        return event

    async def _wait_for_news(self) -> None:
        self._has_news.clear()
        await self._has_news.wait()

    def _write(self, event: Any) -> None:
        data = self._h11.send(event)
        if data and self._transport is not None and not self.is_lost:
            self._transport.write(data)

    async def _flush(self) -> None:
        await self._can_write.wait()
