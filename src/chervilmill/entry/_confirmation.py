"""Confirm by linearizable reads that the copies of the store's objects are current.

A watch that may be stale is cheap, but a replica that is seconds behind answers it like the store
does. Nothing in its answers tells how old they are, not even the revision that they state, so the
age of what a VM acts on is bounded by linearizable reads only.

The store counts revisions over all kinds. One linearizable list of a kind with few objects thus
states the revision up to which every copy has to be proven, and copies that are not are read by a
linearizable watch.

The cost does not grow with the fleet. A VM's digests state what it has proven, and the age of that;
a peer that has the same objects is confirmed by them too. One of the readers reads for all others.
The next one stands by until the confirmation is older than it should be, and any VM reads for
itself if its peers do not confirm its copies in time. A VM that starts has just listed all copies,
and waits for its peers as long as for silent ones: else each VM of a fleet that starts at once
would read the store again before it hears the others.

After the ReadIndex optimization in Ongaro, "Consensus: Bridging Theory and Practice" (2014),
section 6.4.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import replace

from chervilmill.entry._copy_updates import CopyUpdates
from chervilmill.entry._store_state import StoreState
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import ROUND_S, SUSPECT_AFTER_S, CopyProof, KindReplica
from chervilmill.platform import (
    EarlierEraError,
    HistoryGoneError,
    PlatformStore,
    StoreBusyError,
    StoreError,
    StoreSilentError,
    StoreVersion,
)

CONFIRM_INTERVAL_S = 0.7  # of the reader that reads for the others
STANDBY_STEP_S = 0.25  # for the read of the reader before, and its digest
# A silent connection costs the first of these, doubled for each call without an answer.
CONFIRM_TIMEOUT_S = 0.6
MAX_CONFIRM_TIMEOUT_S = 2.0
CONFIRM_RETRY_S = 1.0  # refused calls are paid for too
CONFIRM_BUSY_RETRY_S = 0.3  # of a few readers, whatever the size of the fleet
CHANGES_WAIT_S = 0.01  # a watch that returns the changes there are
CHECK_S = 0.25
PEER_ROUNDS = 3  # of gossip, besides those that grow with the fleet
HOP_S = 0.1  # for the way of a digest, so that an age passed on does not shrink
# An age that was passed on may be too low by the time that digests took beyond HOP_S for each hop.
AGE_ERROR_S = 1.0
# Copies that have not been confirmed for this time may lack what was added to the store.
UNCONFIRMED_AFTER_S = 10.0


def max_age_s(reader_rank: int | None, fleet_size: int, *, hears_peers: bool) -> float:
    """Return the age of its confirmation at which a VM reads for itself.

    `reader_rank` is the place of the VM among the readers, or None if it is no reader. Gossip takes
    a number of rounds that grows with the logarithm of the fleet.
    """
    if reader_rank is not None:
        return CONFIRM_INTERVAL_S + STANDBY_STEP_S * reader_rank
    if not hears_peers:
        return CONFIRM_INTERVAL_S
    return CONFIRM_INTERVAL_S + ROUND_S * (PEER_ROUNDS + math.log2(max(1, fleet_size)) / 2.0)


class CopyConfirmer:
    """Keeps the age of all copies within a bound, while the store or a peer answers.

    `list_again` is called for a kind whose changes the store no longer has. A VM that was late
    reads for itself once its copies are `late_max_age_s` old, as it soon may not act on them.
    """

    def __init__(
        self,
        store: PlatformStore,
        replicas: Mapping[str, KindReplica],
        listed_kind: str,
        store_state: StoreState,
        updates: CopyUpdates,
        list_again: Callable[[str], None],
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._listed_kind = listed_kind
        self._store_state = store_state
        self._updates = updates
        self._list_again = list_again
        self._heard_s = float("-inf")
        self._loaded_s = math.inf
        self._peers_confirmed_s = float("-inf")
        self._not_before_s = float("-inf")
        self._silent_calls = 0
        self._is_unconfirmed = False
        self.reader_rank: int | None = None
        self.fleet_size = 1
        self.late_max_age_s = math.inf
        self.on_confirmed: Callable[[], None] = lambda: None

    def confirmed_s(self) -> float | None:
        """Return the time up to which all copies are confirmed, or None before they are read."""
        confirmed_s = self._store_state.confirmed_s
        if any(kind not in confirmed_s for kind in self._replicas):
            return None
        return min(confirmed_s.values())

    def handle_peer(self, proofs: Mapping[str, CopyProof], age_s: float | None) -> None:
        """Take over what a peer has proven, for the copies that have the same objects.

        `age_s` is the age of the peer's confirmation, or None if it states none. An age without
        proofs, as peers of earlier versions state it, may rest on answers that were stale.
        """
        now_s = asyncio.get_running_loop().time()
        self._heard_s = now_s
        if age_s is None or not proofs:
            return
        at_s = now_s - age_s - HOP_S
        self._peers_confirmed_s = max(self._peers_confirmed_s, at_s)
        for kind, replica in self._replicas.items():
            if kind in proofs and self._updates.adopt(replica, proofs[kind], at_s - AGE_ERROR_S):
                self.confirm(replica, at_s, at_s - AGE_ERROR_S)

    def confirm(self, replica: KindReplica, at_s: float, hints_until_s: float) -> None:
        """Record that a copy reflects the store as it was at a time.

        Hints received up to `hints_until_s` that are not proven by now are wrong.
        """
        self._store_state.confirm(replica.kind, at_s)
        self._updates.drop_hints(replica, hints_until_s)

    async def run(self) -> None:
        """Confirm the copies whenever that is due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now_s = loop.time()
            self._log_unconfirmed(now_s)
            if self.confirmed_s() is not None:
                self._loaded_s = min(self._loaded_s, now_s)
            wait_s = max(self._due_s(now_s), self._not_before_s) - now_s
            if wait_s > 0.0:
                await asyncio.sleep(min(wait_s, CHECK_S))
                continue
            try:
                await self._confirm()
            except StoreSilentError as exc:
                self._silent_calls += 1
                if self._timeout_s() >= MAX_CONFIRM_TIMEOUT_S:
                    self._record_failure(exc)
            except StoreError as exc:
                self._record_failure(exc)
            except Exception as exc:  # what other writers store never ends this task
                self._not_before_s = loop.time() + CONFIRM_RETRY_S
                log_problem("copies not confirmed", step="confirm", error=repr(exc)[:256])

    def _due_s(self, now_s: float) -> float:
        """Return when this VM should read the store."""
        confirmed_s = self.confirmed_s()
        if confirmed_s is None:
            return math.inf
        if self._store_state.is_unreachable and self._may_be_back():
            return now_s
        # Peers may not have had time to be heard. A store that fails is tried again all the same.
        started_s = float("-inf") if self._store_state.is_unreachable else self._loaded_s
        hears_peers = now_s - max(self._heard_s, started_s) < SUSPECT_AFTER_S
        age_s = max_age_s(self.reader_rank, self.fleet_size, hears_peers=hears_peers)
        if age_s > self.late_max_age_s and self._store_state.was_late_since(confirmed_s):
            age_s = self.late_max_age_s
        return confirmed_s + age_s

    def _may_be_back(self) -> bool:
        """Return whether a replica, or the store to a peer, has answered since the last failure."""
        is_back_at_peers = self._peers_confirmed_s > self._store_state.failed_s
        return self._store_state.has_stale_answer or is_back_at_peers

    def _timeout_s(self) -> float:
        return min(MAX_CONFIRM_TIMEOUT_S, CONFIRM_TIMEOUT_S * 2.0**self._silent_calls)

    async def _confirm(self) -> None:
        """Read the store's revision, and the changes of all copies that have not reached it."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        timeout_s = self._timeout_s()
        listing = await self._store.list_all(self._listed_kind, timeout_s)
        listed = self._replicas[self._listed_kind]
        if listing.as_of.era < listed.as_of.era:
            message = f"the list is of era {listing.as_of.era}, before {listed.as_of.era}"
            raise EarlierEraError(message, step="confirm", peer="store")
        self._updates.apply_listing(listed, listing, began_s)
        self.confirm(listed, began_s, began_s)
        others = [replica for kind, replica in self._replicas.items() if kind != self._listed_kind]
        results = await asyncio.gather(
            *(self._read_up_to(replica, listing.as_of, began_s, timeout_s) for replica in others),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        self._not_before_s = began_s + CONFIRM_INTERVAL_S  # also if a kind has to be listed again
        self._silent_calls = 0
        self._store_state.record_answer(loop.time())
        self.on_confirmed()

    async def _read_up_to(
        self, replica: KindReplica, version: StoreVersion, began_s: float, timeout_s: float
    ) -> None:
        """Read the changes of a copy that is not proven up to a version of the store."""
        if replica.as_of < version:
            try:
                result = await self._store.watch(
                    replica.kind, replica.as_of, CHANGES_WAIT_S, timeout_s, allow_stale=False
                )
            except HistoryGoneError:
                self._list_again(replica.kind)
                return
            # The read began after the store had reached the version.
            as_of = max(result.as_of, version)
            self._updates.apply_changes(replica, replace(result, as_of=as_of), began_s)
        self.confirm(replica, began_s, began_s)

    def _record_failure(self, exc: StoreError) -> None:
        now_s = asyncio.get_running_loop().time()
        is_busy = isinstance(exc, StoreBusyError)
        is_reader = self.reader_rank is not None
        self._not_before_s = now_s + (
            CONFIRM_BUSY_RETRY_S if is_busy and is_reader else CONFIRM_RETRY_S
        )
        if is_busy:
            log_problem("copies not confirmed", step=exc.step, peer=exc.peer, error=exc.message)
        else:
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
