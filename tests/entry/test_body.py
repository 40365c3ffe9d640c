"""Keep a body for another attempt, as long as there is memory for it."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import HeldBytes, HttpServer, RequestHead, ServerConnection, ServerGuard
from chervilmill.entry._body import ReplayableBody
from tests.aio.support import LIMITS, talk
from tests.support import free_address, run_async

BODY = b"x" * 350_000  # the longest uploads are a little longer
UPLOAD = b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 350000\r\n\r\n"
MAX_HELD_BYTES = 1_000_000
OTHERS_BYTES = 800_000

Use = Callable[[ReplayableBody], Awaitable[None]]


@asynccontextmanager
async def _serving(use: Use) -> AsyncIterator[tuple[HeldBytes, Address]]:
    """Run a server that answers a request with 200 when its body was used."""

    async def handle(conn: ServerConnection, head: RequestHead) -> None:
        await use(ReplayableBody(conn, head, max_bytes=MAX_HELD_BYTES))
        await conn.answer(200, [], b"")

    held = HeldBytes(MAX_HELD_BYTES)
    server = HttpServer(handle, lambda: LIMITS, ServerGuard("callers", held))
    address = free_address()
    await server.listen(address)
    try:
        yield held, address
    finally:
        server.stop_accepting()
        for conn in list(server.connections):
            conn.abort()


async def _read(body: ReplayableBody) -> bytes:
    return b"".join([part async for part in body.parts()])


# Of all connections, that of an upload held the most, as it could be sent again, and was cut.
def test_upload_that_was_sent_is_cut_for_the_memory_of_others() -> None:
    async def scenario() -> None:
        async def use(body: ReplayableBody) -> None:
            assert await _read(body) == BODY
            assert held.total >= len(BODY)
            held.total += OTHERS_BYTES
            held.enforce()
            assert held.total < OTHERS_BYTES + 1000
            held.total -= OTHERS_BYTES
            assert not body.claim()

        async with _serving(use) as (held, address):
            cuts: list[bool] = []
            held.on_cut = lambda: cuts.append(True)
            assert (await talk(address, UPLOAD + BODY)).startswith(b"HTTP/1.1 200")
            assert not cuts
            assert held.total == 0

    run_async(scenario)


def test_body_that_is_sent_again_loses_its_buffer() -> None:
    """From the decision to send it again until that is done, only its connection can be cut."""

    async def scenario() -> None:
        async def use(body: ReplayableBody) -> None:
            assert await _read(body) == BODY
            assert body.claim() and not body.release()
            again = body.parts()
            first = await anext(again)
            assert not body.release()
            assert first + b"".join([part async for part in again]) == BODY
            assert body.release() and not body.release()
            assert not body.claim()

        async with _serving(use) as (_, address):
            assert (await talk(address, UPLOAD + BODY)).startswith(b"HTTP/1.1 200")

    run_async(scenario)


@pytest.mark.parametrize("released_parts", [1, 3])
def test_body_that_is_sent_for_the_first_time_loses_parts(released_parts: int) -> None:
    async def scenario() -> None:
        async def use(body: ReplayableBody) -> None:
            sent: list[bytes] = []
            async for part in body.parts():
                sent.append(part)
                if len(sent) == released_parts:
                    assert body.release()
                await asyncio.sleep(0)
            assert b"".join(sent) == BODY
            assert not body.claim()

        async with _serving(use) as (held, address):
            assert (await talk(address, UPLOAD + BODY)).startswith(b"HTTP/1.1 200")
            assert held.total == 0

    run_async(scenario)
