"""Local copies of the store's objects, each as of a version of the store."""

from collections.abc import Mapping
from dataclasses import dataclass

from chervilmill.platform import Listing, StoredObject, StoreVersion, WatchResult


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


class KindReplica:
    """A copy of all objects of one kind; an older state never replaces a newer state.

    `as_of` is the version of the store that the copy reflects. `last_change` is the version of the
    last change known, by which VMs compare their copies.
    """

    __slots__ = ("as_of", "kind", "last_change", "objects")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.objects: dict[str, StoredObject] = {}
        self.as_of = StoreVersion()
        self.last_change = StoreVersion()

    @property
    def known_version(self) -> StoreVersion:
        """Return the version up to which every change is known.

        A listing shows no removals, so its own version may be above that of the last known change.
        """
        return max(self.as_of, self.last_change)

    def apply_listing(self, listing: Listing) -> ReplicaChange | None:
        """Replace the copy and return the change, or None if the listing is older than the copy."""
        if listing.as_of < self.as_of:
            return None
        is_restored = self.as_of.revision > 0 and listing.as_of.era > self.as_of.era
        self.as_of = listing.as_of
        written, removed = _difference(self.objects, listing.objects)
        self.objects = dict(listing.objects)
        newest = max((stored.revision for stored in listing.objects.values()), default=0)
        self._record_change(newest)
        if listing.last_change is not None:
            self.last_change = max(self.last_change, listing.last_change)
        elif removed and not is_restored:
            self.last_change = max(self.last_change, listing.as_of)  # the removals are no later
        return ReplicaChange(written, removed, is_full_listing=True, is_restored=is_restored)

    def apply_events(self, result: WatchResult) -> ReplicaChange | None:
        """Apply events and return the change, or None if the events end before the copy.

        Several reads may return the same events; an object that is known is not written again.
        """
        if result.as_of < self.as_of:
            return None
        self.as_of = result.as_of
        written: dict[str, StoredObject] = {}
        removed: dict[str, None] = {}
        before = dict(self.objects)
        for event in result.events:
            name = event.stored.name
            self._record_change(event.stored.revision)
            if event.is_removed or event.stored.is_being_deleted:
                self.objects.pop(name, None)
                written.pop(name, None)
                removed[name] = None
            else:
                self.objects[name] = event.stored
                removed.pop(name, None)
                written[name] = event.stored
        new = tuple(stored for name, stored in written.items() if before.get(name) != stored)
        return ReplicaChange(new, tuple(removed), is_full_listing=False)

    def _record_change(self, revision: int) -> None:
        self.last_change = max(self.last_change, StoreVersion(self.as_of.era, revision))


def _difference(
    old: Mapping[str, StoredObject], new: Mapping[str, StoredObject]
) -> tuple[tuple[StoredObject, ...], tuple[str, ...]]:
    written = tuple(stored for name, stored in new.items() if old.get(name) != stored)
    return written, tuple(name for name in old if name not in new)
