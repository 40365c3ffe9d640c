"""Run an entry VM with a stand-in store and stand-in targets on one event loop."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from chervilmill.addresses import Address
from chervilmill.aio import ClientConnection, connect
from chervilmill.entry._entry_vm import EntryVm
from chervilmill.entry._replica_sync import WATCH_PAUSE_S
from chervilmill.platform import read_settings
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
from soak.target import StandInTarget
from tests.support import free_address

READY_S = 10.0


@dataclass(slots=True)
class Answer:
    """An answer as the caller got it; `is_whole` is False if the answer broke off."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_whole: bool = True


@dataclass(slots=True)
class SiteUnderTest:
    """A small site: one entry VM, the store and the targets."""

    store: StandInStore
    vm: EntryVm
    caller_address: Address
    lookup_address: Address
    readiness_address: Address
    targets: dict[str, StandInTarget] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    unreachable: list[socket.socket] = field(default_factory=list)
    serial: int = 0

    async def add_target(
        self, name: str, service: str = "app", domain: str = "north-a", **options: float
    ) -> StandInTarget:
        """Start a target and register it."""
        target = StandInTarget(name, **options)  # type: ignore[arg-type]
        address = free_address()
        await target.listen(address)
        self.targets[name] = target
        self.addresses[name] = address
        self.store.put("servers", name, target.entry(service, address, domain, 1))
        return target

    async def add_unreachable(self, name: str, service: str = "app") -> None:
        """Register a target whose host does not answer connection attempts."""
        address = free_address()
        listener = socket.socket()
        listener.bind((address.host, address.port))
        listener.listen(0)
        self.unreachable.append(listener)
        for _ in range(2):  # the accept queue holds one connection and drops the rest
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((address.host, address.port))
            self.unreachable.append(filler)
        entry = StandInTarget(name).entry(service, address, "north-a", 1)
        self.store.put("servers", name, entry)

    async def settle(self) -> None:
        """Wait until changes written to the store have arrived at the entry VM."""
        await asyncio.sleep(WATCH_PAUSE_S + 0.15)

    def next_id(self) -> str:
        """Return a request id that was not used before."""
        self.serial += 1
        return f"req-{self.serial}"

    def runs(self, request_id: str) -> int:
        """Return how often a request was run, summed over all targets."""
        return sum(
            run.request_id == request_id
            for target in self.targets.values()
            for run in target.records.runs
        )

    async def connect_from(self, host: str) -> ClientConnection:
        """Return a connection to the entry VM from another loopback address."""
        address = self.caller_address
        _, conn = await asyncio.get_running_loop().create_connection(
            ClientConnection, address.host, address.port, local_addr=(host, 0)
        )
        return conn

    async def ask(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        request_id: str | None = None,
        deadline_ms: int = 2000,
        conn: ClientConnection | None = None,
        key: str = "7",
    ) -> Answer:
        """Send a request as a caller does and return the answer."""
        used = conn or await connect(self.caller_address, 1.0)
        try:
            return await ask_on(
                used, path, method, body, request_id or self.next_id(), deadline_ms, key
            )
        finally:
            if conn is None:
                used.abort()


async def ask_on(
    conn: ClientConnection,
    path: str,
    method: str,
    body: bytes,
    request_id: str,
    deadline_ms: int,
    key: str,
) -> Answer:
    """Send a request on an open connection and return the answer."""
    headers = [
        (b"host", HOST.encode()),
        (b"x-chervilmill-request-id", request_id.encode()),
        (b"x-chervilmill-deadline-milliseconds", str(deadline_ms).encode()),
        (b"x-chervilmill-request-affinity", key.encode()),
    ]
    if body:
        headers.append((b"content-length", str(len(body)).encode()))
    await conn.send_head(method.encode(), path.encode(), headers)
    if body:
        await conn.send_part(body)
    conn.end_body()
    head = await conn.read_head()
    parts = []
    is_whole = True
    try:
        while (part := await conn.read_part()) is not None:
            parts.append(part)
    except Exception:  # tests check for a broken answer by is_whole
        is_whole = False
    conn.finish_exchange(asyncio.get_running_loop().time())
    return Answer(head.status, dict(head.headers), b"".join(parts), is_whole)


@asynccontextmanager
async def running_site(
    tmp_path: Path,
    targets: tuple[str, ...] = ("t1", "t2"),
    routes: tuple[RouteRow, ...] = DEFAULT_ROUTES,
    services: tuple[str, ...] = ("app",),
) -> AsyncIterator[SiteUnderTest]:
    """Yield a running site whose entry VM is ready."""
    store_address = free_address()
    store = StandInStore()
    await store.listen(store_address)
    store.put("config", "main", configuration(1, routes, services))
    ports = VmPorts("127.0.0.1", *[free_address().port for _ in range(6)])
    path = write_settings(tmp_path / "vm.json", settings("vm-1", "north-a", ports, store_address))
    read = read_settings(path)
    vm = EntryVm(read, path)
    made = SiteUnderTest(
        store, vm, read.caller_address, read.lookup_address, read.readiness_address
    )
    for name in targets:
        await made.add_target(name)
    running = asyncio.create_task(vm.run())
    try:
        await until(lambda: is_ready(read.readiness_address))
        yield made
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        vm.abort()
        store.stop()
        for target in made.targets.values():
            target.crash()
        for sock in made.unreachable:
            sock.close()


async def is_ready(address: Address) -> bool:
    """Return whether an entry VM reports that it is ready."""
    try:
        conn = await connect(address, 0.5)
    except Exception:  # the VM does not listen yet
        return False
    try:
        await conn.send_head(b"GET", b"/v1/readiness", [(b"host", b"-")])
        conn.end_body()
        return (await conn.read_head()).status == 200
    finally:
        conn.abort()


async def until(check: Callable[[], Awaitable[bool]], limit_s: float = READY_S) -> None:
    """Wait until a check returns True, or raise TimeoutError."""
    async with asyncio.timeout(limit_s):
        while not await check():
            await asyncio.sleep(0.02)
