"""Serve HTTP/1.1 connections of callers.

A handler runs as a task of its own and is cancelled as soon as its caller is gone. A connection is
never closed on a request that was read without an answer or a visible break.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from chervilmill.addresses import Address
from chervilmill.aio._flow import H11Connection
from chervilmill.aio._headers import Headers
from chervilmill.aio._request import BadRequestError, CallerGoneError, RequestHead, ServerLimits
from chervilmill.logs import log_problem

BACKLOG = 1024
LINGER_S = 1.0  # for a refused caller to read its answer while it sends on

Handler = Callable[["ServerConnection", RequestHead], Awaitable[None]]


class ServerConnection(H11Connection):
    """Serve the requests of one caller, one after the other."""

    def __init__(self, server: "HttpServer") -> None:
        self.limits = server.limits()
        super().__init__(h11.Connection(h11.SERVER, self.limits.header_bytes))
        self._server = server
        self._task: asyncio.Task[None] | None = None
        self._answer_began = False
        self._is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve."""
        super().connection_made(transport)
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def eof_received(self) -> bool:
        """Treat a caller that sends no more as gone, also within a request."""
        super().eof_received()
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller no longer waits for."""
        super().connection_lost(exc)
        self._server.connections.discard(self)
        self._leave()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being answered."""
        return self._is_busy

    @property
    def has_begun_answer(self) -> bool:
        """Return whether a part of the present answer was sent."""
        return self._answer_began

    async def read_part(self) -> bytes | None:
        """Return a part of the request's body, or None at its end."""
        if self._h11.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            try:
                event = self._next_event()
            except h11.RemoteProtocolError as exc:
                raise self._bad("read body", str(exc), exc.error_status_hint) from exc
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            if event is not h11.NEED_DATA or self.is_lost:
                raise self._gone("read body")
            await self._wait_for_news()

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        self._answer_began = True
        self._write(h11.Response(status_code=status, headers=[*headers, *self._own_headers()]))
        await self._flush()

    async def send_part(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        self._write(h11.Data(data=data))
        await self._flush()
        if self.is_lost:
            raise self._gone("send answer")

    def end_answer(self) -> None:
        """Finish the answer."""
        self._write(h11.EndOfMessage())

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = [(b"content-length", str(len(body)).encode())]
        await self.start_answer(status, [*headers, *length])
        if body:
            self._write(h11.Data(data=body))
        self.end_answer()

    def _own_headers(self) -> Headers:
        if self._server.is_closing:
            return [(b"connection", b"close")]
        return []

    def _leave(self) -> None:
        task = self._task
        if task is not None and not task.done():
            task.cancel()

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                pass
        except CallerGoneError:
            self.abort()
        except asyncio.CancelledError:
            self.abort()
        except Exception as exc:
            log_problem("connection failed", step="serve", peer=self.host, error=repr(exc))
            self.abort()

    async def _serve_one(self) -> bool:
        """Serve one request and return whether another may follow."""
        self._answer_began = False
        try:
            head = await self._read_head()
            if head is None:
                self.close()
                return False
            self._is_busy = True
            await self._server.handler(self, head)
        except BadRequestError as exc:
            await self._refuse(exc)
            return False
        finally:
            self._is_busy = False
        return await self._next_cycle()

    async def _read_head(self) -> RequestHead | None:
        try:
            async with asyncio.timeout(self.limits.idle_s):
                await self._wait_for_first_byte()
        except TimeoutError:
            return None
        try:
            async with asyncio.timeout(self.limits.header_timeout_s):
                return await self._parse_head()
        except TimeoutError as exc:
            raise self._bad("read head", "the headers took too long", 408) from exc

    async def _wait_for_first_byte(self) -> None:
        while not self._h11.trailing_data[0] and not self.is_lost:
            await self._wait_for_news()

    async def _parse_head(self) -> RequestHead | None:
        while True:
            try:
                event = self._next_event()
            except h11.RemoteProtocolError as exc:
                raise self._bad("read head", str(exc), exc.error_status_hint) from exc
            if isinstance(event, h11.Request):
                return self._checked(event)
            if event is not h11.NEED_DATA or self.is_lost:
                return None
            await self._wait_for_news()

    def _checked(self, event: h11.Request) -> RequestHead:
        headers = list(event.headers)
        names = [key for key, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise self._bad("read head", "both a length and a transfer encoding", 400)
        if names.count(b"host") != 1:
            raise self._bad("read head", "not exactly one host", 400)
        size = sum(len(key) + len(value) for key, value in headers)
        if size > self.limits.header_bytes:
            raise self._bad("read head", "the headers are too large", 431)
        return RequestHead(event.method, event.target, headers)

    async def _next_cycle(self) -> bool:
        """Discard what is left of a body and return whether the connection goes on."""
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
        self._h11.start_next_cycle()
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

    def _bad(self, step: str, message: str, status: int) -> BadRequestError:
        return BadRequestError(message, step=step, peer=self.host, status=status)

    def _gone(self, step: str) -> CallerGoneError:
        return CallerGoneError("the caller left", step=step, peer=self.host)


class HttpServer:
    """Accept connections at one address."""

    def __init__(self, handler: Handler, limits: Callable[[], ServerLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Begin to accept, or raise OSError."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self),
            address.host,
            address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def announce_close(self) -> None:
        """Tell callers with each answer from now on that the connection closes."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Take no new connection."""
        if self._listener is not None:
            self._listener.close()

    @property
    def busy(self) -> int:
        """Return the number of requests that are being answered."""
        return sum(1 for conn in self.connections if conn.is_busy)

    def close_idle(self) -> None:
        """Close the connections on which nothing is asked."""
        for conn in list(self.connections):
            if not conn.is_busy:
                conn.close()
