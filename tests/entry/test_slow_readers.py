"""Serve callers and use targets that are alive and read slowly, also through a peer."""

import asyncio
import hashlib
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from chervilmill.addresses import Address
from chervilmill.entry import _answer_time
from soak.site import HOST, RouteRow, configuration
from soak.store import StandInStore
from soak.target import StandInTarget
from tests.entry.harness import running_site
from tests.entry.pair import Pair
from tests.entry.test_cut_off_from_targets import _ask_until_found, _Cut
from tests.support import free_address, run_async

PAUSES_S = (2.2, 4.0)
SIZES = {"buffered": 30_000, "long": 2_000_000}
CHUNK_BYTES = 65_536
DEADLINE_MS = 12_000
ROUTES = (
    RouteRow("reads", "/read/", "safe"),
    RouteRow("orders", "/order/", "unsafe", timeout_s=10.0),
    RouteRow("bundles", "/bundle/", "upload", timeout_s=10.0),
)
SEALED = b"HTTP/1.1 200 OK\r\nX-Chervilmill-Response-Seal: s\r\n"


class PausingTarget:
    """A target that pauses before it reads a body, and answers with its digest or a long body."""

    def __init__(
        self, pause_s: float = 0.0, answer_bytes: int = 0, chunk_pause_s: float = 0.0
    ) -> None:
        self._chunk_pause_s = chunk_pause_s
        self._pause_s = pause_s
        self._answer_bytes = answer_bytes
        self._server: asyncio.Server | None = None
        self.runs = 0

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
            while head := (await reader.readuntil(b"\r\n\r\n")).lower():
                self.runs += 1
                request_id = head.split(b"request-id: ")[1].split(b"\r\n")[0]
                length = 0
                if b"content-length: " in head:
                    length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(self._pause_s)
                writer.transport.resume_reading()  # type: ignore[attr-defined]
                body = await reader.readexactly(length)
                answer = hashlib.sha256(body).hexdigest().encode() or b""
                answer = b"x" * self._answer_bytes if self._answer_bytes else answer
                id_line = b"X-Chervilmill-Request-Id: " + request_id + b"\r\n"
                size = b"Content-Length: %d\r\n\r\n" % len(answer)
                writer.write(SEALED + id_line + size)
                for start in range(0, len(answer), CHUNK_BYTES):
                    writer.write(answer[start : start + CHUNK_BYTES])
                    await writer.drain()
                    await asyncio.sleep(self._chunk_pause_s)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def _ask_slowly(
    address: Address,
    request_id: str,
    pause_s: float,
    deadline_ms: int = DEADLINE_MS,
    buffer_bytes: int = 4096,
) -> tuple[int, int]:
    """Send an order, read nothing for a time, and return the status and the length of the body."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.settimeout(10.0)
        sock.connect((address.host, address.port))
        head = (
            f"POST /order/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
            f"X-Chervilmill-Request-Id: {request_id}\r\n"
            f"X-Chervilmill-Deadline-Milliseconds: {deadline_ms}\r\nConnection: close\r\n\r\n"
        )
        sock.sendall(head.encode())
        time.sleep(pause_s)
        data = b""
        while part := sock.recv(262_144):
            data += part
    return int(data[9:12]), len(data.partition(b"\r\n\r\n")[2])


@asynccontextmanager
async def _relaying(
    folder: Path, monkeypatch: pytest.MonkeyPatch, target: PausingTarget
) -> AsyncIterator[Pair]:
    """Yield two VMs, the second of which reaches targets only through the first."""
    pair = Pair(folder, ROUTES)
    try:
        await pair.start()
        cut = _Cut(pair.sites[1], monkeypatch, hangs=False)
        await _ask_until_found(pair.sites[1])
        await target.listen(pair.store)
        await pair.sites[1].settle()
        yield pair
        assert not cut.is_healed
    finally:
        target.stop()
        await pair.stop()


# An order whose answer its caller left unread for 2 s was cut, and could not be sent again.
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
def test_caller_that_pauses_loses_the_answer_to_its_order(
    tmp_path: Path, size: int, pause_s: float
) -> None:
    async def scenario() -> None:
        target = PausingTarget(answer_bytes=size)
        async with running_site(tmp_path, targets=(), routes=ROUTES) as site:
            await target.listen(site.store)
            await site.settle()
            try:
                asked = [
                    asyncio.to_thread(_ask_slowly, site.caller_address, f"o-{n}", pause_s)
                    for n in range(3)
                ]
                assert await asyncio.gather(*asked) == [(200, size)] * 3
                assert target.runs == 3
            finally:
                target.stop()

    run_async(scenario)


# An upload that its target left unread for 2 s ended in 502, and could not be sent again.
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("size", [2_000_000, 8_000_000])
def test_upload_to_a_target_that_pauses_is_lost(tmp_path: Path, size: int, pause_s: float) -> None:
    async def scenario() -> None:
        target, body = PausingTarget(pause_s), bytes(range(256)) * (size // 256)
        async with running_site(tmp_path, targets=(), routes=ROUTES) as site:
            longer = configuration(2, ROUTES)
            longer["limits"]["max-body-bytes"] = size  # type: ignore[index]
            site.store.put("config", "main", longer)
            await target.listen(site.store)
            await site.settle()
            try:
                answer = await site.ask("/bundle/a", "POST", body, deadline_ms=DEADLINE_MS)
            finally:
                target.stop()
            assert (answer.status, answer.is_whole) == (200, True)
            assert answer.body.decode() == hashlib.sha256(body).hexdigest()
            assert target.runs == 1

    run_async(scenario)


# The same through a peer, on whose connection both sides may wait.
@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
def test_caller_that_pauses_loses_a_relayed_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    async def scenario() -> None:
        target = PausingTarget(answer_bytes=size)
        async with _relaying(tmp_path, monkeypatch, target) as pair:
            asked = asyncio.to_thread(_ask_slowly, pair.sites[1].caller_address, "o-1", 2.2)
            assert await asked == (200, size)
            assert target.runs == 1

    run_async(scenario)


def test_relayed_upload_to_a_target_that_pauses_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        target, body = PausingTarget(2.2), bytes(range(256)) * 3_500
        async with _relaying(tmp_path, monkeypatch, target) as pair:
            answer = await pair.sites[1].ask("/bundle/a", "POST", body, deadline_ms=DEADLINE_MS)
            assert answer.status == 200
            assert answer.body.decode() == hashlib.sha256(body).hexdigest()

    run_async(scenario)


# The rest of an answer that was there was dropped at the deadline, as its caller was still reading.
@pytest.mark.parametrize("size", [30_000, 20_000_000])  # the system's buffers hold some megabytes
def test_answer_is_broken_off_at_a_deadline_that_its_target_met(tmp_path: Path, size: int) -> None:
    async def scenario() -> None:
        target = PausingTarget(answer_bytes=size)
        async with running_site(tmp_path, targets=(), routes=ROUTES) as site:
            await target.listen(site.store)
            await site.settle()
            try:
                address = site.caller_address
                asked = asyncio.to_thread(_ask_slowly, address, "o-1", 3.0, 1500, 262_144)
                assert await asked == (200, size)
                record = site.vm._site_state.fleet.record("t1")
                assert record is not None and not record.is_ejected(0.0)
            finally:
                target.stop()

    run_async(scenario)


def test_caller_may_read_a_late_answer_for_any_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_answer_time, "LATE_DELIVERY_S", 1.0)

    async def scenario() -> None:
        target = PausingTarget(answer_bytes=20_000_000)
        async with running_site(tmp_path, targets=(), routes=ROUTES) as site:
            await target.listen(site.store)
            await site.settle()
            try:
                asked = asyncio.to_thread(_ask_slowly, site.caller_address, "o-1", 4.0, 1000)
                with pytest.raises(ConnectionResetError):
                    await asked
            finally:
                target.stop()

    run_async(scenario)


def test_target_that_stalls_within_its_answer_is_waited_for_beyond_the_deadline(
    tmp_path: Path,
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        request_id = head.split(b"request-id: ")[1].split(b"\r\n")[0]
        id_line = b"X-Chervilmill-Request-Id: " + request_id + b"\r\n"
        writer.write(SEALED + id_line + b"Content-Length: 20\r\n\r\nfirst half")
        await reader.read()

    async def scenario() -> None:
        async with running_site(tmp_path, targets=(), routes=ROUTES) as site:
            address = free_address()
            server = await asyncio.start_server(serve, address.host, address.port)
            entry = StandInTarget("t1").entry("app", address, "north-a", 2)
            site.store.put("servers", "t1", entry)
            await site.settle()
            began_s = asyncio.get_running_loop().time()
            try:
                answer = await site.ask("/order/a", "POST", deadline_ms=1000)
            finally:
                server.close()
            assert (answer.status, answer.is_whole) == (200, False)
            assert 0.9 < asyncio.get_running_loop().time() - began_s < 1.5

    run_async(scenario)
