"""Play callers: look entry VMs up, keep connections, come back after refusals."""

import asyncio
import contextlib
import hashlib
import json
import random

from chervilmill.addresses import Address
from chervilmill.aio import ClientConnection, ConnectError, ExchangeError, WholeExchange, connect
from soak.records import PROMISES, History, Sent
from soak.site import HOST

LOOKUP_S = 1.0
PATIENCE_S = 2.0
CONNECT_S = 0.5
PAUSE_S = 0.04
KINDS = (("safe", "GET", "/read/"), ("unsafe", "POST", "/order/"), ("upload", "POST", "/bundle/"))


class Caller:
    """Ask one request after the other."""

    def __init__(
        self, name: str, lookups: list[Address], domain: str, history: History, seed: str
    ) -> None:
        self._name = name
        self._lookups = lookups
        self._domain = domain
        self._history = history
        self._rng = random.Random(seed)
        self._serial = 0
        self._known: list[str] = []
        self._conn: ClientConnection | None = None
        self._vm = ""

    async def run(self, until_s: float) -> None:
        """Ask until a moment of the loop's clock."""
        loop = asyncio.get_running_loop()
        looked_up_s = float("-inf")
        while loop.time() < until_s:
            if loop.time() - looked_up_s > LOOKUP_S:
                await self._look_up()
                looked_up_s = loop.time()
            kind, method, prefix = self._rng.choice(KINDS)
            path = f"{prefix}{self._rng.randrange(20)}"
            size = {"safe": 0, "unsafe": 100, "upload": 60_000}[kind]
            body = self._rng.randbytes(size)
            answered = await self._ask(kind, method, path, body)
            if answered in PROMISES or (answered != 200 and kind == "safe"):
                await asyncio.sleep(0.1)
                await self._ask(kind, method, path, body)
            await asyncio.sleep(self._rng.uniform(0, PAUSE_S))
        self._drop()

    async def _look_up(self) -> None:
        for address in self._rng.sample(self._lookups, min(3, len(self._lookups))):
            exchange = WholeExchange(address)
            path = f"/v1/resolve?name={HOST}&region=&zone={self._domain}"
            with contextlib.suppress(ConnectError, ExchangeError, ValueError):
                answer = await exchange("GET", path, b"", CONNECT_S)
                if answer.status == 200:
                    self._known = json.loads(answer.body)["addresses"]
                    exchange.close()
                    return
            exchange.close()

    async def _ask(self, kind: str, method: str, path: str, body: bytes) -> int | None:
        loop = asyncio.get_running_loop()
        self._serial += 1
        digest = hashlib.sha256(body).hexdigest()
        request_id = f"{self._name}-{self._serial}"
        sent = Sent(request_id, kind, method, path, digest, loop.time(), self._vm)
        self._history.sent[request_id] = sent
        try:
            async with asyncio.timeout(PATIENCE_S):
                conn = await self._connection()
                sent.vm = self._vm
                await self._exchange(conn, sent, path, body)
        except (ConnectError, ExchangeError, TimeoutError):
            self._drop()
        sent.ended_s = loop.time()
        return sent.status

    async def _connection(self) -> ClientConnection:
        conn = self._conn
        is_open = conn is not None and not conn.is_lost and not conn.has_ended
        if conn is not None and is_open and self._vm in self._known:
            return conn
        self._drop()
        if not self._known:
            raise ConnectError("no entry VM known", step="look up", peer="directory")
        self._vm = self._rng.choice(self._known)
        host, _, port = self._vm.rpartition(":")
        self._conn = await connect(Address(host, int(port)), CONNECT_S)
        return self._conn

    async def _exchange(self, conn: ClientConnection, sent: Sent, path: str, body: bytes) -> None:
        headers = [
            (b"host", HOST.encode()),
            (b"x-chervilmill-request-id", sent.request_id.encode()),
            (b"x-chervilmill-deadline-milliseconds", str(int(PATIENCE_S * 1000)).encode()),
            (b"x-chervilmill-request-affinity", path.encode()),
        ]
        if body:
            headers.append((b"content-length", str(len(body)).encode()))
        is_reused = conn.exchanges > 0
        await conn.send_head(sent.method.encode(), path.encode(), headers)
        if body:
            await conn.send_part(body)
        conn.end_body()
        sent.is_read = not is_reused  # a request may cross the close of a kept connection
        head = await conn.read_head()
        parts = []
        while (part := await conn.read_part()) is not None:
            parts.append(part)
        sent.status, sent.body = head.status, b"".join(parts)
        if not conn.finish(asyncio.get_running_loop().time()):
            self._drop()

    def _drop(self) -> None:
        if self._conn is not None:
            self._conn.abort()
            self._conn = None
