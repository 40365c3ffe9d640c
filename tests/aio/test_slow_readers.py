"""Test that a peer that reads slowly is told from one that is gone."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import replace

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import ExchangeError, RequestHead, ServerConnection, _flow, connect
from chervilmill.aio._sockets import has_closed_window
from tests.aio.support import LIMITS, serving
from tests.support import free_address, run_async

SMALL_BUFFER = 4096
PAUSES_S = (2.2, 4.0)  # both longer than the time after which a silent peer is gone
ANSWERS = {"buffered": 30_000, "long": 2_000_000}
KEPT = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
REQUESTS = {
    "kept": KEPT,
    "close": b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    "http_1.0": b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n",
}


def _open(address: Address) -> socket.socket:
    """Return a connection whose buffer holds little, so that its window closes soon."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.settimeout(10.0)
    sock.connect((address.host, address.port))
    return sock


def _answer_of(size: int) -> Callable[[ServerConnection, RequestHead], object]:
    async def answer(conn: ServerConnection, head: RequestHead) -> None:
        await conn.answer(200, [], b"x" * size)

    return answer


def _read_body(sock: socket.socket, size: int) -> int:
    """Return how many bytes of a body arrive, up to its end or that of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65_536)
    got = len(data.partition(b"\r\n\r\n")[2])
    while got < size and (part := sock.recv(65_536)):
        got += len(part)
    return got


# A caller that read nothing for 2 s had its connection reset in the middle of its answer.
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("size", ANSWERS.values(), ids=ANSWERS)
@pytest.mark.parametrize("request_bytes", REQUESTS.values(), ids=REQUESTS)
def test_caller_that_pauses_loses_its_answer(
    request_bytes: bytes, size: int, pause_s: float
) -> None:
    async def scenario() -> None:
        async with serving(_answer_of(size)) as (_, address):  # type: ignore[arg-type]
            sock = await asyncio.to_thread(_open, address)
            sock.sendall(request_bytes)
            await asyncio.sleep(pause_s)
            assert await asyncio.to_thread(_read_body, sock, size) == size
            sock.close()

    run_async(scenario)


# A peer that read nothing for 2 s had an upload broken off, which cannot be sent again.
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_upload_to_a_peer_that_pauses_is_broken_off(pause_s: float) -> None:
    size = 8_000_000

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(pause_s)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await reader.readexactly(size)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def scenario() -> None:
        address = free_address()
        server = await asyncio.start_server(serve, address.host, address.port)
        try:
            conn = await connect(address, 1.0)
            length = (b"content-length", str(size).encode())
            await conn.send_head(b"POST", b"/", [(b"host", b"x"), length])
            await conn.send_part(b"x" * size)
            conn.end_body()
            assert (await conn.read_head()).status == 200
            conn.abort()
        finally:
            server.close()

    run_async(scenario)


# A short pause was taken for a long one if an earlier one had been probed.
def test_caller_that_pauses_again_and_again_loses_an_answer() -> None:
    async def scenario() -> None:
        async with serving(_answer_of(30_000)) as (server, address):  # type: ignore[arg-type]
            server.limits = lambda: replace(LIMITS, idle_s=10.0)
            sock = await asyncio.to_thread(_open, address)
            for pause_s in (2.2, 0.4, 2.2, 0.4, 0.4, 2.2):
                sock.sendall(KEPT)
                await asyncio.sleep(pause_s)
                assert await asyncio.to_thread(_read_body, sock, 30_000) == 30_000
            sock.close()

    run_async(scenario)


# A peer that acknowledges nothing, unlike one that reads slowly, has to be noticed for a retry.
@pytest.mark.parametrize("is_written_late", [False, True])
def test_silent_peer_is_noticed_too_late_or_too_early(
    monkeypatch: pytest.MonkeyPatch, is_written_late: bool
) -> None:
    async def swallow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def scenario() -> None:
        address = free_address()
        server = await asyncio.start_server(swallow, address.host, address.port)
        monkeypatch.setattr(_flow, "count_unacknowledged", lambda _: conn._written_bytes)
        monkeypatch.setattr(_flow, "has_closed_window", lambda _: False)
        conn = await connect(address, 1.0)
        loop = asyncio.get_running_loop()
        await conn.send_head(b"POST", b"/", [(b"host", b"x"), (b"content-length", b"9")])
        if is_written_late:  # right before a check
            await asyncio.sleep(0.24)
            monkeypatch.setattr(_flow, "count_unacknowledged", lambda _: 4)
            await conn.send_part(b"part")
        began_s = loop.time()
        with pytest.raises(ExchangeError, match="silent"):
            await conn.read_head()
        assert 1.4 < loop.time() - began_s < 2.0
        server.close()

    run_async(scenario)


class _Socket:
    """A socket that states fixed figures of its connection, as TCP_INFO has them."""

    def __init__(self, segment_bytes: int, unacknowledged: int) -> None:
        self._info = struct.pack(
            "=8B5I", *[1] + [0] * 7, 208_000, 0, segment_bytes, 0, unacknowledged
        )

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        return self._info[:size]


# Bytes that the peer has not acknowledged may be those of a peer that is gone.
@pytest.mark.parametrize(
    ("segment_bytes", "unacknowledged", "is_closed"),
    [(1448, 0, True), (1448, 1, False), (1448, 40, False), (0, 0, False)],
)
def test_silent_peer_is_taken_for_a_slow_one(
    segment_bytes: int, unacknowledged: int, is_closed: bool
) -> None:
    sock = _Socket(segment_bytes, unacknowledged)
    assert has_closed_window(sock) is is_closed  # type: ignore[arg-type]
