"""A client of the platform's object store.

A failed call states whether it may have been executed: StoreError sets `is_outcome_unknown` for a
write that may have been. A read for which the caller allows a stale answer may be out of date by
up to seconds, and costs a tenth of the price of any other read, which is linearizable. Only a
linearizable list proves anything about the objects: a stale answer may come from a replica that has
lost touch with the store, and a watch may lack changes. That holds for all that these state: the
`as-of`, the era, and that there are no events.

The store may come back from an older copy. It then loses what was written since, gives revisions
out again, and states a higher era. A revision is therefore only compared within an era.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from chervilmill.aio import (
    AnswerTooLongError,
    ConnectError,
    ConnectTimeoutError,
    ExchangeTimeoutError,
    HttpAnswer,
)
from chervilmill.document_parts import DocumentTooLongError, decode_parts
from chervilmill.errors import ChervilmillError
from chervilmill.platform._object_codec import (
    decode_events,
    decode_page,
    is_false,
    read_revision,
)
from chervilmill.platform._stored_objects import (
    UNSTATED_ERA,
    Listing,
    StoredObject,
    StoreVersion,
    WatchEvent,
    WatchResult,
)

T = TypeVar("T")

_ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 18
# A page has about 500 objects, or one of another writer that fills it.
MAX_PAGES = 2000
MAX_OBJECTS = 100_000  # of one kind, far more than the largest site has
STEP_BYTES = 512 * 1024  # decoded at once, in some milliseconds


class StoreError(ChervilmillError):
    """Raised for a call that failed; `is_outcome_unknown` says that it may still take effect.

    `has_timed_out` says that nothing but the end of its time showed the failure, and `is_refusal`
    that the store, or its host, stated that it does not serve. A connection that broke is neither.
    """

    has_timed_out = False
    is_refusal = False

    def __init__(
        self, message: str, *, step: str, peer: str, is_outcome_unknown: bool = False
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.is_outcome_unknown = is_outcome_unknown


class HistoryGoneError(StoreError):
    """Raised if the store no longer has the changes since a revision; a full list is needed."""


class HistoryTooLongError(HistoryGoneError):
    """Raised if the changes since a revision are too long to be read; a list has pages."""


class StoreRestoredError(HistoryGoneError):
    """Raised if the store came back from an older copy; a full list is needed."""


class StoreSilentError(StoreError):
    """Raised if no answer came in time; the connection, or the store itself, may be silent."""


class StoreBusyError(StoreError):
    """Raised if the store refused a call as there were too many; it may serve others."""


class EarlierEraError(StoreError):
    """Raised for an answer of an era before the one known, such as that of a late replica."""


class Exchange(Protocol):
    """A callable that sends one HTTP request to a peer and returns the whole answer.

    Raises ChervilmillError if no whole answer arrives in time.
    """

    async def __call__(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpAnswer: ...


class _Page(msgspec.Struct):
    items: list[msgspec.Raw] | None
    more: msgspec.Raw = msgspec.Raw(b"")
    as_of: msgspec.Raw = msgspec.field(default=msgspec.Raw(b""), name="as-of")


class _Changes(msgspec.Struct):
    events: msgspec.Raw = msgspec.Raw(b"")
    as_of: msgspec.Raw = msgspec.field(default=msgspec.Raw(b""), name="as-of")


_page_decoder = msgspec.json.Decoder(_Page)
_changes_decoder = msgspec.json.Decoder(_Changes)
_events_decoder = msgspec.json.Decoder(list[msgspec.Raw])


async def _in_steps(values: list[msgspec.Raw]) -> AsyncIterator[list[msgspec.Raw]]:
    """Yield the values in groups of about STEP_BYTES, and let other tasks run in between."""
    group: list[msgspec.Raw] = []
    size = 0
    for value in values:
        group.append(value)
        size += len(value)
        if size >= STEP_BYTES:
            yield group
            group, size = [], 0
            await asyncio.sleep(0)
    if group:
        yield group


class PlatformStore:
    """The calls of the store, sent through an exchange; `calls` counts them.

    `close_idle_connections` has later calls use connections that are new.
    """

    __slots__ = ("_exchange", "_peer", "calls", "close_idle_connections")

    def __init__(
        self,
        exchange: Exchange,
        peer: str,
        close_idle_connections: Callable[[], None] | None = None,
    ) -> None:
        self._exchange = exchange
        self._peer = peer
        self.calls = 0
        self.close_idle_connections = close_idle_connections or (lambda: None)

    async def list_all(self, kind: str, timeout_s: float, *, allow_stale: bool = False) -> Listing:
        """Return every object of a kind, as of the version that the first page states."""
        objects: dict[str, StoredObject] = {}
        as_of: StoreVersion | None = None
        query: dict[str, str] = {"serializable": "1"} if allow_stale else {}
        for pages in range(1, MAX_PAGES + 1):
            era, page = await self._get(kind, query, timeout_s, _page_decoder)
            last_name = ""
            async for items in _in_steps(page.items or []):
                decoded = decode_page(kind, items)
                objects.update(decoded.objects)
                last_name = max(last_name, decoded.last_name)
            if len(objects) > MAX_OBJECTS:
                raise self._store_error(f"list {kind}", f"more than {MAX_OBJECTS} objects")
            as_of = as_of or StoreVersion(era, read_revision(page.as_of))
            if era != as_of.era:
                raise self._store_error(f"list {kind}", "the pages are of several eras")
            if not as_of.revision:
                raise self._store_error(f"list {kind}", "the list states no revision")
            if is_false(page.more):
                return Listing(objects, as_of, pages=pages)
            if last_name == query.get("after", ""):
                raise self._store_error(f"list {kind}", "a page that is not the last has no names")
            query["after"] = last_name
        raise self._store_error(f"list {kind}", "the list has too many pages")

    async def watch(
        self,
        kind: str,
        since: StoreVersion,
        wait_s: float,
        timeout_margin_s: float,
        *,
        allow_stale: bool,
    ) -> WatchResult:
        """Return the changes of a kind since a version, waiting up to `wait_s` for the first.

        `timeout_margin_s` is the time allowed for the answer beyond the wait. Raise
        StoreRestoredError if the store is in a later era.
        """
        query = {"watch": str(since.revision), "wait-ms": str(int(wait_s * 1000))}
        if allow_stale:
            query["serializable"] = "1"
        timeout_s = wait_s + timeout_margin_s
        try:
            era, changes = await self._get(kind, query, timeout_s, _changes_decoder, since.era)
        except StoreError as exc:
            if isinstance(exc.__cause__, (AnswerTooLongError, DocumentTooLongError)):
                message = exc.message
                raise HistoryTooLongError(message, step=exc.step, peer=self._peer) from exc
            raise
        revision = read_revision(changes.as_of) or since.revision
        try:
            events = decode_parts(changes.events, _events_decoder)
        except ValueError:
            events = []  # no list
        found: list[WatchEvent] = []
        newest = 0
        async for values in _in_steps(events):
            decoded = decode_events(kind, values)
            found += decoded.events
            newest = max(newest, decoded.newest_revision)
        return WatchResult(tuple(found), StoreVersion(era, revision), newest)

    async def put(self, kind: str, name: str, content: dict[str, Any], timeout_s: float) -> None:
        """Create an object, or replace it whatever its revision."""
        step = f"put {kind}/{name}"
        body = json.dumps({"metadata": {"name": name}, "specification": content}).encode()
        answer = await self._call(step, "POST", f"/v1/objects/{quote(kind)}", body, timeout_s)
        if answer.status == 409:
            path = f"/v1/objects/{quote(kind)}/{quote(name)}"
            answer = await self._call(step, "PUT", path, body, timeout_s)
        self._raise_for_status(step, answer)

    async def delete(self, kind: str, name: str, timeout_s: float) -> None:
        """Remove an object; an object that does not exist counts as removed."""
        step = f"delete {kind}/{name}"
        path = f"/v1/objects/{quote(kind)}/{quote(name)}"
        answer = await self._call(step, "DELETE", path, b"", timeout_s)
        if answer.status != 404:
            self._raise_for_status(step, answer)

    async def _get(
        self,
        kind: str,
        query: dict[str, str],
        timeout_s: float,
        decoder: msgspec.json.Decoder[T],
        known_era: int | None = None,
    ) -> tuple[int, T]:
        """Return the era and the body of an answer, which must be of the known era, if any."""
        step = f"read {kind}"
        path = f"/v1/objects/{quote(kind)}"
        if query:
            path += f"?{urlencode(query, errors='surrogatepass')}"  # names of other writers
        answer = await self._call(step, "GET", path, b"", timeout_s)
        era = self._read_era(step, answer)
        if known_era is not None and era > known_era:
            message = f"the store is in era {era} after era {known_era}"
            raise StoreRestoredError(message, step=step, peer=self._peer)
        self._raise_for_status(step, answer)
        if known_era is not None and era < known_era:
            message = f"the answer is of era {era}, before era {known_era}"
            raise EarlierEraError(message, step=step, peer=self._peer)
        try:
            return era, decode_parts(answer.body, decoder)
        except ValueError as exc:
            raise self._store_error(step, f"the answer cannot be read: {exc}"[:256]) from exc

    async def _call(
        self, step: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpAnswer:
        self.calls += 1
        try:
            return await self._exchange(method, path, body, timeout_s)
        except StoreError:
            raise
        except ChervilmillError as exc:
            is_outcome_unknown = method != "GET"
            error = StoreSilentError if isinstance(exc, ExchangeTimeoutError) else StoreError
            failure = error(
                str(exc), step=step, peer=self._peer, is_outcome_unknown=is_outcome_unknown
            )
            failure.has_timed_out = isinstance(exc, (ExchangeTimeoutError, ConnectTimeoutError))
            failure.is_refusal = isinstance(exc, ConnectError) and not failure.has_timed_out
            raise failure from exc

    def _read_era(self, step: str, answer: HttpAnswer) -> int:
        stated = dict(answer.headers).get(_ERA_HEADER)
        if stated is None:
            return UNSTATED_ERA
        if not stated.isdigit() or len(stated) > MAX_ERA_DIGITS:
            raise self._store_error(step, f"the era {stated[:40]!r} is not a number")
        return int(stated)

    def _raise_for_status(self, step: str, answer: HttpAnswer) -> None:
        if answer.status == 410:
            raise HistoryGoneError("history is gone", step=step, peer=self._peer)
        if answer.status == 429:
            raise StoreBusyError("too many calls", step=step, peer=self._peer)
        if not 200 <= answer.status < 300:
            refusal = self._store_error(step, f"status {answer.status}")
            refusal.is_refusal = True
            raise refusal

    def _store_error(self, step: str, message: str) -> StoreError:
        return StoreError(message, step=step, peer=self._peer)
