"""Test answers without end from the store and from peers, as a VM reads them."""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import HttpClient
from chervilmill.entry._replica_copies import fetch_replica
from chervilmill.errors import ChervilmillError
from chervilmill.platform import PlatformStore, StoreVersion
from tests.support import free_address, run_async

BLOCK = b"x" * 16_384
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
TIMEOUT_S = 20.0
CALLS = 8  # four kinds, each watched and confirmed
MAX_MEMORY_BYTES = 200 * 1024 * 1024  # a VM has 300 MB, of which it uses some 40 MB

# What the peer sends first, and what it repeats until the connection is closed.
ENDLESS = {
    "no_answer_at_all": (b"", BLOCK),
    "header": (b"HTTP/1.1 200 OK\r\nx-long: ", BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 1024),
    "interim_answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 512),
    "body_in_chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "body_until_the_end": (b"HTTP/1.1 200 OK\r\n\r\n", BLOCK),
    "body_of_a_huge_length": (b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", BLOCK),
    "chunk_size": (CHUNKED, b"0" * 16_384),
    "chunk_extension": (CHUNKED + b"4;", BLOCK),
    "trailer": (CHUNKED + b"0\r\nx-long: ", BLOCK),
}


@asynccontextmanager
async def _endless_peer(first: bytes, repeated: bytes) -> AsyncIterator[Address]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    address = free_address()
    server = await asyncio.start_server(serve, address.host, address.port)
    try:
        yield address
    finally:
        server.close()


async def _list(address: Address) -> None:
    await PlatformStore(HttpClient(address), "store").list_all("servers", TIMEOUT_S)


async def _watch(address: Address) -> None:
    store = PlatformStore(HttpClient(address), "store")
    await store.watch("servers", StoreVersion(0, 1), 0.0, TIMEOUT_S, allow_stale=False)


async def _fetch(address: Address) -> None:
    await fetch_replica(address, "servers")


READERS = {"list": _list, "watch": _watch, "copy_of_a_peer": _fetch}


# The answers of the store and of peers were kept up to 64 MB each, more than a VM has together.
@pytest.mark.parametrize("reader", READERS.values(), ids=READERS)
@pytest.mark.parametrize(("first", "repeated"), ENDLESS.values(), ids=ENDLESS)
def test_answer_without_end_fills_the_memory_of_an_entry_vm(
    reader: Callable[[Address], Awaitable[None]], first: bytes, repeated: bytes
) -> None:
    async def scenario() -> None:
        async with _endless_peer(first, repeated) as address:
            tracemalloc.start()
            try:
                calls = (reader(address) for _ in range(CALLS))
                results = await asyncio.gather(*calls, return_exceptions=True)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert all(isinstance(result, ChervilmillError) for result in results)
            assert peak < MAX_MEMORY_BYTES

    run_async(scenario)
