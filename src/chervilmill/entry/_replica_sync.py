"""Replicate the store's objects, from the store itself or from a peer with a newer copy.

One watch for each kind of object follows the store. A watch may stay open for its whole time
without any change, so nothing distinguishes a quiet store from a silent one. A few VMs of the
fleet, the readers, therefore ask at short intervals, and what they learn is announced to all VMs at
once. A VM that is behind catches up, so a VM that the store refuses still learns of
configurations, evacuations and targets.

From the acknowledgement of a change to its effect on a VM whose own call is dead, the steps are: up
to `READER_WAIT_S` and `READER_MARGIN_S` until a reader has it, or `WATCH_PAUSE_S` where any other
VM's call is alive, an urgent round of gossip for each hop, and the delays of `CatchUp`.

A store that comes back from an older copy is listed anew, by all VMs within a time that grows with
the fleet. What the listing lacks is handed on as missing from a restored store, not as removed.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import astuple
from enum import Enum

from chervilmill.addresses import Address
from chervilmill.entry._catch_up import CatchUp
from chervilmill.entry._replica_copies import fetch_replica
from chervilmill.entry._store_state import StoreState
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import KindReplica, ReplicaChange
from chervilmill.platform import (
    HistoryGoneError,
    Listing,
    PlatformStore,
    StoreError,
    StoreRestoredError,
    StoreSilentError,
    StoreVersion,
    WatchResult,
)

# The store usually answers in milliseconds, and in tenths of a second when slow.
LIST_TIMEOUT_S = 2.0
# Each watch is a call that is paid for, so watches are long. The store allows up to 30 s.
WATCH_WAIT_S = 25.0
WATCH_SLACK_S = 3.0  # additional time for a slow answer to arrive
# A reader's watches, whose answers prove that the store has no later change.
READER_WAIT_S = 0.8
READER_MARGIN_S = 0.6  # doubled for each call without an answer, up to WATCH_SLACK_S
# With 800 VMs, a kind that keeps changing causes at most 2,000 reads a second.
WATCH_PAUSE_S = 0.4
RETRY_DELAY_S = 1.0  # refused calls are paid for too
# VMs that begin to list a restored store within a second. Their lists of four kinds are 1,600
# calls, where the smallest sites allow 2,000 reads a second.
RELISTING_VMS_PER_S = 400.0

# Takes the kind, the change, and until when targets that it removes may register again.
OnChange = Callable[[str, ReplicaChange, float | None], None]


class _Source(Enum):
    """How a change reached a copy; the values appear in logs."""

    LIST = "list"
    WATCH = "watch"
    PEER = "peer"


class ReplicaSync:
    """Follows the store with one watch for each kind, with peers as the fallback.

    Changes of `urgent_kinds` have to take effect within a bound. `on_urgent_change` is called after
    each, to announce it to the other VMs. `fleet_size` is the number of VMs that follow the store.
    """

    def __init__(
        self,
        store: PlatformStore,
        replicas: dict[str, KindReplica],
        on_change: OnChange,
        urgent_kinds: tuple[str, ...] = (),
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._on_change = on_change
        self._urgent_kinds = urgent_kinds
        self._store_state = StoreState()
        self._catch_ups = {
            kind: CatchUp(replica, self._store_state, self._restart_watch, self._fetch_copy)
            for kind, replica in replicas.items()
        }
        self._loaded = {kind: asyncio.Event() for kind in replicas}
        self._watches: dict[str, asyncio.Task[WatchResult]] = {}
        self._silent_calls: dict[str, int] = {}
        self._to_prove: set[str] = set()
        self._is_reader = False
        self._rng = rng or random.Random()
        self.fleet_size = 1
        self.on_urgent_change: Callable[[], None] = lambda: None

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

    @property
    def is_settled(self) -> bool:
        """Return whether no outage of the store can explain that an entry is missing here."""
        return self._register_again_until_s() is None

    def copy_ages_s(self) -> dict[str, float]:
        """Return the time since the store last answered this VM about each kind."""
        return self._store_state.copy_ages_s(asyncio.get_running_loop().time())

    def versions(self) -> dict[str, StoreVersion]:
        """Return the version of the last known change of each kind."""
        return {kind: replica.last_change for kind, replica in self._replicas.items()}

    def set_reader(self, is_reader: bool) -> None:
        """Set whether this VM is one of those that ask the store at short intervals."""
        if is_reader and not self._is_reader:
            for kind in self._urgent_kinds:
                self._restart_watch(kind)
        self._is_reader = is_reader

    async def run(self, kind: str) -> None:
        """Follow the changes of one kind until cancelled."""
        replica = self._replicas[kind]
        needs_list = True
        lists_without_watch = 0
        while True:
            try:
                if needs_list:
                    await self._list(replica)
                    needs_list = False
                    lists_without_watch += 1
                else:
                    await self._watch(replica)
                    lists_without_watch = 0
            except HistoryGoneError as exc:
                needs_list = True
                log_event(
                    "history is gone",
                    step="watch",
                    kind=kind,
                    as_of=astuple(replica.as_of),
                    error=exc.message,
                )
                await asyncio.sleep(self._relist_delay_s(exc, lists_without_watch))
            except StoreSilentError as exc:
                if not self._repeats_at_once(kind):
                    self._store_state.record_failure(kind, exc)
                    await asyncio.sleep(RETRY_DELAY_S)
            except StoreError as exc:
                self._store_state.record_failure(kind, exc)
                await asyncio.sleep(RETRY_DELAY_S)
            except Exception as exc:  # what other writers store never ends this task
                needs_list = True
                log_problem("copy not followed", step="follow", peer=kind, error=repr(exc)[:256])
                await asyncio.sleep(RETRY_DELAY_S)

    def _relist_delay_s(self, exc: HistoryGoneError, lists_without_watch: int) -> float:
        """Return the time to wait before a list after history is gone.

        A store that goes on refusing what it has listed would otherwise be called without a pause.
        """
        delay_s = RETRY_DELAY_S if lists_without_watch > 1 else 0.0
        if isinstance(exc, StoreRestoredError):
            delay_s += self._rng.uniform(0.0, self.fleet_size / RELISTING_VMS_PER_S)
        return delay_s

    def handle_peer_versions(self, host: Address, versions: dict[str, StoreVersion]) -> None:
        """Compare a peer's versions with the copies held here, and catch up where behind."""
        for kind, catch_up in self._catch_ups.items():
            catch_up.handle_version(host, versions.get(kind, StoreVersion()))

    async def _list(self, replica: KindReplica) -> None:
        with self._store_state.open_call(replica.kind, asyncio.get_running_loop().time()):
            listing = await self._store.list_all(replica.kind, LIST_TIMEOUT_S)
        self._record_answer(replica.kind)
        self._apply_listing(replica, listing, _Source.LIST)

    async def _watch(self, replica: KindReplica) -> None:
        result = await self._call_watch(replica)
        if result is None:
            return
        self._record_answer(replica.kind)
        change = replica.apply_events(result)
        if change is not None and (change.written or change.removed):
            self._record_change(replica, change, self._register_again_until_s(), _Source.WATCH)
        if result.events:
            await asyncio.sleep(WATCH_PAUSE_S)  # one call then returns all changes of the pause

    async def _call_watch(self, replica: KindReplica) -> WatchResult | None:
        """Return the result of a watch, or None if the watch has to be sent again."""
        kind = replica.kind
        wait_s, margin_s = self._watch_times_s(kind)
        call = asyncio.ensure_future(
            self._store.watch(kind, replica.as_of, wait_s, margin_s, allow_stale=True)
        )
        self._watches[kind] = call
        try:
            with self._store_state.open_call(kind, asyncio.get_running_loop().time()):
                await asyncio.wait({call})
            return None if call.cancelled() else call.result()
        finally:
            call.cancel()
            del self._watches[kind]

    def _watch_times_s(self, kind: str) -> tuple[float, float]:
        """Return how long the store may hold a watch, and the time for its answer beyond that."""
        if not self._is_short(kind):
            return WATCH_WAIT_S, WATCH_SLACK_S
        margin_s = READER_MARGIN_S * 2 ** self._silent_calls.get(kind, 0)
        return READER_WAIT_S, min(WATCH_SLACK_S, margin_s)

    def _is_short(self, kind: str) -> bool:
        return kind in self._to_prove or (self._is_reader and kind in self._urgent_kinds)

    def _repeats_at_once(self, kind: str) -> bool:
        """Count a call without an answer, and return whether the next one follows at once."""
        _, margin_s = self._watch_times_s(kind)
        self._silent_calls[kind] = self._silent_calls.get(kind, 0) + 1
        return margin_s < WATCH_SLACK_S

    def _restart_watch(self, kind: str) -> None:
        """Send the open watch of a kind again, which a silent store may never answer."""
        call = self._watches.get(kind)
        if call is not None:
            self._to_prove.add(kind)
            call.cancel()

    def _apply_listing(
        self, replica: KindReplica, listing: Listing, source: _Source, *, is_settled: bool = False
    ) -> None:
        """Apply a listing; `is_settled` says that no outage explains what is missing from it."""
        before = replica.as_of
        change = replica.apply_listing(listing)
        if change is not None:
            if change.is_restored:
                self._record_restored(replica, before, change)
            kept_until_s = None if is_settled else self._register_again_until_s()
            self._record_change(replica, change, kept_until_s, source)
        self._loaded[replica.kind].set()

    async def _fetch_copy(self, replica: KindReplica, host: Address) -> None:
        fetched = await fetch_replica(host, replica.kind)
        self._apply_listing(replica, fetched.listing, _Source.PEER, is_settled=fetched.is_settled)
        log_event(
            "copy fetched from a peer",
            step="catch up",
            peer=str(host),
            kind=replica.kind,
            as_of=astuple(replica.as_of),
        )

    def _record_restored(
        self, replica: KindReplica, before: StoreVersion, change: ReplicaChange
    ) -> None:
        self._store_state.record_restored(asyncio.get_running_loop().time())
        log_problem(
            "store restored",
            step="follow",
            peer="store",
            kind=replica.kind,
            before=astuple(before),
            as_of=astuple(replica.as_of),
            missing=len(change.removed),
            different=len(change.written),
        )

    def _record_change(
        self,
        replica: KindReplica,
        change: ReplicaChange,
        kept_until_s: float | None,
        source: _Source,
    ) -> None:
        if change.written or change.removed:
            log_event(
                "copy changed",
                step="follow",
                kind=replica.kind,
                source=source.value,
                as_of=astuple(replica.as_of),
                written=len(change.written),
                removed=len(change.removed),
            )
        self._on_change(replica.kind, change, kept_until_s)
        if replica.kind in self._urgent_kinds:
            self.on_urgent_change()

    def _register_again_until_s(self) -> float | None:
        return self._store_state.register_again_until_s(asyncio.get_running_loop().time())

    def _record_answer(self, kind: str) -> None:
        self._to_prove.discard(kind)
        self._silent_calls.pop(kind, None)
        self._store_state.record_answer(kind, asyncio.get_running_loop().time())
