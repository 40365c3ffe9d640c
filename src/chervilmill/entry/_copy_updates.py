"""Apply to the copies of the store's objects what answers and peers say, and tell what changes.

Each method stands for one kind of source, and applies no more of it than the source proves.
"""

import asyncio
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import astuple, dataclass
from enum import Enum

from chervilmill.addresses import Address
from chervilmill.entry._replica_copies import FetchedReplica
from chervilmill.entry._store_state import StoreState
from chervilmill.entry._watch_position import WatchPosition
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import CopyProof, KindReplica, ReplicaChange
from chervilmill.platform import (
    EarlierEraError,
    Listing,
    StoreVersion,
    WatchEvent,
    WatchResult,
)

LIST_AGAIN_S = 5.0  # between the lists of a copy that peers go on contradicting

# Takes the kind, the change, and until when targets that it removes may register again.
OnChange = Callable[[str, ReplicaChange, float | None], None]


class _Source(Enum):
    """How a change reached a copy; the values appear in logs."""

    LIST = "list"
    WATCH = "watch"
    STALE_WATCH = "stale watch"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Provenance:
    """Which answer proved a copy up to its version; `peer` is the VM that read the store for it."""

    source: str = "nothing"
    peer: str = ""

    def __str__(self) -> str:
        return f"{self.source} of {self.peer}" if self.peer else self.source


class CopyUpdates:
    """The copies of all kinds, and from where to watch each.

    Changes of `urgent_kinds` have to take effect within a bound. `on_urgent_change` is called after
    each, to announce it to the other VMs. `loaded` tells, for each kind, that it has been read from
    the store or from a peer. `list_again` is called for a copy that may be wrong. Times are
    readings of the event loop's clock in seconds.
    """

    def __init__(
        self,
        store_state: StoreState,
        replicas: Mapping[str, KindReplica],
        urgent_kinds: tuple[str, ...],
        on_change: OnChange,
    ) -> None:
        self._store_state = store_state
        self._urgent_kinds = urgent_kinds
        self._on_change = on_change
        self.on_urgent_change: Callable[[], None] = lambda: None
        self.list_again: Callable[[str], None] = lambda _: None
        self._contradicted_s: dict[str, float] = {}
        self.loaded = {kind: asyncio.Event() for kind in replicas}
        self.positions = {kind: WatchPosition() for kind in replicas}
        self.proven_by = {kind: Provenance() for kind in replicas}
        # Proofs of peers that a copy did not match, with the times of their reads.
        self._unmatched: dict[str, tuple[CopyProof, float, Address | None]] = {}

    def apply_listing(
        self, replica: KindReplica, listing: Listing, began_s: float, known: StoreVersion
    ) -> None:
        """Apply a linearizable list that began at a time, when a version was proven here.

        Raise EarlierEraError for a list that is behind it, which is not the store's present state.
        """
        if listing.as_of < known:
            message = f"the list is as of {listing.as_of}, before {known}"
            raise EarlierEraError(message, step="list", peer="store")
        before, before_as_of = replica.proof(), replica.as_of
        change = replica.apply_listing(listing, began_s)
        if change is not None:
            if change.is_restored:
                self._record_restored(replica, before_as_of, change)
            self._record_read(replica, before, change, _Source.LIST)
        self.loaded[replica.kind].set()

    def apply_watched(self, replica: KindReplica, result: WatchResult, *, is_stale: bool) -> None:
        """Apply the result of a watch, which proves nothing."""
        self.positions[replica.kind].follow(result)
        self._apply_hints(
            replica,
            result.events,
            result.as_of.era,
            self._register_again_until_s(),
            _Source.STALE_WATCH if is_stale else _Source.WATCH,
        )

    def apply_copy(self, replica: KindReplica, fetched: FetchedReplica, host: Address) -> None:
        """Apply the copy of a peer, as far as the peer has proven it, and the rest as hints."""
        kept_until_s = None if fetched.is_settled else self._register_again_until_s()
        listing, hints = fetched.listing, fetched.hints
        if fetched.is_proven:
            before_as_of = replica.as_of
            change = replica.apply_listing(listing)
            if change is not None:
                if change.is_restored:
                    self._record_restored(replica, before_as_of, change)
                self._note_proven(replica, _Source.PEER, str(host))
                self._record_change(replica, change, kept_until_s, _Source.PEER)
        else:
            hints = replica.hints_in(listing)
        self._apply_hints(replica, hints, listing.as_of.era, kept_until_s, _Source.PEER)
        self.loaded[replica.kind].set()
        log_event(
            "copy fetched from a peer",
            step="catch up",
            peer=str(host),
            kind=replica.kind,
            as_of=astuple(listing.as_of),
            is_proven=fetched.is_proven,
            hints=len(hints),
        )

    def adopt(
        self, replica: KindReplica, proof: CopyProof, began_s: float, host: Address | None = None
    ) -> bool:
        """Return whether a copy is proven up to where a peer's is, by the peer's proof or before.

        The peer's read of the store began at `began_s`. A proof that the copy does not match is
        kept for the changes that are on their way. If it is of the same version, one of the two is
        wrong, and the store is to say what it has.
        """
        if replica.as_of > proof.version or replica.proof() == proof:
            return True
        if replica.as_of == proof.version:
            self._record_contradiction(replica, host)
            return False
        change = replica.adopt(proof, began_s)
        if change is None:
            known = self._unmatched.get(replica.kind)
            if known is None or known[0].version < proof.version:
                self._unmatched[replica.kind] = (proof, began_s, host)
            return False
        self._note_proven(replica, _Source.PEER, str(host or ""))
        self._record_change(replica, change, self._register_again_until_s(), _Source.PEER)
        return True

    def drop_hints(self, replica: KindReplica, before_s: float) -> None:
        """Drop the hints received before a time at which the copy reflected the store."""
        count = len(replica.hints)
        if not count:
            return
        change = replica.drop_hints(before_s)
        if len(replica.hints) < count:
            log_problem(
                "unproven changes dropped",
                step="follow",
                peer="store",
                kind=replica.kind,
                as_of=astuple(replica.as_of),
                dropped=count - len(replica.hints),
            )
        self._record_change(replica, change, self._register_again_until_s(), _Source.LIST)

    def _apply_hints(
        self,
        replica: KindReplica,
        events: Sequence[WatchEvent],
        era: int,
        kept_until_s: float | None,
        source: _Source,
    ) -> None:
        change = replica.apply_hints(events, era, asyncio.get_running_loop().time())
        self._record_change(replica, change, kept_until_s, source)
        if replica.kind in self._unmatched:
            proof, began_s, host = self._unmatched.pop(replica.kind)
            if self.adopt(replica, proof, began_s, host):
                self._store_state.confirm(replica.kind, began_s)

    def _record_read(
        self, replica: KindReplica, before: CopyProof | None, change: ReplicaChange, source: _Source
    ) -> None:
        """Record a linearizable read, and announce it if it proves what peers know as hints."""
        self._note_proven(replica, source)
        self._record_change(replica, change, self._register_again_until_s(), source)
        proof = replica.proof()
        has_new_proof = before and proof and before.fingerprint != proof.fingerprint
        if has_new_proof and not change.is_change and replica.kind in self._urgent_kinds:
            self.on_urgent_change()

    def _note_proven(self, replica: KindReplica, source: _Source, peer: str = "") -> None:
        self.positions[replica.kind].note_proven(replica.as_of)
        self.proven_by[replica.kind] = Provenance(source.value, peer)

    def _record_contradiction(self, replica: KindReplica, host: Address | None) -> None:
        """Have a copy listed again that differs from a peer's of the same version."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._contradicted_s.get(replica.kind, -math.inf) < LIST_AGAIN_S:
            return
        self._contradicted_s[replica.kind] = now_s
        log_problem(
            "copies contradict each other",
            step="follow",
            peer=str(host or ""),
            kind=replica.kind,
            as_of=astuple(replica.as_of),
            proven_by=str(self.proven_by[replica.kind]),
        )
        self.list_again(replica.kind)

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
        if change.is_change:
            log_event(
                "copy changed",
                step="follow",
                kind=replica.kind,
                source=source.value,
                as_of=astuple(replica.as_of),
                last_change=astuple(replica.last_change),
                written=len(change.written),
                removed=len(change.removed),
            )
        if change.is_change or change.is_full_listing:
            self._on_change(replica.kind, change, kept_until_s)
        if change.is_change and replica.kind in self._urgent_kinds:
            self.on_urgent_change()

    def _register_again_until_s(self) -> float | None:
        return self._store_state.register_again_until_s(asyncio.get_running_loop().time())
