"""A light stand-in of a sound backend: it reads a request, works for a time and answers.

It reads a head without parsing each header, so that requests with many headers cost it little. It
runs `slots` requests at once, lets `queue` more wait, and turns the rest away with 503 and
X-Chervilmill-Request-Not-Run. It finishes what it has begun, whether its caller still waits or not.
"""

import asyncio
import contextlib
import hashlib
import re
import time
from dataclasses import dataclass, field

from chervilmill.addresses import Address

_ID = re.compile(rb"\r\nx-chervilmill-request-id: *([^\r]*)", re.I)
_EXPECTED = re.compile(rb"\r\nx-chervilmill-expected-instance: *([^\r]*)", re.I)
_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.I)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked", re.I)


@dataclass(slots=True)
class Run:
    """A request that the backend began to run."""

    request_id: str
    method: str
    path: str
    body_size: int
    body_digest: str
    at_s: float


@dataclass(slots=True)
class LightTarget:
    """A backend, from its start to its end."""

    name: str
    slots: int = 6
    work_s: float = 0.05
    queue: int = 18
    runs: list[Run] = field(default_factory=list)
    shed: int = 0
    arrivals: int = 0
    running: int = 0
    waiting: int = 0
    server: asyncio.Server | None = None
    free: asyncio.Semaphore | None = None

    async def listen(self, address: Address) -> None:
        """Start serving on an address."""
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(
            self._serve, address.host, address.port, limit=256 * 1024, backlog=512
        )

    def entry(self, service: str, address: Address, zone: str, born: int) -> dict[str, object]:
        """Return the entry with which the backend registers in the store."""
        return {
            "service": service,
            "address": str(address),
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-s": 0,
            "sequence": 1,
            "born": born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass  # cancelled only at the end of the case
        finally:
            writer.transport.abort()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        self.arrivals += 1
        method, path, _ = head.split(b"\r\n", 1)[0].split(b" ", 2)
        request_id = _first(_ID, head)
        expected = _first(_EXPECTED, head)
        if expected and expected != self.name.encode():
            own = b"X-Chervilmill-Instance-Id: " + self.name.encode()
            await self._answer(
                writer, b"421 Misdirected Request", request_id, [own], b"", close=True
            )
            return False
        if self.waiting >= self.queue:
            self.shed += 1
            not_run = [b"X-Chervilmill-Request-Not-Run: 1"]
            await self._answer(
                writer, b"503 Service Unavailable", request_id, not_run, b"", close=True
            )
            return False
        body = hashlib.sha256()
        size = 0
        async for part in body_parts(reader, head):
            size += len(part)
            body.update(part)
        assert self.free is not None
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        run = Run(
            request_id.decode(), method.decode(), path.decode(), size, body.hexdigest(), time.time()
        )
        self.runs.append(run)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
        content = f"{self.name} ran {run.request_id} {run.body_digest}".encode()
        seal = b"X-Chervilmill-Response-Seal: " + hashlib.sha256(content).hexdigest().encode()
        await self._answer(writer, b"200 OK", request_id, [seal], content)
        return True

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: bytes,
        request_id: bytes,
        lines: list[bytes],
        content: bytes,
        *,
        close: bool = False,
    ) -> None:
        load = f"X-Chervilmill-Server-Load: {self.running},{self.waiting},{self.slots}".encode()
        own = [load, b"Connection: close" if close else b"Keep-Alive: timeout=10"]
        if request_id:
            own.append(b"X-Chervilmill-Request-Id: " + request_id)
        length = f"Content-Length: {len(content)}".encode()
        writer.write(
            b"\r\n".join([b"HTTP/1.1 " + status, *lines, *own, length, b"", b""]) + content
        )
        await writer.drain()
        if close:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


def first_id(head: bytes) -> bytes:
    """Return the id of a request."""
    return _first(_ID, head)


def _first(pattern: re.Pattern[bytes], head: bytes) -> bytes:
    match = pattern.search(head)
    return match.group(1).strip() if match else b""


async def body_parts(reader: asyncio.StreamReader, head: bytes):  # type: ignore[no-untyped-def]
    """Yield the parts of a body that has a length or comes in chunks."""
    if _CHUNKED.search(head):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return
    left = int(_first(_LENGTH, head) or 0)
    while left:
        part = await reader.read(min(left, 65536))
        if not part:
            raise EOFError
        left -= len(part)
        yield part
