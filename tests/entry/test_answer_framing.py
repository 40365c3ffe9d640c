"""Send requests to targets that state a length beside the chunks of their answers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from chervilmill.aio import connect
from soak.store import StandInStore
from soak.target import StandInTarget
from tests.entry.harness import SiteUnderTest, running_site
from tests.entry.pair import Pair
from tests.entry.test_complete_responses import REQUESTS, _ask_raw
from tests.entry.test_cut_off_from_targets import _ask_until_found, _Cut
from tests.support import free_address, run_async

END = b"\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Chervilmill-Response-Seal: s\r\n"
PIECES = (b"first piece,", b"second one,,", b"and the last")
WHOLE = b"".join(PIECES)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Heads of an answer whose chunks hold 36 bytes.
AMBIGUOUS = {
    "length_last": CHUNKED + b"Content-Length: 12\r\n",
    "length_first": b"Content-Length: 12\r\n" + CHUNKED,
    "two_pieces": CHUNKED + b"Content-Length: 24\r\n",
    "zero": CHUNKED + b"Content-Length: 0\r\n",
    "other_case": b"TRANSFER-ENCODING: Chunked\r\ncontent-LENGTH: 12\r\n",
    "spaces": b"Transfer-Encoding:   chunked  \r\nContent-Length:   12  \r\n",
    "trailer": CHUNKED + b"Trailer: X-Sum\r\nContent-Length: 12\r\n",
    "connection_option": CHUNKED + b"Connection: Content-Length\r\nContent-Length: 12\r\n",
    "too_long": CHUNKED + b"Content-Length: 48\r\n",
}
PAUSES_S = (0.0, 0.1)  # with the second, the caller gets the first piece before the others arrive


class _ChunkingTarget:
    """A target that answers in chunks, below headers that frame the answer in a given way."""

    def __init__(self, framing: bytes, pause_s: float) -> None:
        self._framing = framing
        self._pause_s = pause_s
        self._server: asyncio.Server | None = None
        self.requests = 0

    async def listen(self, store: StandInStore, name: str = "t1") -> None:
        """Start serving and register."""
        address = free_address()
        self._server = await asyncio.start_server(self._serve, address.host, address.port)
        store.put("servers", name, StandInTarget(name).entry("app", address, "north-a", 2))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
                id_line = b"X-Chervilmill-Request-Id: " + request_id + b"\r\n"
                writer.write(HEAD + id_line + self._framing + b"\r\n")
                for piece in PIECES:
                    writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                    await asyncio.sleep(self._pause_s)
                writer.write(b"0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


@asynccontextmanager
async def _site_with(
    folder: Path, framing: bytes, pause_s: float
) -> AsyncIterator[tuple[SiteUnderTest, _ChunkingTarget]]:
    async with running_site(folder, targets=()) as site:
        target = _ChunkingTarget(framing, pause_s)
        await target.listen(site.store)
        await site.settle()
        try:
            yield site, target
        finally:
            target.stop()


# Callers got the first piece of such an answer as the whole one, and buffered ones unchecked.
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("name", AMBIGUOUS)
def test_part_of_an_answer_in_chunks_is_passed_on_as_whole(
    tmp_path: Path, name: str, pause_s: float
) -> None:
    async def scenario() -> None:
        async with _site_with(tmp_path, AMBIGUOUS[name], pause_s) as (site, target):
            for path, method in (("/read/a", "GET"), ("/order/a", "POST")):
                answer = await site.ask(path, method)
                assert answer.status != 200 or not answer.is_whole, path
                assert answer.status == 200 or answer.status == 502, path
            assert target.requests >= 2

    run_async(scenario)


# A length that matches the chunks was passed on beside them, or the answer refused.
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("framing", [CHUNKED, CHUNKED + b"Content-Length: 36\r\n"])
def test_whole_answer_in_chunks_is_refused_or_cut(
    tmp_path: Path, framing: bytes, pause_s: float
) -> None:
    async def scenario() -> None:
        async with _site_with(tmp_path, framing, pause_s) as (site, _):
            for path, method in (("/read/a", "GET"), ("/order/a", "POST")):
                answer = await site.ask(path, method)
                assert (answer.status, answer.is_whole, answer.body) == (200, True, WHOLE), path
            head, _, _ = (await _ask_raw(site.caller_address, *REQUESTS["read"])).partition(END)
            framed_by = (b"content-length:", b"transfer-encoding:")
            assert sum(head.lower().count(name) for name in framed_by) == 1

    run_async(scenario)


# An idempotent request was not sent to another target, though its caller had got nothing yet.
def test_idempotent_request_with_an_ambiguous_answer_is_not_sent_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t2",)) as site:
            target = _ChunkingTarget(AMBIGUOUS["length_last"], 0.0)
            await target.listen(site.store)
            await site.settle()
            try:
                answers = [await site.ask("/read/a", key=str(key)) for key in range(12)]
            finally:
                target.stop()
            assert [answer.status for answer in answers] == [200] * 12
            assert all(answer.is_whole for answer in answers)
            assert target.requests > 0

    run_async(scenario)


# A VM that reaches no target got the part from the peer that relayed the request.
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_part_of_a_relayed_answer_in_chunks_is_passed_on_as_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    async def scenario() -> None:
        pair = Pair(tmp_path)
        target = _ChunkingTarget(AMBIGUOUS["length_last"], pause_s)
        try:
            await pair.start()
            relaying = pair.sites[1]
            cut = _Cut(relaying, monkeypatch, hangs=False)
            await _ask_until_found(relaying)
            await target.listen(pair.store)
            await relaying.settle()
            for path, method in (("/read/a", "GET"), ("/order/a", "POST")):
                answer = await relaying.ask(path, method)
                assert answer.status != 200 or not answer.is_whole, path
            assert target.requests >= 2
            assert not cut.is_healed
        finally:
            target.stop()
            await pair.stop()

    run_async(scenario)


# A caller was told that the answer to its HEAD, or a 304, stands for an empty body.
@pytest.mark.parametrize(
    ("method", "status", "stated"),
    [("HEAD", b"200 OK", b"36"), ("HEAD", b"404 No", b"7"), ("GET", b"304 Same", b"36")],
)
def test_length_of_an_answer_without_a_body_is_replaced(
    tmp_path: Path, method: str, status: bytes, stated: bytes
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
            writer.write(HEAD.replace(b"200 OK", status))
            writer.write(b"X-Chervilmill-Request-Id: " + request_id)
            writer.write(b"\r\nContent-Length: " + stated + END)

    async def scenario() -> None:
        async with running_site(tmp_path, targets=()) as site:
            address = free_address()
            server = await asyncio.start_server(serve, address.host, address.port)
            entry = StandInTarget("t1").entry("app", address, "north-a", 2)
            site.store.put("servers", "t1", entry)
            await site.settle()
            conn = await connect(site.caller_address, 1.0)
            try:
                # The second shows whether the first was over, for the VM and its target too.
                async with asyncio.timeout(1.0):
                    answers = [await site.ask("/read/a", method, conn=conn) for _ in range(2)]
            finally:
                conn.abort()
                server.close()
            for answer in answers:
                assert answer.status == int(status[:3])
                assert (answer.is_whole, answer.body) == (True, b"")
                assert answer.headers[b"content-length"] == stated

    run_async(scenario)
