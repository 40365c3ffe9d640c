"""Local copies of the store's objects: what is proven, and unproven changes on top of it.

A copy is proven up to a version by linearizable reads, of this VM or of a peer. A read that may be
stale proves nothing: it may state a later version than its data has, leave changes out, or be of an
earlier era. The changes that it brings are hints. A VM acts on hints early, reads the store as if
it had none, and drops those that a later proof does not contain.

A peer's proof names a version and a fingerprint of the objects. A copy that has the same
fingerprint, with or without the hints up to that version, is proven too, without any read.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from chervilmill.platform import Listing, StoredObject, StoreVersion, WatchEvent, WatchResult

# Beyond these, only the latest of each object is kept.
MAX_HINTS = 2000
MAX_HINTS_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """The objects written and the names removed when a copy applies a listing or events.

    With `is_full_listing`, an object that is removed was only missing from the listing; no event
    reported its removal. With `is_restored`, the listing is the first one after the store came back
    from an older copy, which may lack what its writers have yet to write again.
    """

    written: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    is_full_listing: bool
    is_restored: bool = False

    @property
    def is_change(self) -> bool:
        """Return whether any object is written or removed."""
        return bool(self.written or self.removed)


@dataclass(frozen=True, slots=True)
class CopyProof:
    """That all objects of a kind, as of a version of the store, have a fingerprint."""

    version: StoreVersion
    fingerprint: int


@dataclass(frozen=True, slots=True)
class Hint:
    """A change from a source that proves nothing; `received_s` is when it was received."""

    event: WatchEvent
    version: StoreVersion
    received_s: float

    @property
    def name(self) -> str:
        """Return the name of the changed object."""
        return self.event.stored.name

    @property
    def identity(self) -> tuple[StoreVersion, str, bool]:
        """Return what tells this change from others; a removal may repeat a revision."""
        return self.version, self.name, _is_removal(self.event)


class KindReplica:
    """A copy of all objects of one kind; an older state never replaces a newer state.

    `as_of` is the version of the store up to which the copy is proven, and `proven` the objects as
    of it. `objects` has the hints as well. Times are readings of one clock in seconds.
    """

    __slots__ = ("_fingerprint", "_hints", "as_of", "kind", "last_proven_change", "proven")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.proven: dict[str, StoredObject] = {}
        self.as_of = StoreVersion()
        self._fingerprint = 0
        self.last_proven_change = StoreVersion()
        self._hints: list[Hint] = []

    @property
    def objects(self) -> dict[str, StoredObject]:
        """Return the objects as far as they are known, with the hints."""
        return _overlay(self.proven, self._hints) if self._hints else self.proven

    @property
    def hints(self) -> tuple[Hint, ...]:
        """Return the changes that are not proven, in the order of their versions."""
        return tuple(self._hints)

    @property
    def last_change(self) -> StoreVersion:
        """Return the version of the last change known, by which VMs compare their copies."""
        return max([self.last_proven_change, *(hint.version for hint in self._hints)])

    @property
    def known_version(self) -> StoreVersion:
        """Return the version of the last change known, or up to which there is none.

        A listing shows no removals, so its own version may be above that of the last known change.
        """
        return max(self.as_of, self.last_change)

    def proof(self) -> CopyProof | None:
        """Return what is proven here, or None before anything is."""
        return CopyProof(self.as_of, self._fingerprint) if self.as_of.revision else None

    def apply_listing(self, listing: Listing, began_s: float = -math.inf) -> ReplicaChange | None:
        """Replace the copy by a proven one; `began_s` is when the read of the store began.

        Return the change, or None if the listing is older than the copy.
        """
        if listing.as_of < self.as_of:
            return None
        before = self.objects
        is_restored = self.as_of.revision > 0 and listing.as_of.era > self.as_of.era
        objects = {
            name: stored for name, stored in listing.objects.items() if not stored.is_being_deleted
        }
        newest = max((stored.revision for stored in listing.objects.values()), default=0)
        last_change = StoreVersion(listing.as_of.era, newest)
        if listing.last_change is not None:
            last_change = max(last_change, listing.last_change)
        elif not is_restored and any(name not in objects for name in self.proven):
            last_change = max(last_change, listing.as_of)  # the removals are no later
        self._prove(listing.as_of, objects, last_change, began_s)
        return self._change_from(before, is_full_listing=True, is_restored=is_restored)

    def apply_events(self, result: WatchResult, began_s: float = -math.inf) -> ReplicaChange | None:
        """Apply the events of a linearizable read that began at `began_s`.

        Return the change, or None if the events end before the copy. Several reads may return the
        same events; an object that is known is not written again.
        """
        if result.as_of < self.as_of:
            return None
        before, objects = self.objects, dict(self.proven)
        last_change = self.last_proven_change
        for event in result.events:
            version = StoreVersion(result.as_of.era, event.stored.revision)
            if _is_removal(event) and event.stored.name not in objects:
                continue  # known from another read
            if _is_removal(event) and version <= self.as_of:
                version = result.as_of  # the event has the revision of the last write
            last_change = max(last_change, version)
            _apply(objects, event)
        self._prove(result.as_of, objects, last_change, began_s)
        return self._change_from(before)

    def apply_hints(
        self, events: Iterable[WatchEvent], era: int, received_s: float
    ) -> ReplicaChange:
        """Apply changes from a source that proves nothing, and return the change."""
        before = self.objects
        known = {hint.identity for hint in self._hints}
        for event in events:
            hint = Hint(event, StoreVersion(era, event.stored.revision), received_s)
            if hint.identity not in known and self._is_news(hint):
                known.add(hint.identity)
                self._hints.append(hint)
        self._hints.sort(key=lambda hint: hint.version)
        size = sum(len(hint.event.stored.content) for hint in self._hints)
        if len(self._hints) > MAX_HINTS or size > MAX_HINTS_BYTES:
            self._hints = list({hint.name: hint for hint in self._hints}.values())
        return self._change_from(before)

    def adopt(self, proof: CopyProof, began_s: float) -> ReplicaChange | None:
        """Take over the proof of a peer whose read of the store began at `began_s`.

        Return the change, or None if this copy does not have what the peer has proven. Eras give
        the same revisions to different objects, so only a proof of the same era is compared.
        """
        if proof.version.era != self.as_of.era or not self.as_of.revision:
            return None
        before = self.objects
        for hints in ([hint for hint in self._hints if hint.version <= proof.version], []):
            if self._fingerprint_with(hints) != proof.fingerprint:
                continue
            last_change = max([self.last_proven_change, *(hint.version for hint in hints)])
            if any(hint.version <= self.as_of for hint in hints):
                last_change = max(last_change, proof.version)  # a removal, as in `apply_events`
            objects = _overlay(self.proven, hints) if hints else self.proven
            self._prove(proof.version, objects, last_change, began_s)
            return self._change_from(before)
        return None

    def drop_hints(self, before_s: float) -> ReplicaChange:
        """Drop the hints received before a time at which the copy reflected the store."""
        before = self.objects
        self._hints = [hint for hint in self._hints if hint.received_s >= before_s]
        return self._change_from(before)

    def hints_in(self, listing: Listing) -> tuple[WatchEvent, ...]:
        """Return the changes that a listing has beyond this copy, if it proves nothing.

        An object that it lacks is taken as removed if the listing has a later change.
        """
        is_first = not self.as_of.revision
        if listing.as_of.era != self.as_of.era and not is_first:
            return ()
        written = tuple(
            WatchEvent(stored, is_removed=False)
            for stored in listing.objects.values()
            if is_first or stored.revision > self.as_of.revision
        )
        if listing.last_change is None or listing.last_change <= self.as_of:
            return written
        missing = [stored for name, stored in self.proven.items() if name not in listing.objects]
        return (*written, *(WatchEvent(stored, is_removed=True) for stored in missing))

    def _is_news(self, hint: Hint) -> bool:
        known = self.proven.get(hint.name)
        if hint.version > self.as_of:
            return known is None or known.revision <= hint.event.stored.revision
        return self._is_removal_of_known(hint)

    def _is_removal_of_known(self, hint: Hint) -> bool:
        """Return whether a hint may be a later removal that has the revision of the last write."""
        known = self.proven.get(hint.name)
        is_same = known is not None and known.revision == hint.event.stored.revision
        return is_same and _is_removal(hint.event) and hint.version.era == self.as_of.era

    def _prove(
        self,
        version: StoreVersion,
        objects: dict[str, StoredObject],
        last_change: StoreVersion,
        began_s: float,
    ) -> None:
        self.as_of = version
        self.last_proven_change = max(self.last_proven_change, last_change)
        if objects is not self.proven and objects != self.proven:
            self.proven = objects
            self._fingerprint = _fingerprint(objects.values())
        self._hints = [
            hint
            for hint in self._hints
            if hint.received_s >= began_s
            and (hint.version > version or self._is_removal_of_known(hint))
        ]

    def _fingerprint_with(self, hints: Iterable[Hint]) -> int:
        """Return the fingerprint of the proven objects with some hints."""
        changed = {hint.name: hint for hint in hints}  # the last of each object
        replaced = [self.proven[name] for name in changed if name in self.proven]
        written = [hint.event.stored for hint in changed.values() if not _is_removal(hint.event)]
        return self._fingerprint ^ _fingerprint(replaced) ^ _fingerprint(written)

    def _change_from(
        self,
        before: Mapping[str, StoredObject],
        *,
        is_full_listing: bool = False,
        is_restored: bool = False,
    ) -> ReplicaChange:
        after = self.objects
        written = tuple(
            stored
            for name, stored in after.items()
            if (known := before.get(name)) is not stored and known != stored
        )
        removed = tuple(name for name in before if name not in after)
        return ReplicaChange(written, removed, is_full_listing, is_restored)


def _overlay(objects: Mapping[str, StoredObject], hints: Iterable[Hint]) -> dict[str, StoredObject]:
    overlaid = dict(objects)
    for hint in hints:
        _apply(overlaid, hint.event)
    return overlaid


def _apply(objects: dict[str, StoredObject], event: WatchEvent) -> None:
    if _is_removal(event):
        objects.pop(event.stored.name, None)
    else:
        objects[event.stored.name] = event.stored


def _is_removal(event: WatchEvent) -> bool:
    return event.is_removed or event.stored.is_being_deleted


def _fingerprint(objects: Iterable[StoredObject]) -> int:
    """Return 64 bits that tell which objects there are, each at which revision."""
    combined = 0
    for stored in objects:
        name = stored.name.encode("utf-8", "surrogatepass")  # names of other writers
        combined ^= xxhash.xxh64_intdigest(b"%d %b" % (stored.revision, name))
    return combined
