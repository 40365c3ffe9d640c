"""Keep an entry VM process within its memory and descriptors beside uncontrolled callers."""

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import (
    ConnectError,
    ExchangeError,
    RequestHead,
    ServerConnection,
    connect,
)
from soak.site import (
    DEFAULT_ROUTES,
    HOST,
    RouteRow,
    VmPorts,
    configuration,
    settings,
    write_settings,
)
from soak.store import StandInStore
from soak.target import REQUEST_ID, SEAL, StandInTarget
from tests.entry.harness import ask_on, is_ready, until
from tests.support import ROOT, free_address, run_async
from tests.uncontrolled import CHUNK_BYTES, Behaviour, alone, play, read_held

MEMORY_MB = 64  # 33 MB of which the process takes when it starts
DESCRIPTORS = 400
PLAY_S = 3.0
ANSWER_TRIES = 40  # each of up to 1.5 s; a VM that refuses states when to retry
MAX_BODY_BYTES = 67_108_864
UPLOADS = 4
UPLOAD_BODY = b"x" * 350_000
SLOW_WORK_FACTOR = 60.0  # 1.2 s
LONG_ANSWER_BYTES = 2 * 1024 * 1024
GET = f"GET /read/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
UNKNOWN = f"GET /none HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
LONG = f"GET /read/long HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
UPLOAD = (
    f"POST /bundle/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
).encode()
SHORT_HEADERS = b"".join(b"%c:%d\r\n" % (97 + n % 26, n % 10) for n in range(3000))
MANY_HEADERS = (
    f"POST /bundle/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 100\r\n".encode()
    + SHORT_HEADERS
    + b"\r\n"
)

ROUTES = (*DEFAULT_ROUTES, RouteRow("archives", "/archive/", "upload", timeout_s=60.0))

BEHAVIOURS = {
    "pipelined": Behaviour(24, GET, GET * 1500, 8 * 1024 * 1024),
    "pipelined_refused": Behaviour(24, UNKNOWN, UNKNOWN * 1500, 8 * 1024 * 1024),
    "uploads_stop": Behaviour(300, UPLOAD, b"x" * CHUNK_BYTES, 900 * 1024),
    "uploads_slow": Behaviour(300, UPLOAD, b"x" * CHUNK_BYTES, MAX_BODY_BYTES, 0.2),
    "long_answers": Behaviour(300, LONG * 20),
    "endless_heads": Behaviour(300, GET[:-2], b"a: b\r\n", 16_000, 0.05),
    # Each head took half a megabyte, and was not counted.
    "many_headers": Behaviour(300, MANY_HEADERS),
    "many_headers_refused": Behaviour(300, MANY_HEADERS.replace(b"/bundle/", b"/none/")),
    "idle": Behaviour(600, b""),
}


class _LongAnswerTarget(StandInTarget):
    """A target whose answers to /read/long have 2 MB."""

    async def _run(self, conn: ServerConnection, head: RequestHead) -> None:
        if head.target != b"/read/long":
            await super()._run(conn, head)
            return
        echo = [(key, value) for key, value in head.headers if key == REQUEST_ID]
        await conn.answer(200, [(SEAL, b"long"), *echo], b"x" * LONG_ANSWER_BYTES)


class _VmUnderTest:
    """An entry VM process with a store and targets that run on the event loop of the test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StandInStore()
        self.targets = [_LongAnswerTarget(f"t{index}", slots=8) for index in (1, 2)]
        self.ports = VmPorts("127.0.0.1", *[free_address().port for _ in range(6)])
        self.callers = Address("127.0.0.1", self.ports.callers)
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        address = free_address()
        await self.store.listen(address)
        site = configuration(1, ROUTES)
        site["limits"]["max-body-bytes"] = MAX_BODY_BYTES  # type: ignore[index]
        self.store.put("config", "main", site)
        for target in self.targets:
            own = free_address()
            await target.listen(own)
            self.store.put("servers", target.name, target.entry("app", own, "north-a", 1))
        content = settings("vm-1", "north-a", self.ports, address)
        content["limits"].update(  # type: ignore[attr-defined]
            {"memory-mb": MEMORY_MB, "file-descriptors": DESCRIPTORS}
        )
        path = write_settings(self.folder / "vm-1.json", content)
        with (self.folder / "vm-1.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "entry.py")],
                stdout=log,
                stderr=log,
                env={**os.environ, "CHERVILMILL_SETTINGS": str(path)},
            )
        await until(lambda: is_ready(Address("127.0.0.1", self.ports.readiness)))

    def check(self) -> None:
        """Check that the process lives, within its memory and its descriptors."""
        assert self.process is not None
        assert self.process.poll() is None, "the process ended"
        held = read_held(self.process.pid)
        assert held.peak_mb <= MEMORY_MB
        assert held.descriptors <= DESCRIPTORS

    async def is_ordinary_request_answered(self) -> bool:
        """Return whether a request gets a 200 in a bounded number of tries."""
        for number in range(ANSWER_TRIES):
            try:
                async with asyncio.timeout(1.5):
                    if await self._ask(f"ordinary-{number}") == 200:
                        return True
            except (ConnectError, ExchangeError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def _ask(self, request_id: str) -> int:
        conn = await connect(self.callers, 1.0)
        try:
            answer = await ask_on(conn, "/read/b", "GET", b"", request_id, 1400, "7")
            return answer.status if answer.is_whole else 0
        finally:
            conn.abort()

    def stop(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.store.stop()
        for target in self.targets:
            target.crash()


@pytest.mark.parametrize("name", BEHAVIOURS)
def test_process_outgrows_its_vm_or_answers_no_more(tmp_path: Path, name: str) -> None:
    """A process that outgrows its VM is killed; one that is busy with callers that left is down."""

    async def scenario() -> None:
        vm = _VmUnderTest(tmp_path)
        try:
            await vm.start()
            assert await vm.is_ordinary_request_answered()
            await play(BEHAVIOURS[name], vm.callers, PLAY_S, vm.check)
            assert await vm.is_ordinary_request_answered()
            vm.check()
        finally:
            vm.stop()

    with alone():
        run_async(scenario)


# The copy of an upload, for another attempt, made its connection the first to be cut.
def test_upload_that_runs_is_cut_beside_callers_that_send_ahead(tmp_path: Path) -> None:
    async def scenario() -> None:
        vm = _VmUnderTest(tmp_path)
        try:
            await vm.start()
            for target in vm.targets:
                target.faults.work_factor = SLOW_WORK_FACTOR
            conns = [await connect(vm.callers, 1.0) for _ in range(UPLOADS)]
            uploads = [
                asyncio.create_task(
                    ask_on(conn, f"/bundle/{n}", "POST", UPLOAD_BODY, f"upload-{n}", 5000, "7")
                )
                for n, conn in enumerate(conns)
            ]
            async with asyncio.timeout(5.0):
                while sum(len(target.records.runs) for target in vm.targets) < UPLOADS:
                    await asyncio.sleep(0.01)
            ahead = Behaviour(60, GET, GET * 100, 200_000)
            await play(ahead, vm.callers, 1.0, vm.check)
            answers = await asyncio.gather(*uploads)
            assert [(answer.status, answer.is_whole) for answer in answers] == [
                (200, True)
            ] * UPLOADS
        finally:
            vm.stop()

    with alone():
        run_async(scenario)


def test_single_request_within_the_configured_limits_is_refused(tmp_path: Path) -> None:
    """Its body is longer than all that a VM of this size may hold, so it passes in parts."""

    async def scenario() -> None:
        vm = _VmUnderTest(tmp_path)
        try:
            await vm.start()
            conn = await connect(vm.callers, 1.0)
            body = b"x" * MAX_BODY_BYTES
            answer = await ask_on(conn, "/archive/a", "POST", body, "one", 60_000, "7")
            assert (answer.status, answer.is_whole) == (200, True)
            vm.check()
        finally:
            vm.stop()

    with alone():
        run_async(scenario)
