"""Stand-in for a target with slots, a queue, affinity and faults, which records its runs."""

import asyncio
import hashlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from chervilmill.addresses import Address
from chervilmill.aio import HttpServer, RequestHead, ServerConnection, ServerLimits, header_value
from soak.body import read_body
from soak.records import CRASHING_PATH_END

REQUEST_ID = b"x-chervilmill-request-id"
AFFINITY = b"x-chervilmill-request-affinity"
DEADLINE = b"x-chervilmill-deadline-milliseconds"
EXPECTED = b"x-chervilmill-expected-instance"
SEAL = b"x-chervilmill-response-seal"
LOAD = b"x-chervilmill-server-load"
LIMIT = b"x-chervilmill-server-limit"
LEAVING = b"x-chervilmill-server-leaving"
NOT_RUN = b"x-chervilmill-request-not-run"
INSTANCE = b"x-chervilmill-instance-id"
LIMITS = ServerLimits(header_bytes=65_536, header_timeout_s=5.0, idle_s=10.0)
MAX_CACHED_OBJECTS = 30
MIDWAY_S = 0.1  # entry VMs relay an answer that is slower than their buffering
CACHED_WORK_SHARE = 0.3  # work of a request whose object is cached, relative to others


class CrashMode(Enum):
    """How a crash shows to the entry VM that sent the request."""

    RESET = "reset"
    SILENT = "silent"  # like a host without power: connections stay open and nothing is answered
    MIDWAY = "midway"  # reset after the first half of an answer


@dataclass(slots=True)
class TargetFaults:
    """Faults of a target; each count is the number of next requests that meet the fault.

    `work_factor` multiplies the work of every request.
    """

    shed: int = 0
    lose_answer: int = 0
    break_off: int = 0
    spoil: int = 0
    answer_crossed: int = 0
    answer_early: int = 0
    extra: int = 0
    fail: int = 0
    work_factor: float = 1.0

    def consume(self, name: str) -> bool:
        """Return whether the next request meets a fault, and decrement the count of that fault."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A request that the target started to run."""

    request_id: str
    method: str
    path: str
    body_digest: str
    deadline_ms: int | None
    at_s: float


@dataclass(slots=True)
class TargetRecords:
    """Records of a target: runs, ids of cancelled runs, and the number of requests received."""

    runs: list[RunRecord] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    arrivals: int = 0


class StandInTarget:
    """A target server, from its start until it crashes."""

    def __init__(self, name: str, slots: int = 4, work_s: float = 0.02, queue: int = 8) -> None:
        self.name = name
        self.slots = slots
        self.faults = TargetFaults()
        self.crash_mode = CrashMode.RESET
        self.failure_status = 500
        self.has_crashed = False
        self.crashing_path_end = CRASHING_PATH_END
        self.limit: bytes | None = None  # in requests a second, named in each answer
        self.limit_header = LIMIT
        self.leaving_header: bytes | None = None  # named in each answer once the target leaves
        self.retry_after: bytes | None = None  # stated in each answer that turns a request away
        self.on_crash: Callable[[], None] = lambda: None  # when a request crashes the target
        self.records = TargetRecords()
        self._work_s = work_s
        self._queue_limit = queue
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._cached_keys: OrderedDict[bytes, None] = OrderedDict()
        self._marked_to_reset: set[ServerConnection] = set()
        self._server = HttpServer(self._handle, lambda: LIMITS)

    async def listen(self, address: Address) -> None:
        """Start serving on an address."""
        await self._server.listen(address)

    def crash(self) -> None:
        """Stop accepting connections and reset all open ones."""
        self.has_crashed = True
        self._server.stop_accepting()
        for conn in list(self._server.connections):
            conn.abort()

    def break_idle(self) -> None:
        """Mark the open connections; each is reset by its next request, which doesn't run."""
        self._marked_to_reset = set(self._server.connections)

    def entry(self, service: str, address: Address, domain: str, born: int) -> dict[str, object]:
        """Return the object with which the target registers in the store."""
        return {
            "service": service,
            "address": str(address),
            "zone": domain,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-s": 0,
            "sequence": 1,
            "born": born,
        }

    async def _handle(self, conn: ServerConnection, head: RequestHead) -> None:
        if conn in self._marked_to_reset:
            conn.abort()
            return
        if self.has_crashed:
            await _be_silent()
        self.records.arrivals += 1
        expected = header_value(head.headers, EXPECTED)
        if expected is not None and expected != self.name.encode():
            await self._answer_with_id(conn, head, 421, [(INSTANCE, self.name.encode())], b"")
            return
        if self._waiting >= self._queue_limit or self.faults.consume("shed"):
            pause = [(b"retry-after", self.retry_after)] if self.retry_after is not None else []
            await self._answer_with_id(conn, head, 503, [(NOT_RUN, b"1"), *pause], b"")
            return
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await self._run(conn, head)
        finally:
            self._running -= 1
            self._free.release()

    async def _run(self, conn: ServerConnection, head: RequestHead) -> None:
        if self.faults.consume("answer_early"):
            await self._answer_with_id(
                conn, head, 503, [(NOT_RUN, b"1"), (b"connection", b"close")], b""
            )
            return
        body = await read_body(conn) if head.has_body else b""
        request_id = (header_value(head.headers, REQUEST_ID) or b"").decode()
        digest = hashlib.sha256(body).hexdigest()
        deadline = header_value(head.headers, DEADLINE)
        at_s = asyncio.get_running_loop().time()
        deadline_ms = int(deadline) if deadline else None
        method, path = head.method.decode(), head.target.decode()
        self.records.runs.append(RunRecord(request_id, method, path, digest, deadline_ms, at_s))
        if self.faults.consume("fail"):
            await self._answer_with_id(conn, head, self.failure_status, [(SEAL, b"failed")], b"")
            return
        if path.endswith(self.crashing_path_end):
            await self._crash_while_running(conn)
            return
        try:
            await asyncio.sleep(self._work_duration_s(head))
        except asyncio.CancelledError:
            self.records.cut.append(request_id)
            raise
        await self._answer(conn, head, request_id, digest)

    async def _crash_while_running(self, conn: ServerConnection) -> None:
        on_crash, self.on_crash = self.on_crash, lambda: None
        on_crash()
        if self.crash_mode is CrashMode.SILENT:
            self.has_crashed = True
            await _be_silent()
        if self.crash_mode is CrashMode.MIDWAY:
            await conn.start_answer(200, [(SEAL, b"half"), (b"content-length", b"8")])
            await conn.send_part(b"half")
            await asyncio.sleep(MIDWAY_S)
        self.crash()

    async def _answer(
        self, conn: ServerConnection, head: RequestHead, request_id: str, digest: str
    ) -> None:
        content = f"{self.name} ran {request_id} {digest}".encode()
        if self.faults.consume("lose_answer"):
            conn.abort()
            return
        if self.faults.consume("answer_crossed"):
            crossed = [(SEAL, b"other"), (REQUEST_ID, b"somebody-else")]
            await conn.answer(200, crossed, b"an answer to another request")
            return
        seal = hashlib.sha256(content).hexdigest().encode()
        headers = [(SEAL, seal), (LOAD, self._load_header())]
        if self.faults.consume("spoil"):
            headers = [(LOAD, self._load_header())]
        if self.faults.consume("break_off"):
            length = (b"content-length", str(len(content)).encode())
            echo = (REQUEST_ID, request_id.encode())
            await conn.start_answer(200, [*headers, echo, length])
            await conn.send_part(content[: len(content) // 2])
            conn.close()
            return
        await self._answer_with_id(conn, head, 200, headers, content)

    async def _answer_with_id(
        self,
        conn: ServerConnection,
        head: RequestHead,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        echo = header_value(head.headers, REQUEST_ID)
        own = [(REQUEST_ID, echo)] if echo else []
        if self.limit is not None:
            own.append((self.limit_header, self.limit))
        if self.leaving_header is not None:
            own.append((self.leaving_header, b"1"))
        await conn.answer(status, [*headers, *own, (b"keep-alive", b"timeout=10")], body)

    def _work_duration_s(self, head: RequestHead) -> float:
        key = header_value(head.headers, AFFINITY)
        is_cached = key is not None and key in self._cached_keys
        if key is not None:
            self._cached_keys[key] = None
            self._cached_keys.move_to_end(key)
            if len(self._cached_keys) > MAX_CACHED_OBJECTS:
                self._cached_keys.popitem(last=False)
        return self._work_s * (CACHED_WORK_SHARE if is_cached else 1.0) * self.faults.work_factor

    def _load_header(self) -> bytes:
        return f"{self._running},{self._waiting},{self.slots}".encode()


async def _be_silent() -> None:
    """Wait until the exchange is cancelled."""
    await asyncio.Event().wait()
