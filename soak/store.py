"""Stand-in for the platform's object store, with conditional writes, lists, watches and faults."""

import asyncio
import json
import math
import random
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from chervilmill.addresses import Address
from chervilmill.aio import HttpServer, RequestHead, ServerConnection, ServerLimits
from soak.body import read_body

JSON_HEADERS = [(b"content-type", b"application/json")]
LIMITS = ServerLimits(header_bytes=16_384, header_timeout_s=5.0, idle_s=60.0)
PREFIX = "/v1/objects/"
REPLICA_POLL_S = 0.05
BUSY_STATUSES = (429, 503)
MIN_ANSWER_SHARE = 0.7  # of the longest time that an answer takes


class SilentWatch(Enum):
    """What watches get while they hear of no changes."""

    HELD = "held"  # no answer, whatever wait they state
    AS_ASKED = "as asked"  # no events after their wait, and the revision that they asked from
    PRESENT = "present"  # no events after their wait, and the present revision


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store; requests from `refused_hosts` are answered with 503.

    Watches that may be stale are answered from data that is `replica_age_s` old, after
    `replica_wait_s` at most. With `replicas_state_present`, their answers state the store's
    present revision.

    Each answer takes `answer_s` at most, and that of a linearizable read `linearizable_answer_s`
    more; a watch takes it after the wait. They give the state of when the answer was begun.
    `busy_reads_share` of the linearizable reads is refused.

    Until `silent_until_s`, a time of the event loop, watches hear of no changes and get
    `silent_watch`.
    """

    is_down: bool = False
    delay_s: float = 0.0
    loses_answers: bool = False
    refused_hosts: set[str] = field(default_factory=set)
    replica_age_s: float = 0.0
    replica_wait_s: float = 30.0
    replicas_state_present: bool = False
    answer_s: float = 0.0
    linearizable_answer_s: float = 0.0
    busy_reads_share: float = 0.0
    silent_until_s: float = -math.inf
    silent_watch: SilentWatch = SilentWatch.HELD


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at a moment, from which it may be restored."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: str
    value: dict[str, Any]
    is_deleted: bool
    at_s: float


class _CutError(Exception):
    """Raised for a watch whose connection the store cuts."""


class StandInStore:
    """Keeps objects in memory and serves them over HTTP."""

    def __init__(self, page: int = 500, seed: str = "") -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.revision = 1
        self.era = 1
        self._page_size = page
        self._rng = random.Random(seed)
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[_Change] = []
        self._oldest_watchable = 0
        self._cuts = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle, lambda: LIMITS)

    async def listen(self, address: Address) -> None:
        """Start serving on an address."""
        await self._server.listen(address)

    def stop(self) -> None:
        """Stop serving and reset all connections."""
        self._server.stop_accepting()
        for conn in list(self._server.connections):
            conn.abort()

    def put(self, kind: str, name: str, content: object) -> int:
        """Write an object as an operator or a target does and return its revision.

        An unchanged object keeps its revision.
        """
        current = self._objects.get((kind, name))
        if current is not None and current["specification"] == content:
            return int(current["metadata"]["revision"])
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        value = {"metadata": meta, "specification": content, "status": None}
        self._objects[(kind, name)] = value
        self._record_change(kind, value, is_deleted=False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""
        value = self._objects.pop((kind, name), None)
        if value is not None:
            self.revision += 1
            self._record_change(kind, value, is_deleted=True)

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind, sorted."""
        return sorted(name for stored_kind, name in self._objects if stored_kind == kind)

    def copy(self) -> StoreCopy:
        """Return a copy of the present objects."""
        return StoreCopy(self.revision, dict(self._objects))

    def restore(self, copied: StoreCopy) -> None:
        """Come back from a copy, in the next era; what was written since the copy is lost."""
        self.era += 1
        self.revision = copied.revision
        self._objects = dict(copied.objects)
        self._oldest_watchable = copied.revision
        self._history.clear()
        self._notify_watchers()

    def compact(self) -> None:
        """Discard the change history, so that watches of earlier revisions get a 410."""
        self._oldest_watchable = self.revision
        self._history.clear()
        self._notify_watchers()

    def cut_watches(self) -> None:
        """Cut the connections of all watches that wait."""
        self._cuts += 1
        self._notify_watchers()

    def _record_change(self, kind: str, value: dict[str, Any], *, is_deleted: bool) -> None:
        self._history.append(_Change(self.revision, kind, value, is_deleted, time.monotonic()))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, conn: ServerConnection, head: RequestHead) -> None:
        body = await read_body(conn) if head.has_body else b""
        self.calls.append(f"{head.method.decode()} {head.target.decode()}")
        if self.faults.is_down or conn.host.rpartition(":")[0] in self.faults.refused_hosts:
            await conn.answer(503, [], b"")
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        method, target = head.method.decode(), head.target.decode()
        is_linearizable_read = method == "GET" and "serializable=1" not in target
        if is_linearizable_read and self._rng.random() < self.faults.busy_reads_share:
            await asyncio.sleep(self._draw_answer_time_s(is_linearizable_read))
            await conn.answer(self._rng.choice(BUSY_STATUSES), [], b"")
            return
        try:
            status, value = await self._perform(method, target, body)
        except _CutError:
            conn.abort()
            return
        headers = [*JSON_HEADERS, (b"store-era", str(self.era).encode())]
        await asyncio.sleep(self._draw_answer_time_s(is_linearizable_read))
        if self.faults.loses_answers and head.method != b"GET":
            conn.abort()
            return
        await conn.answer(status, headers, self._encode(value))

    def _encode(self, value: object) -> bytes:
        return json.dumps(value).encode()

    def _draw_answer_time_s(self, is_linearizable_read: bool) -> float:
        longest_s = self.faults.answer_s
        if is_linearizable_read:
            longest_s += self.faults.linearizable_answer_s
        return longest_s * self._rng.uniform(MIN_ANSWER_SHARE, 1.0)

    async def _perform(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        parts = urlsplit(target)
        kind, _, name = unquote(parts.path.removeprefix(PREFIX)).partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method == "GET" and "watch" in query:
            since, wait_s = int(query["watch"]), int(query["wait-ms"]) / 1000
            return await self._watch(kind, since, wait_s, may_be_stale="serializable" in query)
        if method == "GET":
            return 200, self._list(kind, query.get("after", ""))
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        written = json.loads(body)
        name = name or written["metadata"]["name"]
        if method == "POST" and (kind, name) in self._objects:
            return 409, self._objects[(kind, name)]
        self.put(kind, name, written["specification"])
        return 200, self._objects[(kind, name)]

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = [name for name in self.names(kind) if name > after]
        page = [self._objects[(kind, name)] for name in names[: self._page_size]]
        return {"items": page, "more": len(names) > self._page_size, "as-of": self.revision}

    async def _watch(
        self, kind: str, since: int, wait_s: float, *, may_be_stale: bool
    ) -> tuple[int, object]:
        loop = asyncio.get_running_loop()
        if may_be_stale:
            wait_s = min(wait_s, self.faults.replica_wait_s)
        until_s = loop.time() + wait_s
        era, cuts = self.era, self._cuts
        while self._oldest_watchable <= since <= self.revision and era == self.era:
            if cuts < self._cuts:
                raise _CutError
            if loop.time() < self.faults.silent_until_s:
                return await self._watch_in_silence(since, until_s)
            age_s = self.faults.replica_age_s if may_be_stale else 0.0
            old_s = time.monotonic() - age_s
            known = [change for change in self._history if change.at_s <= old_s]
            changes = [
                change for change in known if change.kind == kind and change.revision > since
            ]
            if changes or loop.time() >= until_s:
                events = [
                    {"object": change.value, "deleted": change.is_deleted} for change in changes
                ]
                replicated = max([since, *(change.revision for change in known)])
                is_present = not age_s or self.faults.replicas_state_present
                as_of = self.revision if is_present else replicated
                return 200, {"events": events, "as-of": as_of}
            try:
                # Changes of the replica wake nobody.
                wake_s = min(until_s, loop.time() + REPLICA_POLL_S) if age_s else until_s
                async with asyncio.timeout_at(wake_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return 410, {"error": "history is gone"}

    async def _watch_in_silence(self, since: int, until_s: float) -> tuple[int, object]:
        """Return that there are no changes, or wait to be cut off."""
        loop, faults = asyncio.get_running_loop(), self.faults
        if faults.silent_watch is SilentWatch.HELD or until_s >= faults.silent_until_s:
            await asyncio.sleep(faults.silent_until_s - loop.time())
            raise _CutError
        await asyncio.sleep(until_s - loop.time())
        is_present = faults.silent_watch is SilentWatch.PRESENT
        return 200, {"events": [], "as-of": self.revision if is_present else since}
