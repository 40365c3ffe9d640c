"""Exchange whole requests and answers with one peer over reused connections."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

from chervilmill.addresses import Address
from chervilmill.aio._client import (
    ClientConnection,
    ExchangeError,
    ExchangeTimeoutError,
    connect,
)

CONNECT_TIMEOUT_S = 1.0
# Answers of the store and of peers are read whole. A page of the store has 1 MB, and up to three
# times as much if its texts are escaped; a copy of 4,000 targets has 1 MB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# How many answers beyond a length are read at once.
LARGE_ANSWERS = ((256 * 1024, 6), (4 * 1024 * 1024, 1))
MAX_IDLE_CONNECTIONS = 6


class AnswerTooLongError(ExchangeError):
    """Raised for an answer that is longer than any that is read."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """The status, the whole body and the headers of an answer."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class HttpClient:
    """A client that sends whole requests to one address and returns whole answers.

    While as many of the LARGE_ANSWERS are being read as may be, further ones wait, within their
    time-outs.
    """

    __slots__ = ("_address", "_idle", "_large_answers")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[ClientConnection] = []
        self._large_answers = [
            (max_bytes, asyncio.Semaphore(count)) for max_bytes, count in LARGE_ANSWERS
        ]

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        """Send a request and return its answer, or raise ConnectError or ExchangeError."""
        conn: ClientConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._take_connection()
                answer = await self._send_request(conn, method, path, body)
        except asyncio.CancelledError:
            self.close()
            raise
        except TimeoutError as exc:
            self.close()  # the idle connections may be silent too
            message = f"no whole answer within {timeout_s} s"
            raise ExchangeTimeoutError(message, step=method, peer=str(self._address)) from exc
        finally:
            self._release(conn)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for conn in self._idle:
            conn.abort()
        self._idle.clear()

    async def _take_connection(self) -> ClientConnection:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_lost and not conn.has_ended and now_s < conn.idle_until_s:
                return conn
            conn.abort()
        return await connect(self._address, CONNECT_TIMEOUT_S)

    async def _send_request(
        self, conn: ClientConnection, method: str, path: str, body: bytes
    ) -> HttpAnswer:
        headers = [(b"host", str(self._address).encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        await conn.send_head(method.encode(), path.encode(), headers)
        if body:
            await conn.send_part(body)
        conn.end_body()
        head = await conn.read_head()
        async with AsyncExitStack() as stack:
            parts: list[bytes] = []
            size = 0
            waiting = list(self._large_answers)
            while (part := await conn.read_part()) is not None:
                parts.append(part)
                size += len(part)
                if size > MAX_ANSWER_BYTES:
                    message = f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
                    raise AnswerTooLongError(message, step=method, peer=str(self._address))
                while waiting and size > waiting[0][0]:
                    await stack.enter_async_context(waiting.pop(0)[1])
            return HttpAnswer(head.status, b"".join(parts), tuple(head.headers))

    def _release(self, conn: ClientConnection | None) -> None:
        if conn is None:
            return
        now_s = asyncio.get_running_loop().time()
        if len(self._idle) < MAX_IDLE_CONNECTIONS and conn.finish_exchange(now_s):
            self._idle.append(conn)
        else:
            conn.abort()
