"""Simulated callers that look up entry VMs, reuse connections and repeat refused requests."""

import asyncio
import contextlib
import hashlib
import json
import random

from chervilmill.addresses import Address
from chervilmill.aio import ClientConnection, ConnectError, ExchangeError, HttpClient, connect
from soak.records import CRASHING_PATH_END, NOT_RUN_STATUSES, Attempt, History
from soak.routes import HOME_PREFIX, added_prefix
from soak.site import HOST

LOOKUP_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
MAX_PAUSE_S = 0.04
MAX_CRASHING_PAUSE_S = 0.5
KINDS = (("safe", "GET", "/read/"), ("unsafe", "POST", "/order/"), ("upload", "POST", "/bundle/"))


async def _connect_from(own_host: str | None, address: Address) -> ClientConnection:
    if own_host is None:
        return await connect(address, CONNECT_TIMEOUT_S)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await asyncio.get_running_loop().create_connection(
                ClientConnection, address.host, address.port, local_addr=(own_host, 0)
            )
    except (OSError, TimeoutError) as exc:
        raise ConnectError(str(exc), step="connect", peer=str(address)) from exc
    return conn


class Caller:
    """A caller that sends one request after another."""

    def __init__(
        self, name: str, lookup_addresses: list[Address], domain: str, history: History, seed: str
    ) -> None:
        self._name = name
        self._lookup_addresses = lookup_addresses
        self._domain = domain
        self._history = history
        self._rng = random.Random(seed)
        self._serial = 0
        self._entry_vms: list[str] = []
        self._conn: ClientConnection | None = None
        self._vm = ""
        self._timeout_s = REQUEST_TIMEOUT_S
        # The addresses from which it connects; entry VMs take each for a caller of its own.
        self.own_hosts: tuple[str, ...] = ()

    async def run(self, until_s: float) -> None:
        """Send requests until a time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        last_lookup_s = float("-inf")
        while loop.time() < until_s:
            if loop.time() - last_lookup_s > LOOKUP_INTERVAL_S:
                await self._look_up()
                last_lookup_s = loop.time()
            kind, method, prefix = self._rng.choice(KINDS)
            path = f"{prefix}{self._rng.randrange(20)}"
            size = {"safe": 0, "unsafe": 100, "upload": 60_000}[kind]
            body = self._rng.randbytes(size)
            status = await self._send_request(kind, method, path, body)
            if status in NOT_RUN_STATUSES or (status != 200 and kind == "safe"):
                await asyncio.sleep(0.1)
                await self._send_request(kind, method, path, body)
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
        self._close_connection()

    async def _look_up(self) -> None:
        for address in self._rng.sample(
            self._lookup_addresses, min(3, len(self._lookup_addresses))
        ):
            client = HttpClient(address)
            path = f"/v1/resolve?name={HOST}&region=&zone={self._domain}"
            with contextlib.suppress(ConnectError, ExchangeError, ValueError):
                answer = await client("GET", path, b"", CONNECT_TIMEOUT_S)
                if answer.status == 200:
                    self._entry_vms = json.loads(answer.body)["addresses"]
                    client.close()
                    return
            client.close()

    async def _send_request(self, kind: str, method: str, path: str, body: bytes) -> int | None:
        loop = asyncio.get_running_loop()
        self._serial += 1
        digest = hashlib.sha256(body).hexdigest()
        request_id = f"{self._name}-{self._serial}"
        attempt = Attempt(request_id, kind, method, path, digest, loop.time(), self._vm)
        self._history.attempts[request_id] = attempt
        try:
            async with asyncio.timeout(self._timeout_s):
                conn = await self._get_connection()
                attempt.vm = self._vm
                await self._send_and_read(conn, attempt, path, body)
        except (ConnectError, ExchangeError, TimeoutError):
            self._close_connection()
        attempt.ended_s = loop.time()
        return attempt.status

    async def _get_connection(self) -> ClientConnection:
        conn = self._conn
        is_open = conn is not None and not conn.is_lost and not conn.has_ended
        if conn is not None and is_open and self._vm in self._entry_vms:
            return conn
        self._close_connection()
        if not self._entry_vms:
            raise ConnectError("no entry VM known", step="look up", peer="directory")
        self._vm = self._rng.choice(self._entry_vms)
        host, _, port = self._vm.rpartition(":")
        own_host = self._rng.choice(self.own_hosts) if self.own_hosts else None
        self._conn = await _connect_from(own_host, Address(host, int(port)))
        return self._conn

    async def _send_and_read(
        self, conn: ClientConnection, attempt: Attempt, path: str, body: bytes
    ) -> None:
        headers = [
            (b"host", HOST.encode()),
            (b"x-chervilmill-request-id", attempt.request_id.encode()),
            (b"x-chervilmill-deadline-milliseconds", str(int(REQUEST_TIMEOUT_S * 1000)).encode()),
            (b"x-chervilmill-request-affinity", path.encode()),
        ]
        if body:
            headers.append((b"content-length", str(len(body)).encode()))
        is_reused = conn.exchanges > 0
        await conn.send_head(attempt.method.encode(), path.encode(), headers)
        if body:
            await conn.send_part(body)
        conn.end_body()
        # A reused connection may be closed while the request is in transit.
        attempt.must_be_answered = not is_reused
        head = await conn.read_head()
        parts = []
        while (part := await conn.read_part()) is not None:
            parts.append(part)
        attempt.status, attempt.body = head.status, b"".join(parts)
        if not conn.finish_exchange(asyncio.get_running_loop().time()):
            self._close_connection()

    def _close_connection(self) -> None:
        if self._conn is not None:
            self._conn.abort()
            self._conn = None


class RouteCaller(Caller):
    """A caller of the routes that the operator moves, adds and drops."""

    async def run(self, until_s: float) -> None:
        """Send a request to each of them in turn until a time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await self._look_up()
            for kind, method, path in self._requests():
                body = b"" if method == "GET" else b"order"
                await self._send_request(kind, method, path, body)
            await asyncio.sleep(self._rng.uniform(0.0, 2 * MAX_PAUSE_S))
        self._close_connection()

    def _requests(self) -> list[tuple[str, str, str]]:
        number = self._rng.randrange(20)
        writes = self._history.configurations
        added = writes[-1].routing.added if writes else ()
        return [
            ("unsafe", "POST", f"/order/{number}"),
            ("safe", "GET", f"{HOME_PREFIX}{number}"),
            *(("safe", "GET", f"{added_prefix(serial)}{number}") for serial in added),
        ]


class PressingCaller(Caller):
    """A caller that sends requests at a fixed rate, each on a new connection to a random VM."""

    rate_per_s = 0.0

    async def run(self, until_s: float) -> None:
        """Send requests until a time of the event loop's clock, and wait for their answers."""
        loop = asyncio.get_running_loop()
        began_s, sending = loop.time(), set[asyncio.Task[None]]()
        while loop.time() < until_s:
            while self._serial < (loop.time() - began_s) * self.rate_per_s:
                self._serial += 1
                task = asyncio.create_task(self._send_once(self._serial))
                sending.add(task)
                task.add_done_callback(sending.discard)
            await asyncio.sleep(0.01)
        await asyncio.gather(*sending)

    async def _send_once(self, serial: int) -> None:
        name = f"{self._name}.{serial}"
        sender = Caller(name, [], self._domain, self._history, name)
        sender._entry_vms = self._entry_vms
        kind, method, prefix = self._rng.choice(KINDS[:2])
        body = b"" if method == "GET" else b"order"
        await sender._send_request(kind, method, f"{prefix}{self._rng.randrange(20)}", body)
        sender._close_connection()

    def use_vms(self, addresses: list[str]) -> None:
        """Send to these VMs, whatever look-ups name."""
        self._entry_vms = addresses


class CrashingCaller(Caller):
    """A caller that sends one request, which crashes its targets, again and again.

    It often leaves before the answer.
    """

    async def run(self, until_s: float) -> None:
        """Send the request through any entry VM until a time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        kind, method, prefix = self._rng.choice(KINDS[:2])
        body = b"" if method == "GET" else b"crash"
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(0.1, MAX_CRASHING_PAUSE_S))
            await self._look_up()
            self._close_connection()
            self._timeout_s = self._rng.uniform(0.2, REQUEST_TIMEOUT_S / 2)
            await self._send_request(kind, method, prefix + self._name + CRASHING_PATH_END, body)
        self._close_connection()


class RatedCrashingCaller(Caller):
    """A caller that sends one request, which crashes its targets, at a fixed rate.

    It waits for each answer, but sends the next request before that answer arrives.
    """

    rate_per_s = 4.0

    async def run(self, until_s: float) -> None:
        """Send the request through any entry VM until a time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        sending: list[asyncio.Task[int | None]] = []
        while loop.time() < until_s:
            sender = Caller(
                f"{self._name}.{len(sending)}",
                self._lookup_addresses,
                self._domain,
                self._history,
                f"{self._name}/{len(sending)}",
            )
            sender.own_hosts = self.own_hosts
            sending.append(asyncio.create_task(self._send_once(sender)))
            await asyncio.sleep(1 / self.rate_per_s)
        await asyncio.gather(*sending)

    async def _send_once(self, sender: Caller) -> int | None:
        await sender._look_up()
        status = await sender._send_request(
            "safe", "GET", f"/read/{self._name}{CRASHING_PATH_END}", b""
        )
        sender._close_connection()
        return status
