"""Upload through targets that answer before they have read the body, and read on later."""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from chervilmill.aio import AnswerHead, ClientConnection, connect
from soak.site import HOST
from soak.store import StandInStore
from soak.target import StandInTarget
from tests.entry.harness import SiteUnderTest, running_site
from tests.entry.pair import Pair
from tests.entry.test_cut_off_from_targets import _ask_until_found, _Cut
from tests.support import free_address, run_async

UPLOAD = bytes(range(256)) * 1200
SEND_S = 0.4
DEADLINE_MS = 1500
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
SEAL = b"X-Chervilmill-Response-Seal: s\r\n"


@dataclass(slots=True)
class _Arrived:
    """What a target got of one body."""

    size: int = 0
    digest: str = ""
    is_whole: bool = False


@dataclass(slots=True)
class _EarlyTarget:
    """A target that answers as soon as it has a head.

    It ends the answer only after the body if `ends_late`. It reads nothing more of a body if it is
    not `reading`.
    """

    status: bytes = b"200 OK"
    headers: bytes = SEAL
    states_id: bool = True
    ends_late: bool = False
    is_reading: bool = True
    bodies: list[_Arrived] = field(default_factory=list)
    connections: int = 0
    _server: asyncio.Server | None = None
    _serving: set[asyncio.Task[None]] = field(default_factory=set)

    async def listen(self, store: StandInStore) -> None:
        """Start serving and register."""
        address = free_address()
        self._server = await asyncio.start_server(self._accept, address.host, address.port)
        store.put("servers", "early", StandInTarget("early").entry("app", address, "north-a", 1))

    async def stop(self) -> None:
        """Stop serving."""
        assert self._server is not None
        self._server.close()
        for serving in self._serving:
            serving.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._serving.add(asyncio.ensure_future(self._serve(reader, writer)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                await self._answer(head, reader, writer)
        writer.close()

    async def _answer(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n") if b": " in line)
        request_id = lines.get(b"x-chervilmill-request-id")
        stated_id = b""
        if request_id and self.states_id:
            stated_id = b"X-Chervilmill-Request-Id: " + request_id + b"\r\n"
        framing = CHUNKED if self.ends_late else LENGTH
        start = b"5\r\nbegun\r\n" if self.ends_late else b"done"
        writer.write(
            b"HTTP/1.1 " + self.status + b"\r\n" + self.headers + stated_id + framing + b"\r\n"
        )
        writer.write(start)
        arrived = _Arrived()
        self.bodies.append(arrived)
        if not self.is_reading:
            await asyncio.sleep(60.0)
        digest = hashlib.sha256()
        length = int(lines.get(b"content-length", b"0"))
        while arrived.size < length and (part := await reader.read(length - arrived.size)):
            arrived.size += len(part)
            digest.update(part)
        arrived.digest, arrived.is_whole = digest.hexdigest(), arrived.size == length
        if self.ends_late:
            writer.write(b"3\r\nend\r\n0\r\n\r\n")


@asynccontextmanager
async def _site_with(folder: Path, target: _EarlyTarget) -> AsyncIterator[SiteUnderTest]:
    """Yield a running site whose only target is the given one."""
    async with running_site(folder, targets=()) as site:
        await target.listen(site.store)
        await site.settle()
        try:
            yield site
        finally:
            await target.stop()


@dataclass(slots=True)
class _Uploaded:
    """The answer to an upload, and after how long its caller had it."""

    status: int
    body: bytes
    answered_s: float


async def _upload(
    conn: ClientConnection, request_id: str, sent_share: float = 1.0, path: str = "/bundle/a"
) -> _Uploaded:
    """Send a share of an upload at a steady pace while the answer is read."""
    headers = [(b"host", HOST.encode()), (b"content-length", str(len(UPLOAD)).encode())]
    headers.append((b"x-chervilmill-deadline-milliseconds", str(DEADLINE_MS).encode()))
    if request_id:
        headers.append((b"x-chervilmill-request-id", request_id.encode()))
    loop = asyncio.get_running_loop()
    began_s = loop.time()

    async def send() -> None:
        step = len(UPLOAD) // 40
        for begin in range(0, int(len(UPLOAD) * sent_share), step):
            await conn.send_part(UPLOAD[begin : begin + step])
            await asyncio.sleep(SEND_S / 40)
        if sent_share == 1.0:
            conn.end_body()

    async def read() -> tuple[AnswerHead, bytes, float]:
        head = await conn.read_head()
        parts: list[bytes] = []
        while (part := await conn.read_part()) is not None:
            parts.append(part)
        return head, b"".join(parts), loop.time() - began_s

    await conn.send_head(b"POST", path.encode(), headers)
    (head, body, answered_s), _ = await asyncio.gather(read(), send())
    return _Uploaded(head.status, body, answered_s)


def _check_whole(target: _EarlyTarget, count: int) -> None:
    digest = hashlib.sha256(UPLOAD).hexdigest()
    assert [arrived.size for arrived in target.bodies] == [len(UPLOAD)] * count
    assert all(arrived.is_whole and arrived.digest == digest for arrived in target.bodies)


async def _until(is_so: Callable[[], bool], limit_s: float) -> bool:
    """Wait until a condition holds, for a time at most, and return whether it does."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + limit_s
    while not is_so() and loop.time() < until_s:
        await asyncio.sleep(0.02)
    return is_so()


# The target got the start of an upload that its caller had been told was done.
@pytest.mark.parametrize(
    ("options", "request_id"),
    [
        ({}, "early-{}"),
        ({"status": b"303 -"}, "early-{}"),
        ({"ends_late": True}, "early-{}"),
        ({"states_id": False}, "early-{}"),
        ({}, ""),
        ({"headers": SEAL + b"Connection: close\r\n"}, "early-{}"),
    ],
    ids=["done", "redirect", "ends_late", "no_id_stated", "request_without_id", "closing"],
)
def test_answer_before_the_end_of_the_body_cuts_the_body(
    tmp_path: Path, options: dict[str, Any], request_id: str
) -> None:
    target = _EarlyTarget(**options)

    async def scenario() -> None:
        async with _site_with(tmp_path, target) as site:
            conn = await connect(site.caller_address, 1.0)
            for serial in range(3):
                uploaded = await _upload(conn, request_id.format(serial))
                assert uploaded.status < 400
                assert uploaded.body == (b"begunend" if target.ends_late else b"done")
                assert target.ends_late or uploaded.answered_s < SEND_S / 2
                assert conn.finish_exchange(asyncio.get_running_loop().time())
            await _until(lambda: all(arrived.is_whole for arrived in target.bodies), 1.0)
            _check_whole(target, 3)
            conn.abort()

    run_async(scenario)


# The connection was reset, so that each such upload cost the target and the VM a new one.
def test_connection_is_lost_with_an_early_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        target = _EarlyTarget()
        async with _site_with(tmp_path, target) as site:
            conn = await connect(site.caller_address, 1.0)
            for serial in range(3):
                await _upload(conn, f"early-{serial}")
                conn.finish_exchange(asyncio.get_running_loop().time())
            assert target.connections == 1
            conn.abort()

    run_async(scenario)


# The same cut on the way through a peer, which relays the request of a VM without targets.
@pytest.mark.parametrize("ends_late", [False, True])
def test_early_answer_through_a_peer_cuts_the_body(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ends_late: bool
) -> None:
    async def scenario() -> None:
        pair = Pair(tmp_path)
        target = _EarlyTarget(ends_late=ends_late)
        try:
            await pair.start()
            relaying = pair.sites[1]
            _Cut(relaying, monkeypatch, hangs=False)
            await target.listen(pair.store)
            pair.store.delete("servers", "t1")
            await relaying.settle()
            await _ask_until_found(relaying)
            target.bodies.clear()
            conn = await connect(relaying.caller_address, 1.0)
            uploaded = await _upload(conn, "relayed")
            assert (uploaded.status, uploaded.body) == (200, b"begunend" if ends_late else b"done")
            await _until(lambda: all(arrived.is_whole for arrived in target.bodies), 1.0)
            _check_whole(target, 1)
            conn.abort()
        finally:
            await target.stop()
            await pair.stop()

    run_async(scenario)


# The rest of a refused body is of no use to its target.
@pytest.mark.parametrize("status", [b"413 -", b"500 -"])
def test_rest_of_a_refused_body_is_sent(tmp_path: Path, status: bytes) -> None:
    async def scenario() -> None:
        target = _EarlyTarget(status=status)
        async with _site_with(tmp_path, target) as site:
            conn = await connect(site.caller_address, 1.0)
            uploaded = await _upload(conn, "refused")
            assert uploaded.status == int(status[:3])
            assert not any(arrived.is_whole for arrived in target.bodies)
            conn.abort()

    run_async(scenario)


# A slot of the target stays taken by an upload whose rest the target or the caller holds back.
@pytest.mark.parametrize("is_reading", [False, True])
def test_held_up_rest_outlasts_the_time_of_its_request(tmp_path: Path, is_reading: bool) -> None:
    async def scenario() -> None:
        target = _EarlyTarget(is_reading=is_reading)
        async with _site_with(tmp_path, target) as site:
            conn = await connect(site.caller_address, 1.0)
            uploaded = await _upload(conn, "held", sent_share=0.5 if is_reading else 1.0)
            assert (uploaded.status, uploaded.body) == (200, b"done")
            assert uploaded.answered_s < SEND_S / 2
            target.is_reading = True
            other = await connect(site.caller_address, 1.0)
            limit_s = DEADLINE_MS / 1000 + 0.5
            assert await _until(lambda: not _is_busy(site), limit_s)
            assert (await _upload(other, "next")).status == 200
            assert await _until(lambda: target.bodies[-1].is_whole, 1.0)
            conn.abort()
            other.abort()

    run_async(scenario)


def _is_busy(site: SiteUnderTest) -> bool:
    return site.vm._caller_server.busy_count > 0
