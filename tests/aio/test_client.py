"""Test how client connections handle the answers of peers."""

import asyncio
import socket

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import (
    AnswerTooLongError,
    ClientConnection,
    ConnectError,
    ExchangeError,
    HttpClient,
    RequestHead,
    ServerConnection,
    _http_client,
    connect,
)
from chervilmill.aio._client import DEFAULT_IDLE_TIMEOUT_S, IDLE_TIMEOUT_SHARE
from chervilmill.entry._loop_watch import LATE_S
from tests.aio.support import answering, exchange, serving
from tests.support import free_address, run_async

LARGE, LARGE_COUNT = _http_client.LARGE_ANSWERS[0]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    "answer",
    [
        OK,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK,
    ],
)
def test_whole_answer_is_returned(answer: bytes) -> None:
    async def scenario() -> None:
        async with answering(answer) as address:
            got = await HttpClient(address)("GET", "/", b"", 2.0)
            assert (got.status, got.body) == (200, b"ok")

    run_async(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
        b"no answer at all\r\n\r\n",
    ],
)
def test_answer_that_ends_early_is_an_error(answer: bytes) -> None:
    async def scenario() -> None:
        async with answering(answer) as address:
            with pytest.raises(ExchangeError) as raised:
                await HttpClient(address)("GET", "/", b"", 2.0)
            assert raised.value.peer

    run_async(scenario)


def test_large_answers_are_all_read_at_once() -> None:
    """Each is held whole, so that some wait while others are read."""
    begun = 0
    release = asyncio.Event()

    async def answer(conn: ServerConnection, head: RequestHead) -> None:
        nonlocal begun
        await conn.start_answer(200, [(b"content-length", str(2 * LARGE).encode())])
        await conn.send_part(b"x" * (LARGE + 1))
        begun += 1
        await release.wait()
        await conn.send_part(b"x" * (LARGE - 1))
        conn.end_answer()

    async def scenario() -> None:
        async with serving(answer) as (_, address):
            client = HttpClient(address)
            calls = [
                asyncio.ensure_future(client("GET", "/", b"", 5.0)) for _ in range(LARGE_COUNT + 2)
            ]
            while begun < len(calls):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            semaphore = client._large_answers[0][1]
            assert semaphore.locked()
            release.set()
            answers = await asyncio.gather(*calls)
            assert {len(answer.body) for answer in answers} == {2 * LARGE}
            assert not semaphore.locked()

    run_async(scenario)


def test_answer_beyond_the_longest_is_an_error_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_http_client, "MAX_ANSWER_BYTES", 1000)

    async def scenario() -> None:
        async with answering(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + b"x" * 1001
        ) as at:
            with pytest.raises(AnswerTooLongError):
                await HttpClient(at)("GET", "/", b"", 2.0)

    run_async(scenario)


def test_time_out_error_names_the_silent_peer() -> None:
    async def never_answer(conn: ServerConnection, head: RequestHead) -> None:
        await asyncio.sleep(5.0)

    async def scenario() -> None:
        async with serving(never_answer) as (_, address):
            with pytest.raises(ExchangeError, match=str(address)):
                await HttpClient(address)("POST", "/", b"body", 0.2)

    run_async(scenario)


def test_address_without_a_listener_raises_connect_error() -> None:
    async def scenario() -> None:
        with pytest.raises(ConnectError):
            await connect(free_address(), 0.5)

    run_async(scenario)


# An unforeseen error left the request unrecorded, and ended the task that probes targets.
@pytest.mark.parametrize(
    "address",
    [
        Address("fe80::1%" + "x" * 64, 80),
        Address("fe80::1%a..b", 80),
        Address("a\0b", 80),
        Address("\udc80", 80),
        Address("", 80),
        Address("127.0.0.1", 70_000),
        Address("127.0.0.1", -1),
        Address("127.0.0.1", 10**30),
    ],
    ids=lambda address: ascii(str(address))[:20],
)
def test_address_that_cannot_be_used_raises_no_connect_error(address: Address) -> None:
    async def scenario() -> None:
        with pytest.raises(ConnectError):
            await connect(address, 0.5)

    run_async(scenario)


@pytest.mark.parametrize(
    ("header", "idle_s"),
    [
        (b"", DEFAULT_IDLE_TIMEOUT_S),
        (b"Keep-Alive: timeout=10\r\n", 10.0),
        (b"Keep-Alive: max=3, timeout=2\r\n", 2.0),
        (b"Keep-Alive: timeout=soon\r\n", DEFAULT_IDLE_TIMEOUT_S),
    ],
)
def test_connection_stays_reusable_for_a_share_of_the_stated_time_out(
    header: bytes, idle_s: float
) -> None:
    async def scenario() -> None:
        answer = OK.replace(b"\r\n\r\n", b"\r\n" + header + b"\r\n")
        async with answering(answer, OK) as address:
            conn = await connect(address, 1.0)
            await exchange(conn)
            assert conn.finish_exchange(100.0)
            assert conn.idle_until_s == pytest.approx(100.0 + idle_s * IDLE_TIMEOUT_SHARE)
            conn.abort()

    run_async(scenario)


def test_unsolicited_bytes_end_the_connection() -> None:
    async def scenario() -> None:
        async with answering(OK + OK, OK) as address:
            conn = await connect(address, 1.0)
            await exchange(conn)
            await asyncio.sleep(0.05)
            assert not conn.finish_exchange(0.0)
            conn.abort()

    run_async(scenario)


def test_request_that_was_given_up_is_still_delivered() -> None:
    """The peer reads only after the client has closed, as behind a cut that ends."""

    async def scenario() -> None:
        address = free_address()
        listener = socket.create_server((address.host, address.port))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        conn = await connect(address, 1.0)
        peer, _ = await loop.sock_accept(listener)
        await conn.send_head(b"POST", b"/", [(b"host", b"x"), (b"content-length", b"10000000")])
        sending = asyncio.create_task(conn.send_part(b"x" * 10_000_000))
        await asyncio.sleep(0.1)
        sending.cancel()
        conn.abort()
        await asyncio.sleep(0.1)
        with pytest.raises(ConnectionResetError):
            while await loop.sock_recv(peer, 65_536):
                pass
        peer.close()
        listener.close()

    run_async(scenario)


def test_closed_connection_is_logged_in_the_words_of_the_parser() -> None:
    async def scenario() -> None:
        async with answering(b"") as address:
            conn = await connect(address, 1.0)
            await conn.send_head(b"GET", b"/", [(b"host", b"x")])
            conn.end_body()
            with pytest.raises(ExchangeError, match="closed before the answer"):
                await conn.read_head()

    run_async(scenario)


def test_body_is_sent_on_after_an_answer_to_another_request() -> None:
    """The rest of the body was given up, and the connection counted as free for a next request."""

    async def scenario() -> None:
        async with answering(OK + OK, OK) as address:
            conn = await connect(address, 1.0)
            await conn.send_head(b"POST", b"/", [(b"host", b"x"), (b"content-length", b"6")])
            await conn.send_part(b"abc")
            await _read_answer(conn)
            conn.discard_answer()
            await _read_answer(conn)
            assert not conn.finish_exchange(0.0)
            await conn.send_part(b"def")
            conn.end_body()
            assert conn.finish_exchange(0.0)
            conn.abort()

    run_async(scenario)


async def _read_answer(conn: ClientConnection) -> None:
    await conn.read_head()
    while await conn.read_part() is not None:
        pass


# A library that takes the end of the stream for the end of a head would return such an answer.
@pytest.mark.parametrize(
    "answer", [OK, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n02\r\nok\r\n00\r\n\r\n"]
)
def test_answer_cut_at_any_place_is_taken_for_a_whole_one(answer: bytes) -> None:
    async def scenario() -> None:
        for length in range(len(answer)):
            async with answering(answer[:length]) as address:
                with pytest.raises(ExchangeError):
                    await HttpClient(address)("GET", "/", b"", 2.0)

    run_async(scenario)


# All chunks that had arrived were read in one turn of the event loop.
def test_answer_in_tiny_chunks_holds_up_the_event_loop() -> None:
    async def scenario() -> None:
        count = 60_000
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        latest_s = 0.0

        async def watch() -> None:
            nonlocal latest_s
            loop = asyncio.get_running_loop()
            while True:
                began_s = loop.time()
                await asyncio.sleep(0.01)
                latest_s = max(latest_s, loop.time() - began_s - 0.01)

        async with answering(head + b"2\r\nab\r\n" * count + b"0\r\n\r\n") as address:
            conn = await connect(address, 1.0)
            await conn.send_head(b"GET", b"/", [(b"host", b"x")])
            conn.end_body()
            await conn.read_head()
            watching = asyncio.create_task(watch())
            parts: list[bytes] = []
            while (part := await conn.read_part()) is not None:
                parts.append(part)
            watching.cancel()
            assert b"".join(parts) == b"ab" * count
            assert latest_s <= LATE_S
            conn.abort()

    run_async(scenario)
