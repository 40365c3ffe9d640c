"""Limit what one connection of a caller may hold, and for how long."""

import asyncio
import socket
from typing import Protocol

import h11

from chervilmill.aio._flow import H11Connection
from chervilmill.aio._guard import CallerLimit, ServerGuard
from chervilmill.aio._headers import MAX_LISTED_HEADERS, Headers
from chervilmill.aio._request import CallerGoneError
from chervilmill.aio._sockets import (
    discard_unsent_on_close,
    has_peer_closed,
    limit_delivery_after_close,
)

LINGER_S = 1.0  # time for a refused caller to read its answer while it still sends its body
# A caller that takes nothing of an answer for this long is cut, whatever its deadline.
UNREAD_LIMIT_S = 10.0
# While a connection is not read, its end is not seen, so it is looked for at this interval.
GONE_CHECK_S = 0.25
# Connections over the limit that wait for their first bytes, so that these are answered.
MAX_REFUSED_CONNECTIONS = 32
RETRY_AFTER: Headers = [(b"retry-after", b"1.00")]
REFUSAL = b"HTTP/1.1 503 \r\nretry-after: 1.00\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"


class ReplayBuffer(Protocol):
    """A buffer of bytes that were sent and may be sent again."""

    def release(self) -> bool:
        """Drop them unless they are about to be sent, and return whether there were any."""
        ...


class LimitedConnection(H11Connection):
    """A caller's connection within the limits of a server, with the task that serves it.

    `replay_buffer` is that of the present request, which is released if memory is full.
    """

    def __init__(self, h11_connection: h11.Connection, guard: ServerGuard) -> None:
        super().__init__(h11_connection, guard.held)
        self._guard = guard
        self._requests_since_read = 0
        self._unparsed_lines = 0  # also of bodies; at most so many headers are unparsed
        self.replay_buffer: ReplayBuffer | None = None
        self._is_refused = False
        self._is_closing = False
        self._unread_since_s: float | None = None
        self._task: asyncio.Task[None] | None = None

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; the first of a refused connection are answered with 503.

        What arrives while the connection closes is dropped.
        """
        if self._is_closing:
            return
        if self._is_refused:
            self._answer_refused()
            return
        self._requests_since_read = 0
        self._unparsed_lines += data.count(b"\n")
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task that serves the connection."""
        super().connection_lost(exc)
        self._guard.refused.discard(self)
        self._held.callers.discard(self)
        self._cancel_task()

    def abort(self) -> None:
        """Close the connection at once, with a reset if an answer was begun and is not complete.

        A caller with HTTP/1.0 takes an orderly close for the end of an answer.
        """
        is_begun = self._h11.our_state is h11.SEND_BODY
        if not self.is_lost and self._transport is not None:
            if is_begun:
                discard_unsent_on_close(self._transport)
            elif self._count_unread(self._transport):
                limit_delivery_after_close(self._transport, UNREAD_LIMIT_S)
        super().abort()

    def close(self) -> None:
        """End the connection, and close it once the caller has taken what was written.

        A caller that takes nothing for UNREAD_LIMIT_S is cut, which the system would not do for a
        connection that is closed.
        """
        transport = self._transport
        if transport is None or self._is_closing:
            return
        self._is_closing = True
        if self.is_lost or not self._count_unread(transport):
            super().close()
            return
        if transport.can_write_eof():
            transport.write_eof()
        if self._peer_check is None:
            self._schedule_peer_check()

    def release_replay_buffer(self) -> bool:
        """Drop what is held only to be sent again, and return whether there was any."""
        return self.replay_buffer is not None and self.replay_buffer.release()

    @property
    def is_low_on_memory(self) -> bool:
        """Return whether the connections of the process hold much."""
        return self._held.is_low_on_memory

    def _refuse_connection(self) -> None:
        """Refuse the connection: its first bytes are answered, if not too many are refused."""
        self._is_refused = True
        self._guard.count(CallerLimit.CONNECTIONS, self.host)
        if len(self._guard.refused) >= MAX_REFUSED_CONNECTIONS:
            self.abort()
            return
        self._guard.refused.add(self)
        asyncio.get_running_loop().call_later(LINGER_S, self.abort)

    def _answer_refused(self) -> None:
        if self in self._guard.refused and self._transport is not None:
            self._guard.refused.discard(self)
            self._transport.write(REFUSAL)
            if self._transport.can_write_eof():
                self._transport.write_eof()

    def _pause_reading(self, transport: asyncio.Transport) -> None:
        super()._pause_reading(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            asyncio.get_running_loop().call_later(GONE_CHECK_S, self._check_gone, sock)

    def _check_gone(self, sock: socket.socket) -> None:
        """Abort the connection if its peer has closed it while it is not read."""
        if not self._is_reading_paused or self.is_lost:
            return
        if has_peer_closed(sock):
            self._cancel_task()
            self.abort()
            return
        asyncio.get_running_loop().call_later(GONE_CHECK_S, self._check_gone, sock)

    def _handle_unread(self, unread: int, *, has_taken: bool) -> None:
        """Cut a caller that has taken nothing for UNREAD_LIMIT_S, and end a close."""
        if not unread:
            self._unread_since_s = None
            if self._is_closing:
                super().close()
            return
        now_s = asyncio.get_running_loop().time()
        if has_taken or self._unread_since_s is None:
            self._unread_since_s = now_s
        elif now_s - self._unread_since_s >= UNREAD_LIMIT_S and self._transport is not None:
            self._guard.count(CallerLimit.NOT_READ, self.host)
            discard_unsent_on_close(self._transport)
            self.abort()

    def _exceeded_limit(self) -> CallerLimit | None:
        """Return the limit for which the request just read is refused, or None."""
        self._requests_since_read += 1
        if self._requests_since_read > self._guard.max_pipelined:
            return CallerLimit.PIPELINED
        if self._held.is_full:
            return CallerLimit.HELD_BYTES_NEW
        return None

    @property
    def _is_head_long(self) -> bool:
        """Return whether the next head, or what has arrived of it, has many headers."""
        if self._unparsed_lines <= MAX_LISTED_HEADERS:
            return False
        head, _, _ = bytes(self._h11._receive_buffer).partition(b"\r\n\r\n")
        return head.count(b"\n") > MAX_LISTED_HEADERS

    def _cancel_task(self) -> None:
        task = self._task
        if task is not None and not task.done():
            task.cancel()

    def _caller_gone(self, step: str) -> CallerGoneError:
        return CallerGoneError("the caller closed the connection", step=step, peer=self.host)
