"""Provide servers, scripted peers and raw clients for the tests of chervilmill.aio."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from chervilmill.addresses import Address
from chervilmill.aio import ClientConnection, Handler, HttpServer, ServerLimits
from tests.support import free_address

LIMITS = ServerLimits(header_bytes=4096, header_timeout_s=0.5, idle_s=0.5)


@asynccontextmanager
async def serving(handler: Handler) -> AsyncIterator[tuple[HttpServer, Address]]:
    """Run a server and yield it with its address."""
    server = HttpServer(handler, lambda: LIMITS)
    address = free_address()
    await server.listen(address)
    try:
        yield server, address
    finally:
        server.stop_accepting()
        for conn in list(server.connections):
            conn.abort()


@asynccontextmanager
async def answering(*answers: bytes) -> AsyncIterator[Address]:
    """Yield the address of a peer that sends one answer per request and then closes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
        await writer.drain()
        writer.close()

    address = free_address()
    server = await asyncio.start_server(serve, address.host, address.port)
    try:
        yield address
    finally:
        server.close()


async def talk(address: Address, data: bytes) -> bytes:
    """Send bytes to a server and return all it sends until it closes the connection."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(data)
        async with asyncio.timeout(5.0):
            return await reader.read()
    finally:
        writer.close()


async def exchange(conn: ClientConnection) -> None:
    """Send a request and read its whole answer."""
    await conn.send_head(b"GET", b"/", [(b"host", b"x")])
    conn.end_body()
    await conn.read_head()
    while await conn.read_part() is not None:
        pass
