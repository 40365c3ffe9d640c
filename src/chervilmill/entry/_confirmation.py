"""Confirm by linearizable lists that the copies of the store's objects are current.

A list states all objects of a kind. A watch states changes, and nothing in it tells that there are
no others: a store that does not hear of changes for a moment ends a watch without events, and may
state any revision in it. A replica that is seconds behind does the same. The age of what a VM acts
on is therefore bounded by linearizable lists only.

The store counts revisions over all kinds. One list of a kind with few objects thus states the
revision up to which every copy has to be proven, and the kinds of copies that are not are listed.

The age of a copy counts from the start of the read that confirmed it. A new read begins while
others are open, and answers that are late are used (`ReadSchedule`). While answers are late or
refused, a read lists all kinds at once, so that a change needs one round trip in place of two,
and each kind is confirmed by whatever answer comes.

Another writer may fill many pages of a kind. A long list takes as many round trips, so it is only
begun for a copy that is behind, and one at a time: reads that need it wait for the same one. Else
each read would list all pages beside those of the reads before, and none would end in time.

While the store answers in time, the cost does not grow with the fleet. A VM's digests state what it
has proven, and the age of that; a peer that has the same objects is confirmed by them too, and
passes that on at once. Where answers take so long that the confirmations of peers come too late to
act on, each VM reads for itself.

After the ReadIndex optimization in Ongaro, "Consensus: Bridging Theory and Practice" (2014),
section 6.4.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any, TypeVar, cast

from chervilmill.addresses import Address
from chervilmill.entry._copy_updates import CopyUpdates
from chervilmill.entry._read_schedule import CHECK_S, CONFIRM_RETRY_S, SLOW_ANSWER_S, ReadSchedule
from chervilmill.entry._store_state import StoreState
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import CopyProof, KindReplica
from chervilmill.platform import (
    PlatformStore,
    StoreBusyError,
    StoreError,
    StoreVersion,
)

T = TypeVar("T")

CONFIRM_TIMEOUT_S = 2.5  # an answer that comes later is too old to be acted on
HOP_S = 0.1  # for the way of a digest, so that an age passed on does not shrink
# An age that was passed on may be too low by the time that digests took beyond HOP_S for each hop.
AGE_ERROR_S = 1.0
ANNOUNCED_STEP_S = 0.3  # by which a confirmation has to be later to be passed on at once
# Copies that have not been confirmed for this time may lack what was added to the store.
UNCONFIRMED_AFTER_S = 10.0
MAX_SHORT_PAGES = 4  # of a list that may be begun anew before it has ended
MAX_LONG_LISTS = 3  # for one read, if the store goes on changing


async def _gather_all(calls: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Run calls at once, wait for all, and return their results or raise the first error."""
    results = await asyncio.gather(*calls, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
    return cast(list[T], results)


class CopyConfirmer:
    """Keeps the age of all copies within a bound, while the store or a peer answers.

    `on_read` is called when a read of this VM has confirmed all copies, and `on_adopted` when a
    peer has.
    """

    def __init__(
        self,
        store: PlatformStore,
        replicas: Mapping[str, KindReplica],
        listed_kind: str,
        store_state: StoreState,
        updates: CopyUpdates,
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._listed_kind = listed_kind
        self._store_state = store_state
        self._updates = updates
        self.schedule = ReadSchedule(store_state)
        self._announced_s = float("-inf")
        self._reads: set[asyncio.Task[None]] = set()
        self._pages: dict[str, int] = {}
        self._long_lists: dict[str, asyncio.Task[StoreVersion]] = {}
        self._is_unconfirmed = False
        self._is_slow = False
        self.on_read: Callable[[], None] = lambda: None
        self.on_adopted: Callable[[], None] = lambda: None

    def confirmed_s(self) -> float | None:
        """Return the time up to which all copies are confirmed, or None before they are read."""
        confirmed_s = self._store_state.confirmed_s
        if any(kind not in confirmed_s for kind in self._replicas):
            return None
        return min(confirmed_s.values())

    def handle_peer(
        self,
        host: Address,
        proofs: Mapping[str, CopyProof],
        age_s: float | None,
        *,
        are_listed: bool = True,
    ) -> None:
        """Take over what a peer has proven, for the copies that have the same objects.

        `age_s` is the age of the peer's confirmation, or None if it states none. An age without
        proofs, as peers of earlier versions state it, may rest on answers that were stale. Unless
        the proofs `are_listed`, they may rest on watches, and show no more than that the store
        served the peer.
        """
        now_s = asyncio.get_running_loop().time()
        self.schedule.record_digest(now_s)
        if age_s is None or not proofs:
            return
        at_s = now_s - age_s - HOP_S
        self.schedule.record_peer_confirmation(at_s)
        self._store_state.record_peer_confirmation(at_s, now_s)
        if not are_listed:
            return
        for kind, replica in self._replicas.items():
            if kind not in proofs:
                continue
            if self._updates.adopt(replica, proofs[kind], at_s - AGE_ERROR_S, host):
                self.confirm(replica, at_s, at_s - AGE_ERROR_S)
        if self._announces_since(ANNOUNCED_STEP_S):
            self.schedule.record_adopted(now_s - at_s)
            self.on_adopted()

    def _announces_since(self, step_s: float) -> bool:
        """Return whether all copies are confirmed by more than a step beyond what was announced."""
        confirmed_s = self.confirmed_s()
        if confirmed_s is None or confirmed_s <= self._announced_s + step_s:
            return False
        self._announced_s = confirmed_s
        return True

    def record_pages(self, kind: str, pages: int) -> None:
        """Record how many pages the list of a kind had."""
        self._pages[kind] = pages

    def confirm(self, replica: KindReplica, at_s: float, hints_until_s: float) -> None:
        """Record that a copy reflects the store as it was at a time.

        Hints received up to `hints_until_s` that are not proven by now are wrong.
        """
        self._store_state.confirm(replica.kind, at_s)
        self._updates.drop_hints(replica, hints_until_s)

    async def run(self) -> None:
        """Confirm the copies whenever that is due, until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                now_s = loop.time()
                self._log_unconfirmed(now_s)
                wait_s = self.schedule.next_read_s(self.confirmed_s(), now_s) - now_s
                if wait_s > 0.0:
                    await asyncio.sleep(min(wait_s, CHECK_S))
                    continue
                reads_all_kinds = self.schedule.reads_all_kinds(now_s)
                self.schedule.begin_read(now_s)
                read = loop.create_task(self._read(now_s, reads_all_kinds=reads_all_kinds))
                self._reads.add(read)
                read.add_done_callback(self._reads.discard)
        finally:
            for task in (*self._reads, *self._long_lists.values()):
                task.cancel()

    async def _read(self, began_s: float, *, reads_all_kinds: bool) -> None:
        """Read the store's revision, and the changes of all copies, and handle what fails."""
        loop = asyncio.get_running_loop()
        self._store_state.record_call(began_s)
        # The connection, and the idle ones, may be silent; a slow store is another matter.
        overdue_s = max(SLOW_ANSWER_S, 2.0 * self._store_state.answer_s)
        overdue = loop.call_later(overdue_s, self._store.close_idle_connections)
        try:
            if reads_all_kinds:
                await self._read_all_kinds(began_s)
            else:
                await self._read_what_changed(began_s)
        except StoreError as exc:
            self._record_failure(exc, began_s)
        except Exception as exc:  # what other writers store never ends this task
            self.schedule.record_failure(loop.time(), CONFIRM_RETRY_S)
            log_problem("copies not confirmed", step="confirm", error=repr(exc)[:256])
        finally:
            overdue.cancel()
            self.schedule.end_read(began_s)
        if self._announces_since(0.0):
            self.on_read()

    async def _read_what_changed(self, began_s: float) -> None:
        """List the kind that states the store's revision, then those that have not reached it."""
        listed = self._revision_replica()
        version = await self._list(listed, began_s)
        others = [replica for replica in self._replicas.values() if replica is not listed]
        await self._prove(others, version, began_s)

    async def _read_all_kinds(self, began_s: float) -> None:
        """List all kinds, each of which is confirmed by its own answer, but for long lists."""
        listed = self._revision_replica()
        long = [
            replica
            for replica in self._replicas.values()
            if replica is not listed and self._has_long_list(replica)
        ]
        short = [replica for replica in self._replicas.values() if replica not in long]
        versions = await _gather_all(self._list(replica, began_s) for replica in short)
        await self._prove(long, max(versions), began_s)

    def _revision_replica(self) -> KindReplica:
        """Return the copy whose list states the store's revision, one with a short list."""
        chosen = self._replicas[self._listed_kind]
        if not self._has_long_list(chosen):
            return chosen
        return min(self._replicas.values(), key=lambda replica: self._pages.get(replica.kind, 1))

    def _has_long_list(self, replica: KindReplica) -> bool:
        return self._pages.get(replica.kind, 1) > MAX_SHORT_PAGES

    async def _prove(
        self, replicas: Iterable[KindReplica], version: StoreVersion, began_s: float
    ) -> None:
        """Confirm the copies that have reached a version of the store, and list the others.

        The store stated the version after `began_s`.
        """
        behind = []
        for replica in replicas:
            if replica.as_of < version:
                behind.append(replica)
            else:
                self.confirm(replica, began_s, began_s)
        await _gather_all(self._bring_up_to(replica, version, began_s) for replica in behind)

    async def _bring_up_to(
        self, replica: KindReplica, version: StoreVersion, began_s: float
    ) -> StoreVersion:
        if not self._has_long_list(replica):
            return await self._list(replica, began_s)
        for _ in range(MAX_LONG_LISTS):
            task = self._long_lists.get(replica.kind)
            if task is None:
                task = asyncio.get_running_loop().create_task(self._list_long(replica))
                self._long_lists[replica.kind] = task
            await asyncio.wait({task})  # other reads may wait for it too
            task.result()
            if replica.as_of >= version:
                self.confirm(replica, began_s, began_s)
                break
        return replica.as_of

    async def _list_long(self, replica: KindReplica) -> StoreVersion:
        """List a kind with many pages for all reads that wait for it."""
        try:
            return await self._list(replica, asyncio.get_running_loop().time())
        finally:
            del self._long_lists[replica.kind]

    async def _list(self, replica: KindReplica, began_s: float) -> StoreVersion:
        """List a kind for a read that began at a time; return the version that the store states."""
        called_s, known = asyncio.get_running_loop().time(), replica.as_of
        listing = await self._store.list_all(replica.kind, CONFIRM_TIMEOUT_S)
        self._record_answer(called_s, listing.pages)
        self.record_pages(replica.kind, listing.pages)
        self._updates.apply_listing(replica, listing, began_s, known)
        self.confirm(replica, began_s, began_s)
        return listing.as_of

    def _record_answer(self, called_s: float, pages: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._store_state.record_answer(now_s, (now_s - called_s) / pages)
        is_slow = self._store_state.answer_s > SLOW_ANSWER_S
        if is_slow != self._is_slow:
            self._is_slow = is_slow
            log = log_problem if is_slow else log_event
            log(
                "store is slow" if is_slow else "store is on time",
                step="confirm",
                peer="store",
                answer_s=round(self._store_state.answer_s, 3),
            )

    def _record_failure(self, exc: StoreError, began_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        if isinstance(exc, StoreBusyError):
            is_reader = self.schedule.reader_rank is not None
            self.schedule.record_failure(now_s, 0.0 if is_reader else CONFIRM_RETRY_S)
            self._store_state.record_refusal(exc, now_s)
            log_problem("copies not confirmed", step=exc.step, peer=exc.peer, error=exc.message)
            return
        self.schedule.record_failure(now_s)
        if not exc.has_timed_out or self._store_state.served_s < began_s:
            self._store_state.record_failure(self._listed_kind, exc, now_s)

    def _log_unconfirmed(self, now_s: float) -> None:
        """Log when the age of the copies passes its bound, and when it is back below."""
        confirmed_s = self.confirmed_s()
        if confirmed_s is None:
            return
        is_unconfirmed = now_s - confirmed_s > UNCONFIRMED_AFTER_S
        if is_unconfirmed == self._is_unconfirmed:
            return
        self._is_unconfirmed = is_unconfirmed
        ages_s = self._store_state.confirmed_ages_s(now_s)
        log = log_problem if is_unconfirmed else log_event
        log(
            "copies are old" if is_unconfirmed else "copies are current",
            step="confirm",
            ages_s={kind: round(age_s, 3) for kind, age_s in ages_s.items()},
            is_store_unreachable=self._store_state.is_unreachable,
        )
