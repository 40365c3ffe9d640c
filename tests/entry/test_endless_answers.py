"""Test targets that send bytes without end, in a head or a body, until the entry VM closes."""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from soak.target import StandInTarget
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import free_address, run_async

BLOCK = b"x" * 16_384
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
SHED = b"HTTP/1.1 503 Busy\r\nx-chervilmill-request-not-run: 1\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nx-chervilmill-request-id: other\r\n"
SEALED = b"HTTP/1.1 200 OK\r\nx-chervilmill-response-seal: s\r\n"
MAX_MEMORY_BYTES = 4 * 1024 * 1024
MAX_ANSWER_S = 1.5  # of a deadline of 5 s
CLOSED_S = 1.0
CHUNKS = b"4000\r\n" + BLOCK + b"\r\n"

# What the target sends first, and what it repeats until the connection is closed.
ENDLESS = {
    "no_answer_at_all": (b"", BLOCK),
    "lines_of_no_answer": (b"", b"x\r\n" * 4096),
    "header_without_end": (b"HTTP/1.1 200 OK\r\nx-long: ", BLOCK),
    "headers_without_end": (b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 1024),
    "interim_answers_without_end": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 512),
    "body_of_a_shed_request": (SHED + CHUNKED, CHUNKS),
    "body_of_an_answer_to_another_request": (OTHER + CHUNKED, CHUNKS),
    "body_without_a_length_of_a_shed_request": (SHED + b"\r\n", BLOCK),
    "chunk_size_without_end": (SHED + CHUNKED, b"0" * 16_384),
}


class EndlessTarget:
    """A target that answers each request with bytes without end."""

    def __init__(self, first: bytes, repeated: bytes) -> None:
        self._first, self._repeated = first, repeated
        self.requests = 0
        self.open = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the first request on a connection until it is closed."""
        self.open += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self._first)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


@asynccontextmanager
async def _site_with(
    tmp_path: Path, first: bytes, repeated: bytes
) -> AsyncIterator[tuple[SiteUnderTest, EndlessTarget]]:
    """Yield a site whose only target sends bytes without end."""
    target = EndlessTarget(first, repeated)
    address = free_address()
    async with running_site(tmp_path, targets=()) as site:
        server = await asyncio.start_server(target.serve, address.host, address.port)
        entry = StandInTarget("endless").entry("app", address, "north-a", 1)
        site.store.put("servers", "endless", entry)
        await site.settle()
        try:
            yield site, target
        finally:
            server.close()


@pytest.mark.parametrize(("first", "repeated"), ENDLESS.values(), ids=ENDLESS)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_bytes_without_end_hold_a_request_and_fill_the_memory(
    tmp_path: Path, first: bytes, repeated: bytes, method: str
) -> None:
    async def scenario() -> None:
        async with _site_with(tmp_path, first, repeated) as (site, target):
            loop = asyncio.get_running_loop()
            tracemalloc.start()
            began_s = loop.time()
            path, body = ("/read/1", b"") if method == "GET" else ("/order/1", b"x")
            answer = await site.ask(path, method, body, deadline_ms=5000)
            took_s = loop.time() - began_s
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert took_s < MAX_ANSWER_S
            assert peak < MAX_MEMORY_BYTES
            is_shed = b"not-run" in first
            assert answer.status == (503 if is_shed else 502), "unknown unless proved"
            assert target.requests == 1
            await asyncio.sleep(CLOSED_S)
            assert target.open == 0, "the connection is closed and not used again"

    run_async(scenario)


def test_endless_body_of_an_answer_looks_whole_or_is_held_in_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with _site_with(tmp_path, SEALED + CHUNKED, CHUNKS) as (site, target):
            tracemalloc.start()
            conn = await site.connect_from("127.0.1.1")
            asking = asyncio.create_task(site.ask("/read/1", deadline_ms=1500, conn=conn))
            answer = await asking
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert not answer.is_whole
            assert peak < MAX_MEMORY_BYTES + 2 * len(answer.body)
            await asyncio.sleep(CLOSED_S)
            assert target.open == 0

    run_async(scenario)
