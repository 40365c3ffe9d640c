"""Serve HTTP/1.1 connections of callers.

Each connection runs its handlers in a task, which is cancelled as soon as the caller is gone. Once
a request has been read, the server either answers or breaks the connection off visibly; a caller
never sees an orderly close in place of an answer.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from chervilmill.addresses import Address
from chervilmill.aio._flow import BodyBatch
from chervilmill.aio._guard import CallerLimit, HeldBytes, ServerGuard
from chervilmill.aio._headers import Headers, count_held_bytes, hold_headers
from chervilmill.aio._limited import LINGER_S, RETRY_AFTER, LimitedConnection
from chervilmill.aio._request import (
    BadRequestError,
    CallerGoneError,
    RequestHead,
    ServerLimits,
    describe_malformed,
)
from chervilmill.logs import log_problem

BACKLOG = 1024
Handler = Callable[["ServerConnection", RequestHead], Awaitable[None]]


class ServerConnection(LimitedConnection):
    """A caller's connection, whose requests are served one after the other.

    `answer_headers` are added to the answer of the present request.
    """

    def __init__(self, server: "HttpServer") -> None:
        self.limits = server.limits()
        super().__init__(h11.Connection(h11.SERVER, self.limits.header_bytes), server.guard)
        self._server = server
        self.answer_headers: Headers = []
        self._has_begun_answer = False
        self._is_busy = False
        self._has_small_parts = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start serving its requests, unless there are too many."""
        super().connection_made(transport)
        if len(self._server.connections) >= self._server.guard.max_connections:
            self._refuse_connection()
            return
        self._server.connections.add(self)
        self._held.callers.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def eof_received(self) -> bool:
        """Treat a caller that half-closes the connection as gone, also within a request."""
        super().eof_received()
        self._cancel_task()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its task."""
        super().connection_lost(exc)
        self._server.connections.discard(self)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being answered."""
        return self._is_busy

    @property
    def has_begun_answer(self) -> bool:
        """Return whether any part of the present answer was sent."""
        return self._has_begun_answer

    async def read_part(self) -> bytes | None:
        """Return the next part of the request's body, or None at its end."""
        if self._h11.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            if self._has_read_body:
                return None
            if self._has_small_parts:
                batch = await self._guard.parse_turns.parse(self._parse_batch)
            else:
                batch = self._parse_batch()
            self._has_small_parts = batch.is_small
            if batch.data:
                return batch.data
            if batch.event is h11.NEED_DATA and not self.is_lost:
                await self._wait_for_change()
            elif not self._has_read_body:
                raise self._caller_gone("read body")

    def _parse_batch(self) -> BodyBatch:
        try:
            return self._next_batch()
        except h11.RemoteProtocolError as exc:
            raise self._bad_request(
                "read body", describe_malformed(exc), exc.error_status_hint
            ) from exc

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        self._has_begun_answer = True
        self._write(
            h11.Response(
                status_code=status,
                headers=[*headers, *self.answer_headers, *self._connection_headers()],
            )
        )
        await self._flush()

    async def send_part(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        self._write(h11.Data(data=data))
        await self._flush()
        if self.is_lost:
            raise self._caller_gone("send answer")

    def end_answer(self) -> None:
        """End the answer."""
        self._write(h11.EndOfMessage())

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = [(b"content-length", str(len(body)).encode())]
        await self.start_answer(status, [*headers, *length])
        if body:
            self._write(h11.Data(data=body))
        self.end_answer()

    def _connection_headers(self) -> Headers:
        if self._server.is_closing:
            return [(b"connection", b"close")]
        return []

    async def _serve(self) -> None:
        try:
            while await self._serve_request():
                pass
        except CallerGoneError:
            self.abort()
        except asyncio.CancelledError:
            self.abort()
        except Exception as exc:
            log_problem("connection failed", step="serve", peer=self.host, error=repr(exc))
            self.abort()

    async def _serve_request(self) -> bool:
        """Serve one request and return whether the connection can carry another."""
        return await self._answer_request() and await self._next_cycle()

    async def _answer_request(self) -> bool:
        """Read and answer one request, and return whether the connection may carry another."""
        self._has_begun_answer = False
        self.answer_headers = []
        try:
            head = await self._read_head()
            if head is None:
                self.close()
                return False
            self._is_busy = True
            limit = head if isinstance(head, CallerLimit) else self._exceeded_limit()
            if limit is not None:
                await self._refuse_request(limit)
                return False
            assert isinstance(head, RequestHead)
            self.keep(len(head.target) + count_held_bytes(head.headers))
            await self._server.handler(self, head)
            return True
        except BadRequestError as exc:
            await self._refuse(exc)
            return False
        finally:
            self._is_busy = False
            self.replay_buffer = None
            if self._kept_bytes:
                self.keep(-self._kept_bytes)

    async def _refuse_request(self, limit: CallerLimit) -> None:
        """Refuse a request of which nothing has run, and close the connection."""
        self._server.guard.count(limit, self.host)
        await self.answer(503, [*RETRY_AFTER, (b"connection", b"close")], b"")
        await asyncio.sleep(0)
        self.close()

    async def _read_head(self) -> RequestHead | CallerLimit | None:
        """Return the next head, the limit for which it is refused, or None if there is none."""
        try:
            async with asyncio.timeout(self.limits.idle_s):
                await self._wait_for_first_byte()
        except TimeoutError:
            return None
        limit_s = self.limits.header_timeout_s
        try:
            async with asyncio.timeout(limit_s) as scope:
                return await self._parse_head(scope)
        except TimeoutError as exc:
            raise self._bad_request(
                "read head", f"the headers did not arrive within {limit_s} s", 408
            ) from exc

    async def _wait_for_first_byte(self) -> None:
        if not self._parser_bytes:
            self._unparsed_lines = 0
        while not self._parser_bytes and not self.is_lost:
            await self._wait_for_change()

    async def _parse_head(self, scope: asyncio.Timeout) -> RequestHead | CallerLimit | None:
        """Return the next head as it arrives; the scope does not run while it waits for a turn."""
        loop = asyncio.get_running_loop()
        while True:
            if not self._is_head_long:
                has_ended, head = self._try_parse_head()
            elif self._guard.parse_turns.is_full:
                return CallerLimit.LONG_HEADS
            else:
                self._is_busy = True
                until_s, began_s = scope.when(), loop.time()
                scope.reschedule(None)
                has_ended, head = await self._guard.parse_turns.parse(self._try_parse_head)
                if until_s is not None:
                    scope.reschedule(until_s + loop.time() - began_s)
                self._is_busy = has_ended
            if has_ended:
                return head
            await self._wait_for_change()

    def _try_parse_head(self) -> tuple[bool, RequestHead | None]:
        """Return whether the head has ended, and the head unless the connection ended before."""
        try:
            event = self._next_event()
        except h11.RemoteProtocolError as exc:
            raise self._bad_request(
                "read head", describe_malformed(exc), exc.error_status_hint
            ) from exc
        if isinstance(event, h11.Request):
            return True, self._checked_head(event)
        return event is not h11.NEED_DATA or self.is_lost, None

    def _checked_head(self, event: h11.Request) -> RequestHead:
        headers = list(event.headers)
        names = [key for key, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise self._bad_request(
                "read head", "both Content-Length and Transfer-Encoding are given", 400
            )
        hosts = names.count(b"host")
        if hosts != 1:
            raise self._bad_request("read head", f"{hosts} Host headers instead of one", 400)
        size = sum(len(key) + len(value) for key, value in headers)
        if size > self.limits.header_bytes:
            message = f"{size} bytes of headers, at most {self.limits.header_bytes} are allowed"
            raise self._bad_request("read head", message, 431)
        return RequestHead(event.method, event.target, hold_headers(headers))

    async def _next_cycle(self) -> bool:
        """Discard the unread body and return whether the connection can carry another request."""
        try:
            async with asyncio.timeout(LINGER_S):
                await self._discard_body()
        except TimeoutError:
            self.close()
            return False
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if not is_done or self._server.is_closing:
            self.close()
            return False
        self._begin_next_cycle()
        if self._parser_bytes:
            await asyncio.sleep(0)  # lets other connections run between pipelined requests
        return True

    async def _discard_body(self) -> None:
        while self._h11.their_state is h11.SEND_BODY:
            if await self.read_part() is None:
                return

    async def _refuse(self, exc: BadRequestError) -> None:
        log_problem("request refused", step=exc.step, peer=exc.peer, reason=exc.message)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.answer(exc.status, [(b"connection", b"close")], b"")
        await asyncio.sleep(0)
        self.close()

    def _bad_request(self, step: str, message: str, status: int) -> BadRequestError:
        return BadRequestError(message, step=step, peer=self.host, status=status)


class HttpServer:
    """A server that accepts connections at one address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        guard: ServerGuard | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.guard = guard or ServerGuard("", HeldBytes())
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start to accept connections, or raise OSError."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self),
            address.host,
            address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def announce_close(self) -> None:
        """Send `Connection: close` with each answer from now on."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Stop accepting new connections."""
        if self._listener is not None:
            self._listener.close()

    @property
    def busy_count(self) -> int:
        """Return the number of requests being answered."""
        return sum(1 for conn in self.connections if conn.is_busy)

    @property
    def unfinished_count(self) -> int:
        """Return the number of connections with a request in progress or an answer to be sent."""
        return sum(1 for conn in self.connections if conn.is_busy or conn.has_unsent)

    def close_idle(self) -> None:
        """Close the connections that serve no request at present."""
        for refused in list(self.guard.refused):
            refused.cut()
        for conn in list(self.connections):
            if not conn.is_busy:
                conn.close()
