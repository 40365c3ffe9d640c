"""Speak to the platform's object store.

Every call states whether it was executed: StoreError carries `is_unsure` for a write that may have
been. Reads are stale by up to seconds where the caller allows it, at a tenth of the price.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import quote, urlencode

from chervilmill.aio import WholeAnswer
from chervilmill.errors import ChervilmillError

MAX_PAGES = 200  # at about 500 objects a page, more than the largest site has


class StoreError(ChervilmillError):
    """Report a call that did not succeed; `is_unsure` says that it may take effect yet."""

    def __init__(self, message: str, *, step: str, peer: str, is_unsure: bool = False) -> None:
        super().__init__(message, step=step, peer=peer)
        self.is_unsure = is_unsure


class HistoryGoneError(StoreError):
    """Report that changes since a revision are no longer known, so a list is needed."""


class Exchange(Protocol):
    """Send one HTTP request to a peer and return its whole answer.

    Raises ChervilmillError where there is none in time.
    """

    async def __call__(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> WholeAnswer: ...


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object; `content` is what its writer put there, empty where it is no object."""

    name: str
    revision: int
    content: dict[str, Any] = field(default_factory=dict)
    is_deleting: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all objects of a kind as of a revision of the store."""

    objects: dict[str, StoredObject]
    as_of: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Report that an object was written or removed."""

    stored: StoredObject
    is_removed: bool


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Hold the changes since a revision and the revision to go on from."""

    events: tuple[WatchEvent, ...]
    as_of: int


class PlatformStore:
    """Call the store through an exchange."""

    __slots__ = ("_exchange", "_peer", "calls")

    def __init__(self, exchange: Exchange, peer: str) -> None:
        self._exchange = exchange
        self._peer = peer
        self.calls = 0

    async def list_all(self, kind: str, timeout_s: float, *, is_stale: bool = False) -> Listing:
        """Return every object of a kind."""
        objects: dict[str, StoredObject] = {}
        as_of = 0
        query: dict[str, str] = {"serializable": "1"} if is_stale else {}
        for _ in range(MAX_PAGES):
            page = await self._get(kind, query, timeout_s)
            objects.update({one.name: one for one in _items(page.get("items"))})
            as_of = as_of or _revision(page.get("as-of"))
            if not page.get("more") or not objects:
                return Listing(objects, as_of)
            query["after"] = max(objects)
        raise self._error(f"list {kind}", "the list does not end")

    async def watch(
        self, kind: str, since: int, wait_s: float, slack_s: float, *, is_stale: bool
    ) -> WatchResult:
        """Return the changes of a kind since a revision, at the latest after a wait."""
        query = {"watch": str(since), "wait-ms": str(int(wait_s * 1000))}
        if is_stale:
            query["serializable"] = "1"
        raw = await self._get(kind, query, wait_s + slack_s)
        events = raw.get("events")
        read = [_event(one) for one in events if isinstance(one, dict)] if events else []
        known = tuple(event for event in read if event is not None)
        return WatchResult(known, _revision(raw.get("as-of")) or since)

    async def put(self, kind: str, name: str, content: dict[str, Any], timeout_s: float) -> None:
        """Create or replace an object, whatever its revision."""
        step = f"put {kind}/{name}"
        body = json.dumps({"metadata": {"name": name}, "specification": content}).encode()
        answer = await self._call(step, "POST", f"/v1/objects/{quote(kind)}", body, timeout_s)
        if answer.status == 409:
            path = f"/v1/objects/{quote(kind)}/{quote(name)}"
            answer = await self._call(step, "PUT", path, body, timeout_s)
        self._check(step, answer)

    async def delete(self, kind: str, name: str, timeout_s: float) -> None:
        """Remove an object; one that does not exist counts as removed."""
        step = f"delete {kind}/{name}"
        path = f"/v1/objects/{quote(kind)}/{quote(name)}"
        answer = await self._call(step, "DELETE", path, b"", timeout_s)
        if answer.status != 404:
            self._check(step, answer)

    async def _get(self, kind: str, query: dict[str, str], timeout_s: float) -> dict[str, Any]:
        step = f"read {kind}"
        path = f"/v1/objects/{quote(kind)}" + (f"?{urlencode(query)}" if query else "")
        answer = await self._call(step, "GET", path, b"", timeout_s)
        self._check(step, answer)
        try:
            decoded = json.loads(answer.body)
        except ValueError as exc:
            raise self._error(step, f"the answer is not JSON: {exc}") from exc
        if not isinstance(decoded, dict):
            raise self._error(step, "the answer is not an object")
        return decoded

    async def _call(
        self, step: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> WholeAnswer:
        self.calls += 1
        try:
            return await self._exchange(method, path, body, timeout_s)
        except StoreError:
            raise
        except ChervilmillError as exc:
            is_unsure = method != "GET"
            raise StoreError(str(exc), step=step, peer=self._peer, is_unsure=is_unsure) from exc

    def _check(self, step: str, answer: WholeAnswer) -> None:
        if answer.status == 410:
            raise HistoryGoneError("history is gone", step=step, peer=self._peer)
        if not 200 <= answer.status < 300:
            raise self._error(step, f"status {answer.status}")

    def _error(self, step: str, message: str) -> StoreError:
        return StoreError(message, step=step, peer=self._peer)


def encode_objects(objects: Iterable[StoredObject]) -> list[dict[str, Any]]:
    """Return objects as plain values, for another entry VM."""
    return [
        {"metadata": {"name": one.name, "revision": one.revision}, "specification": one.content}
        for one in objects
        if not one.is_deleting
    ]


def decode_objects(values: object) -> dict[str, StoredObject]:
    """Return the objects that another entry VM encoded."""
    return {one.name: one for one in _items(values)}


def _items(values: object) -> list[StoredObject]:
    if not isinstance(values, list):
        return []
    read = [_object(value) for value in values]
    return [one for one in read if one is not None]


def _object(value: object) -> StoredObject | None:
    meta = value.get("metadata") if isinstance(value, dict) else None
    if not isinstance(value, dict) or not isinstance(meta, dict):
        return None
    name = meta.get("name")
    if not isinstance(name, str):
        return None
    content = value.get("specification")
    return StoredObject(
        name=name,
        revision=_revision(meta.get("revision")),
        content=content if isinstance(content, dict) else {},
        is_deleting=meta.get("deleting") is True,
    )


def _event(value: dict[str, Any]) -> WatchEvent | None:
    stored = _object(value.get("object"))
    return None if stored is None else WatchEvent(stored, value.get("deleted") is True)


def _revision(value: object) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0
