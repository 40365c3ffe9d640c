"""Test what a server does with callers that reach a limit over all connections."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import (
    CallerLimit,
    HeldBytes,
    HttpServer,
    LimitCounter,
    RequestHead,
    ServerConnection,
    ServerGuard,
    _limited,
    _parse_turns,
)
from chervilmill.entry._loop_watch import LATE_S
from tests.aio.support import LIMITS, talk
from tests.support import free_address, run_async

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
LAST = b"GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
LONG_HEAD = GET[:-2] + b"".join(b"h%d: 1\r\n" % number for number in range(1500)) + b"\r\n"
UPLOAD = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"


class _Guarded:
    """A server with limits that counts the requests that its handler has run."""

    def __init__(self, max_bytes: int = 1_000_000, max_connections: int = 10) -> None:
        self.seen: Counter[CallerLimit] = Counter()
        self.runs = 0
        self.cancelled = 0
        self.reads_bodies = False
        self.bodies: list[bytes] = []
        self.release = asyncio.Event()
        self.held = HeldBytes(max_bytes)
        counter = LimitCounter(lambda: 0.0, lambda limit: self.seen.update([limit]))
        self.held.on_cut = lambda: counter.count(CallerLimit.HELD_BYTES_LARGEST, "all", "")
        guard = ServerGuard("callers", self.held, max_connections, 8, counter)
        self.server = HttpServer(self._handle, lambda: LIMITS, guard)

    async def _handle(self, conn: ServerConnection, head: RequestHead) -> None:
        self.runs += 1
        try:
            if head.has_body:
                await self.release.wait()
            if head.has_body and self.reads_bodies:
                parts: list[bytes] = []
                while (part := await conn.read_part()) is not None:
                    parts.append(part)
                self.bodies.append(b"".join(parts))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        await conn.answer(200, [], b"")


@asynccontextmanager
async def guarded(**options: int) -> AsyncIterator[tuple[_Guarded, Address]]:
    """Run a server with limits and yield it with its address."""
    made = _Guarded(**options)
    address = free_address()
    await made.server.listen(address)
    try:
        yield made, address
    finally:
        made.server.stop_accepting()
        for conn in list(made.server.connections):
            conn.abort()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, which passes the bytes that the server does not read."""
    if writer.is_closing():  # cut by the server
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _wait_until(check) -> None:
    async with asyncio.timeout(5.0):
        while not check():
            await asyncio.sleep(0.01)


def test_request_beyond_the_pipelined_ones_is_run_though_refused() -> None:
    """A 503 promises that the request has not run, and never will."""

    async def scenario() -> None:
        async with guarded() as (made, address):
            answer = await talk(address, GET * 12)
            assert answer.count(b"HTTP/1.1 200") == 8
            assert answer.count(b"HTTP/1.1 503") == 1
            assert b"retry-after: 1.00" in answer
            assert made.runs == 8
            assert made.seen == {CallerLimit.PIPELINED: 1}

    run_async(scenario)


def test_requests_that_wait_for_answers_count_as_pipelined() -> None:
    async def scenario() -> None:
        async with guarded() as (made, address):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            for _ in range(20):
                writer.write(GET)
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()
            assert not made.seen

    run_async(scenario)


def test_connection_over_the_limit_takes_the_place_of_an_open_one() -> None:
    async def scenario() -> None:
        async with guarded(max_connections=1) as (made, address):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            await _wait_until(lambda: made.server.connections)
            refused = await talk(address, LAST)
            assert refused.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in refused
            assert made.runs == 0
            writer.write(LAST)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            assert made.seen == {CallerLimit.CONNECTIONS: 1}

    run_async(scenario)


def test_many_connections_over_the_limit_stay_open() -> None:
    async def scenario() -> None:
        async with guarded(max_connections=1) as (made, address):
            opened = [
                await asyncio.open_connection(address.host, address.port)
                for _ in range(_limited.MAX_REFUSED_CONNECTIONS + 10)
            ]
            over = 9
            await _wait_until(lambda: made.seen[CallerLimit.CONNECTIONS] == len(opened) - 1)
            assert len(made.server.guard.refused) == len(opened) - 1 - over
            await _wait_until(lambda: not made.server.guard.refused)
            for _, writer in opened:
                writer.close()

    run_async(scenario)


def test_uploads_together_hold_more_than_the_limit() -> None:
    """The connection that holds the most is closed, and what it held no longer counts."""

    async def scenario() -> None:
        async with guarded(max_bytes=600_000, max_connections=20) as (made, address):
            opened = []
            for _ in range(20):
                _, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(UPLOAD)
                opened.append(writer)
            await _wait_until(lambda: made.runs == len(opened))
            for writer in opened:
                writer.write(b"x" * 200_000)
            await _wait_until(lambda: made.seen[CallerLimit.HELD_BYTES_LARGEST])
            assert made.held.total <= made.held.max_bytes
            for writer in opened:
                _reset(writer)
            await _wait_until(lambda: made.held.total == 0)

    run_async(scenario)


# Each of many heads took the event loop for 6 ms, one after the other, before anything else.
def test_many_long_heads_hold_up_other_callers() -> None:
    async def scenario() -> None:
        async with guarded(max_bytes=100_000_000, max_connections=400) as (made, address):
            limits = replace(LIMITS, header_bytes=16_384, idle_s=10.0)  # until all are open
            made.server.limits = lambda: limits
            opened = [await asyncio.open_connection(address.host, address.port) for _ in range(300)]
            for _, writer in opened:
                writer.write(LONG_HEAD)
            await asyncio.sleep(0)
            for _ in range(10):
                async with asyncio.timeout(LATE_S):
                    assert (await talk(address, LAST)).startswith(b"HTTP/1.1 200")
            for reader, writer in opened:
                async with asyncio.timeout(5.0):
                    answer = await reader.readuntil(b"\r\n\r\n")
                if answer.startswith(b"HTTP/1.1 503"):
                    assert b"retry-after: 1.00" in answer
                writer.close()
            assert made.runs >= 10 + _parse_turns.MAX_WAITING
            assert made.seen == {CallerLimit.LONG_HEADS: 10 + 300 - made.runs}

    run_async(scenario)


# A head that had arrived was answered with 408, as its headers had not.
def test_head_that_waits_for_its_turn_counts_as_late() -> None:
    async def scenario() -> None:
        async with guarded() as (made, address):
            made.server.limits = lambda: replace(LIMITS, header_bytes=16_384)
            async with made.server.guard.parse_turns._lock:
                asking = asyncio.create_task(talk(address, LONG_HEAD + LAST))
                await asyncio.sleep(LIMITS.header_timeout_s + 0.2)
            assert (await asking).count(b"HTTP/1.1 200") == 2
            late = await talk(address, LONG_HEAD[:-2])
            assert late.startswith(b"HTTP/1.1 408")

    run_async(scenario)


def test_head_with_many_headers_is_refused_or_run_again() -> None:
    """It arrives in pieces, before and behind others, with and without a body of many lines."""

    async def scenario() -> None:
        async with guarded(max_connections=20) as (made, address):
            made.server.limits = lambda: replace(LIMITS, header_bytes=16_384)
            made.release.set()
            upload = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n" + b"\n" * 500
            reader, writer = await asyncio.open_connection(address.host, address.port)
            sent = GET + LONG_HEAD + upload + LONG_HEAD + LAST
            for begin in range(0, len(sent), 5000):
                writer.write(sent[begin : begin + 5000])
                await asyncio.sleep(0.05)
            answers = await reader.read()
            assert answers.count(b"HTTP/1.1 200") == made.runs == 5
            assert not made.seen

    run_async(scenario)


# All chunks that a connection had read ahead were parsed and passed on before anything else.
@pytest.mark.parametrize("is_refused", [False, True])
def test_uploads_in_tiny_chunks_hold_up_other_callers(is_refused: bool) -> None:
    async def scenario() -> None:
        async with guarded(max_bytes=100_000_000, max_connections=40) as (made, address):
            made.reads_bodies = not is_refused
            start = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            uploads = []
            for _ in range(20):
                _, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(start + b"2\r\nxx\r\n" * 30_000)
                uploads.append(writer)
            await _wait_until(lambda: made.runs == len(uploads))
            made.release.set()
            for _ in range(10):
                async with asyncio.timeout(LATE_S):
                    assert (await talk(address, LAST)).startswith(b"HTTP/1.1 200")
            for writer in uploads:
                _reset(writer)

    run_async(scenario)


def test_tiny_chunks_are_lost_or_mixed() -> None:
    async def scenario() -> None:
        async with guarded() as (made, address):
            made.reads_bodies = True
            made.release.set()
            body = bytes(range(256)) * 4
            chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
            head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            answers = await talk(address, (head + chunks) * 3 + LAST)
            assert answers.count(b"HTTP/1.1 200") == 4
            assert made.bodies == [body] * 3

    run_async(scenario)


def test_request_is_run_while_too_much_is_held() -> None:
    async def scenario() -> None:
        async with guarded(max_bytes=100_000) as (made, address):
            made.held.total += 90_000
            answer = await talk(address, GET)
            assert answer.startswith(b"HTTP/1.1 503")
            assert made.runs == 0
            assert made.seen == {CallerLimit.HELD_BYTES_NEW: 1}

    run_async(scenario)


def test_caller_that_left_is_not_noticed_while_its_connection_is_not_read() -> None:
    """Its upload fills the read-ahead, behind which the end of the connection is not seen."""

    async def scenario() -> None:
        async with guarded(max_bytes=10_000_000) as (made, address):
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(UPLOAD + b"x" * 900_000)
            await _wait_until(lambda: made.held.total > 250_000)
            _reset(writer)
            await _wait_until(lambda: made.cancelled == 1)
            assert not made.server.connections
            assert made.held.total == 0

    run_async(scenario)


def test_caller_that_reads_nothing_keeps_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_limited, "UNREAD_LIMIT_S", 0.1)

    async def answer_long(conn: ServerConnection, head: RequestHead) -> None:
        await conn.start_answer(200, [])
        for _ in range(1000):
            await conn.send_part(b"x" * 64_000)

    async def scenario() -> None:
        async with guarded(max_bytes=100_000_000) as (made, address):
            made.server.handler = answer_long
            _, writer = await asyncio.open_connection(address.host, address.port, limit=1024)
            writer.write(GET)
            await _wait_until(lambda: made.seen[CallerLimit.NOT_READ] == 1)
            await _wait_until(lambda: not made.server.connections)
            assert made.held.total == 0
            writer.close()

    run_async(scenario)


# Such a caller was cut without a reset, so that one with HTTP/1.0 took a part for the whole.
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("size", [30_000, 3_000_000])
def test_caller_that_reads_nothing_of_a_written_answer_keeps_its_connection(
    monkeypatch: pytest.MonkeyPatch, size: int, version: bytes
) -> None:
    monkeypatch.setattr(_limited, "UNREAD_LIMIT_S", 1.0)
    # The connection of HTTP/1.0 is closed after the answer, the rest of which the system sends.
    is_held_by_system = version == b"1.0" and size == 30_000

    async def answer(conn: ServerConnection, head: RequestHead) -> None:
        await conn.start_answer(200, [])
        await conn.send_part(b"x" * size)
        conn.end_answer()

    def open_and_ask(address: Address) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((address.host, address.port))
        sock.settimeout(5.0)
        sock.sendall(b"GET /a HTTP/" + version + b"\r\nHost: x\r\n\r\n")
        return sock

    def read_all(sock: socket.socket) -> bool:
        """Return whether the connection is reset before its end."""
        try:
            while sock.recv(65_536):
                pass
        except ConnectionResetError:
            return True
        return False

    async def scenario() -> None:
        async with guarded(max_bytes=100_000_000) as (made, address):
            made.server.handler = answer
            made.server.limits = lambda: replace(LIMITS, idle_s=10.0)
            sock = await asyncio.to_thread(open_and_ask, address)
            if is_held_by_system:
                await asyncio.sleep(3.0)
            else:
                await _wait_until(lambda: made.seen[CallerLimit.NOT_READ] == 1)
            await _wait_until(lambda: not made.server.connections)
            assert await asyncio.to_thread(read_all, sock)
            assert made.held.total == 0
            sock.close()

    run_async(scenario)


def test_lines_about_a_limit_are_written_for_each_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now_s = [0.0]
    counter = LimitCounter(lambda: now_s[0], lambda _: None)
    for _ in range(100):
        counter.count(CallerLimit.CONNECTIONS, "callers", "127.0.0.1:1")
    now_s[0] = 2.0
    counter.count(CallerLimit.CONNECTIONS, "callers", "127.0.0.1:1")
    assert len(caplog.records) == 2
    assert vars(caplog.records[1])["chervilmill_fields"]["count"] == 100
