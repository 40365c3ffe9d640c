"""Exchange whole requests and answers with one peer over reused connections."""

import asyncio
from dataclasses import dataclass

from chervilmill.addresses import Address
from chervilmill.aio._client import (
    ClientConnection,
    ExchangeError,
    ExchangeTimeoutError,
    connect,
)

CONNECT_TIMEOUT_S = 1.0
# Answers of the store and of peers are read whole, about ten at once. One with the entries of 4,000
# targets has 1 MB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 6


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """The status, the whole body and the headers of an answer."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class HttpClient:
    """A client that sends whole requests to one address and returns whole answers."""

    __slots__ = ("_address", "_idle")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[ClientConnection] = []

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
        parts: list[bytes] = []
        size = 0
        while (part := await conn.read_part()) is not None:
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                message = f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
                raise ExchangeError(message, step=method, peer=str(self._address))
        return HttpAnswer(head.status, b"".join(parts), tuple(head.headers))

    def _release(self, conn: ClientConnection | None) -> None:
        if conn is None:
            return
        now_s = asyncio.get_running_loop().time()
        if len(self._idle) < MAX_IDLE_CONNECTIONS and conn.finish_exchange(now_s):
            self._idle.append(conn)
        else:
            conn.abort()
