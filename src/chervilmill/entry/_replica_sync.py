"""Replicate the store's objects, from the store itself or from a peer with a newer copy.

One watch for each kind of object follows the store. If the digest of a peer shows a later change
that does not arrive by the watch, the copy is fetched from that peer. An entry VM that the store
refuses thus still learns of configurations, evacuations and targets.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from chervilmill.addresses import Address
from chervilmill.entry._replica_copies import fetch_replica
from chervilmill.errors import ChervilmillError
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import KindReplica, ReplicaChange
from chervilmill.platform import (
    HistoryGoneError,
    Listing,
    PlatformStore,
    StoreError,
)

# The store usually answers in milliseconds, and in tenths of a second when slow.
LIST_TIMEOUT_S = 2.0
# Each watch is a call that is paid for, so watches are long. The store allows up to 30 s.
WATCH_WAIT_S = 25.0
WATCH_SLACK_S = 3.0  # additional time for a slow answer to arrive
# With 800 VMs, a kind that keeps changing causes at most 2,000 reads a second.
WATCH_PAUSE_S = 0.4
RETRY_DELAY_S = 1.0  # refused calls are paid for too
CATCH_UP_DELAY_S = 0.8  # time for a change to arrive by the watch before a peer is asked
# Live targets whose entries expired during an outage register again within this time of its end.
REGISTER_AGAIN_S = 2.0

# Takes the kind, the change, and until when targets that it removes may register again.
OnChange = Callable[[str, ReplicaChange, float | None], None]


class _Source(Enum):
    """How a change reached a copy; the values appear in logs."""

    LIST = "list"
    WATCH = "watch"
    PEER = "peer"


@dataclass(slots=True)
class _StoreState:
    """Whether the store answers this VM.

    `recovered_s` is when the last outage ended, `last_answer_s` when the store last answered.
    `answered_s` is the time of the last answer about each kind, and `called_s` the time since which
    a call about the kind has been open.
    """

    is_unreachable: bool = False
    recovered_s: float = float("-inf")
    last_answer_s: float = float("-inf")
    answered_s: dict[str, float] = field(default_factory=dict)
    called_s: dict[str, float] = field(default_factory=dict)


class ReplicaSync:
    """Follows the store with one watch for each kind, with peers as the fallback."""

    def __init__(
        self, store: PlatformStore, replicas: dict[str, KindReplica], on_change: OnChange
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._on_change = on_change
        self._store_state = _StoreState()
        self._fetching: set[str] = set()
        self._loaded = {kind: asyncio.Event() for kind in replicas}

    async def wait_until_loaded(self) -> None:
        """Wait until every kind has been read from the store or from a peer."""
        for event in self._loaded.values():
            await event.wait()

    def has_store_answered_since(self, moment_s: float) -> bool:
        """Return whether the store has answered at or after a time."""
        return self._store_state.last_answer_s >= moment_s

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the store currently does not answer this VM."""
        return self._store_state.is_unreachable

    def copy_ages_s(self) -> dict[str, float]:
        """Return the time since the store last answered this VM about each kind."""
        now_s = asyncio.get_running_loop().time()
        return {kind: now_s - at_s for kind, at_s in self._store_state.answered_s.items()}

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last known change of each kind."""
        return {kind: replica.last_change_revision for kind, replica in self._replicas.items()}

    async def run(self, kind: str) -> None:
        """Follow the changes of one kind until cancelled."""
        replica = self._replicas[kind]
        needs_list = True
        while True:
            try:
                if needs_list:
                    await self._list(replica)
                    needs_list = False
                else:
                    await self._watch(replica)
            except HistoryGoneError:
                needs_list = True
                log_event("history is gone", step="watch", kind=kind, as_of=replica.as_of)
            except StoreError as exc:
                self._record_failure(kind, exc)
                await asyncio.sleep(RETRY_DELAY_S)

    def handle_peer_revisions(self, host: Address, revisions: dict[str, int]) -> None:
        """Compare a peer's revisions with the copies held here.

        Kinds of which the peer knows later changes are fetched from the peer, unless these changes
        arrive by the watch in time.
        """
        for kind, replica in self._replicas.items():
            if revisions.get(kind, 0) > replica.last_change_revision and kind not in self._fetching:
                self._fetching.add(kind)
                self._log_behind(replica, host, revisions[kind])
                asyncio.get_running_loop().create_task(
                    self._fetch_from_peer(replica, host, revisions[kind])
                )

    async def _list(self, replica: KindReplica) -> None:
        with self._open_call(replica.kind):
            listing = await self._store.list_all(replica.kind, LIST_TIMEOUT_S)
        self._record_answer(replica.kind)
        self._apply_listing(replica, listing, self._register_again_until_s(), _Source.LIST)

    async def _watch(self, replica: KindReplica) -> None:
        with self._open_call(replica.kind):
            result = await self._store.watch(
                replica.kind, replica.as_of, WATCH_WAIT_S, WATCH_SLACK_S, allow_stale=True
            )
        self._record_answer(replica.kind)
        change = replica.apply_events(result)
        if change is not None and (change.written or change.removed):
            self._log_change(replica, change, _Source.WATCH)
            self._on_change(replica.kind, change, self._register_again_until_s())
        if result.events:
            await asyncio.sleep(WATCH_PAUSE_S)  # one call then returns all changes of the pause

    def _apply_listing(
        self, replica: KindReplica, listing: Listing, kept_until_s: float | None, source: _Source
    ) -> None:
        change = replica.apply_listing(listing)
        if change is not None:
            if change.written or change.removed:
                self._log_change(replica, change, source)
            self._on_change(replica.kind, change, kept_until_s)
        self._loaded[replica.kind].set()

    async def _fetch_from_peer(self, replica: KindReplica, host: Address, wanted: int) -> None:
        try:
            await asyncio.sleep(CATCH_UP_DELAY_S)
            if replica.last_change_revision < wanted:
                fetched = await fetch_replica(host, replica.kind)
                kept_until_s = None if fetched.is_settled else self._register_again_until_s()
                self._apply_listing(replica, fetched.listing, kept_until_s, _Source.PEER)
                log_event(
                    "copy fetched from a peer",
                    step="catch up",
                    peer=str(host),
                    kind=replica.kind,
                    as_of=replica.as_of,
                )
        except ChervilmillError as exc:
            log_problem("copy not fetched", step=exc.step, peer=exc.peer, error=exc.message)
        finally:
            self._fetching.discard(replica.kind)

    @property
    def is_settled(self) -> bool:
        """Return whether no outage of the store can explain that an entry is missing here."""
        return self._register_again_until_s() is None

    def _register_again_until_s(self) -> float | None:
        """Return until when targets may register again, or None if they would have done so."""
        now_s = asyncio.get_running_loop().time()
        if self._store_state.is_unreachable:
            return now_s + REGISTER_AGAIN_S
        until_s = self._store_state.recovered_s + REGISTER_AGAIN_S
        return until_s if now_s < until_s else None

    @contextmanager
    def _open_call(self, kind: str) -> Iterator[None]:
        """Record since when a call about a kind has been open."""
        self._store_state.called_s[kind] = asyncio.get_running_loop().time()
        try:
            yield
        finally:
            del self._store_state.called_s[kind]

    def _log_change(self, replica: KindReplica, change: ReplicaChange, source: _Source) -> None:
        log_event(
            "copy changed",
            step="follow",
            kind=replica.kind,
            source=source.value,
            as_of=replica.as_of,
            written=len(change.written),
            removed=len(change.removed),
        )

    def _log_behind(self, replica: KindReplica, host: Address, wanted: int) -> None:
        """Log that a peer knows a later change, and for how long the own call has been open."""
        now_s = asyncio.get_running_loop().time()
        called_s = self._store_state.called_s.get(replica.kind)
        answered_s = self._store_state.answered_s.get(replica.kind)
        log_event(
            "copy is behind",
            step="follow",
            peer=str(host),
            kind=replica.kind,
            known=replica.last_change_revision,
            wanted=wanted,
            call_open_s=None if called_s is None else round(now_s - called_s, 3),
            answer_age_s=None if answered_s is None else round(now_s - answered_s, 3),
        )

    def _record_answer(self, kind: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._store_state.last_answer_s = now_s
        self._store_state.answered_s[kind] = now_s
        if self._store_state.is_unreachable:
            self._store_state.is_unreachable = False
            self._store_state.recovered_s = now_s
            log_event("store is back", step="watch", peer="store")

    def _record_failure(self, kind: str, exc: StoreError) -> None:
        if not self._store_state.is_unreachable:
            self._store_state.is_unreachable = True
            log_problem("store is lost", step=exc.step, peer=exc.peer, kind=kind, error=exc.message)
