"""Replicate the store's objects, from the store itself or from a peer with a newer copy.

One watch for each kind of object follows the store. A watch may stay open for its whole time
without any change, so nothing distinguishes a quiet store from a silent one, and a replica that is
seconds behind may answer it. Watches therefore only bring changes early, as hints (`KindReplica`).
What bounds the age of the copies are the linearizable lists of `CopyConfirmer`.
What a VM learns is announced to all VMs at once, and a VM that is behind catches up, so that a VM
that the store refuses still learns of configurations, evacuations and targets.

What an answer proves, on each way by which it comes:

- A linearizable list: all objects of the kind, as of the version it states, at the time at which
  the call began. Objects of later pages may be newer.
- A watch, linearizable or not: nothing. Its events are hints. Neither its version nor the lack of
  events says that there are no other changes. A linearizable one shows that the store serves.
- A peer's digest: nothing by its versions, which only tell a VM that it may be behind. Its proofs
  state what the store had at a time; a copy of the same objects is proven by them. Proofs of peers
  that took watches for proof are not used.
- A peer's copy: as much as the peer has proven. The rest of it, and all of a copy from a peer that
  does not tell the two apart or took watches for proof, are hints.
- A refusal of a watch that may be stale (410, another era): nothing. A linearizable read follows.

From the acknowledgement of a change to its effect on a VM whose own watch is dead, deaf or stale,
the steps are: `CONFIRM_INTERVAL_S` and two lists until a reader has it, an urgent round of
gossip for each hop, and the delays of `CatchUp`.

A store that comes back from an older copy is listed anew, by all VMs within a time that grows with
the fleet. What the listing lacks is handed on as missing from a restored store, not as removed.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import astuple

from chervilmill.addresses import Address
from chervilmill.entry._catch_up import CatchUp
from chervilmill.entry._confirmation import CopyConfirmer
from chervilmill.entry._copy_updates import CopyUpdates, OnChange, Provenance
from chervilmill.entry._replica_copies import fetch_replica
from chervilmill.entry._store_state import StoreState
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import CopyProof, KindReplica
from chervilmill.platform import (
    EarlierEraError,
    HistoryGoneError,
    HistoryTooLongError,
    PlatformStore,
    StoreBusyError,
    StoreError,
    StoreRestoredError,
    StoreSilentError,
    StoreVersion,
    WatchResult,
)

# The store usually answers in milliseconds, and in tenths of a second when slow. Doubled for each
# call without an answer.
LIST_TIMEOUT_S = 2.0
MAX_LIST_TIMEOUT_S = 8.0
# Each watch is a call that is paid for, so watches are long. The store allows up to 30 s.
WATCH_WAIT_S = 25.0
WATCH_SLACK_S = 3.0  # additional time for a slow answer to arrive
# A linearizable watch in place of one that a silent store or a replica may have left open.
SHORT_WAIT_S = 0.8
SHORT_MARGIN_S = 0.6  # or twice what answers take; doubled for each call without an answer
# At most so many VMs ask the store anew about one change; the others ask their peers.
MAX_ASKING_VMS = 400.0
# With 800 VMs, a kind that keeps changing causes at most 2,000 reads a second.
WATCH_PAUSE_S = 0.4
MAX_FETCHES = 6  # copies of peers that are read at once, each up to the longest answer
RETRY_DELAY_S = 1.0  # refused calls are paid for too
MAX_RELIST_DELAY_S = 5.0
# VMs that begin to list a restored store within a second. Their lists of four kinds are 1,600
# calls, where the smallest sites allow 2,000 reads a second.
RELISTING_VMS_PER_S = 400.0


class ReplicaSync:
    """Follows the store with one watch for each kind, with peers as the fallback.

    Changes of `urgent_kinds` have to take effect within a bound. `on_urgent_change` is called after
    each, to announce it to the other VMs. `listed_kind`, one with few objects, is listed to confirm
    all copies. `was_late_since` returns whether the event loop was late since a time.
    """

    def __init__(
        self,
        store: PlatformStore,
        replicas: dict[str, KindReplica],
        on_change: OnChange,
        urgent_kinds: tuple[str, ...] = (),
        listed_kind: str | None = None,
        rng: random.Random | None = None,
        was_late_since: Callable[[float], bool] = lambda _: False,
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._store_state = StoreState(was_late_since=was_late_since)
        self._catch_ups = {
            kind: CatchUp(replica, self._store_state, self._ask_anew, self._fetch_copy)
            for kind, replica in replicas.items()
        }
        self._updates = CopyUpdates(self._store_state, replicas, urgent_kinds, on_change)
        self.confirmer = CopyConfirmer(
            store,
            replicas,
            listed_kind or next(iter(replicas)),
            self._store_state,
            self._updates,
        )
        self._updates.list_again = self._list_again
        self._watches: dict[str, asyncio.Task[WatchResult]] = {}
        self._fetches = asyncio.Semaphore(MAX_FETCHES)
        self._silent_calls: dict[str, int] = {}
        self._cut_watches: set[str] = set()  # kinds whose last call was cut while it waited
        self._to_list = set(replicas)
        self._to_ask_anew: set[str] = set()
        self._ahead_of_replica: set[str] = set()
        self._rng = rng or random.Random()

    async def wait_until_loaded(self) -> None:
        """Wait until every kind has been read from the store or from a peer."""
        for event in self._updates.loaded.values():
            await event.wait()

    @property
    def on_urgent_change(self) -> Callable[[], None]:
        """Return what is called after a change of an urgent kind."""
        return self._updates.on_urgent_change

    @on_urgent_change.setter
    def on_urgent_change(self, announce: Callable[[], None]) -> None:
        self._updates.on_urgent_change = announce

    @property
    def fleet_size(self) -> int:
        """Return the number of VMs that follow the store."""
        return self.confirmer.schedule.fleet_size

    @fleet_size.setter
    def fleet_size(self, vms: int) -> None:
        self.confirmer.schedule.fleet_size = vms

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the store currently does not answer this VM."""
        return self._store_state.is_unreachable

    def is_store_away(self, now_s: float) -> bool:
        """Return whether the store is known to serve nobody."""
        return self._store_state.is_away(now_s)

    @property
    def is_settled(self) -> bool:
        """Return whether no outage of the store can explain that an entry is missing here."""
        return self._store_state.register_again_until_s(asyncio.get_running_loop().time()) is None

    def copy_ages_s(self) -> dict[str, float]:
        """Return for each kind how old what this VM acts on may be."""
        return self._store_state.confirmed_ages_s(asyncio.get_running_loop().time())

    def confirmed_age_s(self) -> float | None:
        """Return the age of the oldest copy, or None before all kinds have been read."""
        confirmed_s = self.confirmer.confirmed_s()
        now_s = asyncio.get_running_loop().time()
        return None if confirmed_s is None else now_s - confirmed_s

    def versions(self) -> dict[str, StoreVersion]:
        """Return the version of the last known change of each kind."""
        return {kind: replica.last_change for kind, replica in self._replicas.items()}

    def proven_by(self, kind: str) -> Provenance:
        """Return which answer proved the copy of a kind."""
        return self._updates.proven_by[kind]

    def proofs(self) -> dict[str, CopyProof]:
        """Return what is proven of each kind."""
        proofs = {kind: replica.proof() for kind, replica in self._replicas.items()}
        return {kind: proof for kind, proof in proofs.items() if proof is not None}

    async def run(self, kind: str) -> None:
        """Follow the changes of one kind until cancelled."""
        replica = self._replicas[kind]
        lists_without_watch = 0
        while True:
            try:
                if kind in self._to_list:
                    await self._list(replica)
                    if not lists_without_watch:
                        self._ahead_of_replica.discard(kind)
                    lists_without_watch += 1
                else:
                    await self._watch(replica)
                    lists_without_watch = 0
            except (HistoryGoneError, EarlierEraError) as exc:
                if self._is_of_replica(kind, exc):
                    self._ahead_of_replica.add(kind)
                    continue
                lists_without_watch += kind in self._to_list  # the list itself could not be used
                self._to_list.add(kind)
                log_event(
                    "history is gone",
                    step="watch",
                    kind=kind,
                    as_of=astuple(replica.as_of),
                    proven_by=str(self.proven_by(kind)),
                    error=exc.message,
                )
                await asyncio.sleep(self._relist_delay_s(exc, lists_without_watch))
            except StoreSilentError as exc:
                if not self._repeats_at_once(kind):
                    await self._pause_after(kind, exc)
            except StoreBusyError as exc:
                self._catch_ups[kind].handle_failed_call()
                if kind not in self._to_ask_anew:
                    await self._pause_after(kind, exc)
                self._to_ask_anew.discard(kind)  # stale reads do not count toward the rate
            except StoreError as exc:
                self._catch_ups[kind].handle_failed_call()
                if self._is_cut_watch(kind, exc):
                    self._cut_watches.add(kind)
                    await asyncio.sleep(self._rng.uniform(0.0, WATCH_PAUSE_S))
                else:
                    await self._pause_after(kind, exc)
            except Exception as exc:  # what other writers store never ends this task
                self._to_list.add(kind)
                log_problem("copy not followed", step="follow", peer=kind, error=repr(exc)[:256])
                await asyncio.sleep(RETRY_DELAY_S)

    async def _pause_after(self, kind: str, exc: StoreError) -> None:
        self._store_state.record_failure(kind, exc, asyncio.get_running_loop().time())
        await asyncio.sleep(RETRY_DELAY_S)

    def _is_cut_watch(self, kind: str, exc: StoreError) -> bool:
        """Return whether an error is the end of a watch that the store may cut at any time.

        A second one in a row, without any answer, is a failure.
        """
        is_broken_off = not (exc.has_timed_out or exc.is_refusal)
        return is_broken_off and kind not in self._to_list and kind not in self._cut_watches

    def _is_of_replica(self, kind: str, exc: StoreError) -> bool:
        """Return whether an error may be that of a replica, which lacks what this VM has seen.

        Only a version that did not come from a replica, and not long ago, may be one that replicas
        lack. Otherwise the store itself has dropped its history, and a list is needed.
        """
        if kind in self._to_list or isinstance(exc, (StoreRestoredError, HistoryTooLongError)):
            return False
        if not self._allows_stale(kind):
            return False
        return self._updates.positions[kind].is_read_ahead or isinstance(exc, EarlierEraError)

    def _allows_stale(self, kind: str) -> bool:
        return kind not in self._to_ask_anew and kind not in self._ahead_of_replica

    def _relist_delay_s(self, exc: StoreError, lists_without_watch: int) -> float:
        """Return the time to wait before a list after history is gone.

        A store that goes on refusing what it has listed would otherwise be called without a pause.
        """
        refused_lists = max(0, lists_without_watch - 1)
        delay_s = min(MAX_RELIST_DELAY_S, RETRY_DELAY_S * refused_lists)
        if isinstance(exc, StoreRestoredError):
            delay_s += self._rng.uniform(0.0, self.fleet_size / RELISTING_VMS_PER_S)
        return delay_s

    def handle_peer_versions(
        self,
        host: Address,
        versions: Mapping[str, StoreVersion],
        confirmed_age_s: float | None = None,
        proofs: Mapping[str, CopyProof] | None = None,
        *,
        are_listed: bool = True,
    ) -> None:
        """Compare what a peer knows and has proven with the copies here, and catch up if behind.

        `confirmed_age_s` is the age of the peer's oldest copy, or None if the peer does not say.
        The proofs `are_listed` unless the peer is of a version that took watches for proof.
        """
        proofs = proofs or {}
        self.confirmer.handle_peer(host, proofs, confirmed_age_s, are_listed=are_listed)
        for kind, catch_up in self._catch_ups.items():
            catch_up.handle_version(host, versions.get(kind, StoreVersion()))
            if kind in proofs and are_listed:
                catch_up.handle_proof(host, proofs[kind].version)

    async def _list(self, replica: KindReplica) -> None:
        began_s, known = asyncio.get_running_loop().time(), replica.as_of
        timeout_s = LIST_TIMEOUT_S * 2 ** self._silent_calls.get(replica.kind, 0)
        timeout_s = min(timeout_s, MAX_LIST_TIMEOUT_S)
        self._store_state.record_call(began_s)
        with self._store_state.open_call(replica.kind, began_s):
            listing = await self._store.list_all(replica.kind, timeout_s)
        self._updates.apply_listing(replica, listing, began_s, known)
        self._to_list.discard(replica.kind)
        self._record_listed(replica.kind, began_s, listing.pages)
        self._updates.positions[replica.kind].read(replica.as_of)

    async def _watch(self, replica: KindReplica) -> None:
        kind = replica.kind
        allow_stale = self._allows_stale(kind)
        began_s = asyncio.get_running_loop().time()
        since = self._updates.positions[kind].version() if allow_stale else replica.as_of
        result = await self._call_watch(replica, since, allow_stale=allow_stale)
        if result is None:
            return
        self._ahead_of_replica.discard(kind)
        self._silent_calls.pop(kind, None)
        self._cut_watches.discard(kind)
        if allow_stale:
            self._store_state.record_stale_answer()
        else:
            self._to_ask_anew.discard(kind)
            self._store_state.record_answer(asyncio.get_running_loop().time(), None)
            self._updates.positions[kind].read(since)
        self._updates.apply_watched(replica, result, is_stale=allow_stale)
        waited_s = asyncio.get_running_loop().time() - began_s
        if result.events or waited_s < WATCH_PAUSE_S:
            await asyncio.sleep(WATCH_PAUSE_S)  # one call then returns all changes of the pause

    async def _call_watch(
        self, replica: KindReplica, since: StoreVersion, *, allow_stale: bool
    ) -> WatchResult | None:
        """Return the result of a watch, or None if the watch has to be sent again."""
        kind = replica.kind
        wait_s, margin_s = self._watch_times_s(kind)
        call = asyncio.ensure_future(
            self._store.watch(kind, since, wait_s, margin_s, allow_stale=allow_stale)
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
        if kind not in self._to_ask_anew:
            return WATCH_WAIT_S, WATCH_SLACK_S
        margin_s = max(SHORT_MARGIN_S, 2.0 * self._store_state.answer_s)
        margin_s *= 2 ** self._silent_calls.get(kind, 0)
        return SHORT_WAIT_S, min(WATCH_SLACK_S, margin_s)

    def _repeats_at_once(self, kind: str) -> bool:
        """Count a call without an answer, and return whether the next one follows at once."""
        _, margin_s = self._watch_times_s(kind)
        self._silent_calls[kind] = self._silent_calls.get(kind, 0) + 1
        return margin_s < WATCH_SLACK_S

    def _ask_anew(self, kind: str) -> bool:
        """Replace the open watch of a kind by a linearizable one; return whether that was done.

        The open watch may never be answered, by a silent store, or with old changes, by a replica.
        """
        call = self._watches.get(kind)
        if call is None or self._rng.random() * self.fleet_size > MAX_ASKING_VMS:
            return False
        self._to_ask_anew.add(kind)
        call.cancel()
        return True

    def _list_again(self, kind: str) -> None:
        """List a kind at once, in place of the watch that is open."""
        self._to_list.add(kind)
        call = self._watches.get(kind)
        if call is not None:
            call.cancel()

    async def _fetch_copy(self, replica: KindReplica, host: Address) -> None:
        async with self._fetches:
            fetched = await fetch_replica(host, replica.kind)
        self._updates.apply_copy(replica, fetched, host)

    def _record_listed(self, kind: str, began_s: float, pages: int) -> None:
        """Record a linearizable list of a kind that began at a time."""
        self._silent_calls.pop(kind, None)
        self._to_ask_anew.discard(kind)
        self.confirmer.record_pages(kind, pages)
        self._store_state.confirm(kind, began_s)
        now_s = asyncio.get_running_loop().time()
        self._store_state.record_answer(now_s, (now_s - began_s) / pages)
