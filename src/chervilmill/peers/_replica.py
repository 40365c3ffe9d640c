"""Local copies of the store's objects, each as of a revision of the store."""

from collections.abc import Mapping
from dataclasses import dataclass

from chervilmill.platform import Listing, StoredObject, WatchResult


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """The objects written and the names removed when a copy applies a listing or events.

    With `is_full_listing`, an object that is removed was only missing from the listing; no event
    reported its removal.
    """

    written: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    is_full_listing: bool


class KindReplica:
    """A copy of all objects of one kind; an older state never replaces a newer state.

    `as_of` is the store revision that the copy reflects. `last_change_revision` is the revision of
    the last change known, by which VMs compare their copies.
    """

    __slots__ = ("as_of", "last_change_revision", "kind", "objects")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.objects: dict[str, StoredObject] = {}
        self.as_of = 0
        self.last_change_revision = 0

    @property
    def known_revision(self) -> int:
        """Return the revision up to which every change is known.

        A listing shows no removals, so its own revision may be above that of the last known change.
        """
        return max(self.as_of, self.last_change_revision)

    def apply_listing(self, listing: Listing) -> ReplicaChange | None:
        """Replace the copy and return the change, or None if the listing is older than the copy."""
        if listing.as_of < self.as_of:
            return None
        self.as_of = listing.as_of
        written, removed = _difference(self.objects, listing.objects)
        self.objects = dict(listing.objects)
        newest = max((stored.revision for stored in listing.objects.values()), default=0)
        self.last_change_revision = max(self.last_change_revision, newest)
        return ReplicaChange(written, removed, is_full_listing=True)

    def apply_events(self, result: WatchResult) -> ReplicaChange | None:
        """Apply events and return the change, or None if the events end before the copy."""
        if result.as_of < self.as_of:
            return None
        self.as_of = result.as_of
        written: dict[str, StoredObject] = {}
        removed: dict[str, None] = {}
        for event in result.events:
            name = event.stored.name
            self.last_change_revision = max(self.last_change_revision, event.stored.revision)
            if event.is_removed or event.stored.is_being_deleted:
                self.objects.pop(name, None)
                written.pop(name, None)
                removed[name] = None
            else:
                self.objects[name] = event.stored
                removed.pop(name, None)
                written[name] = event.stored
        return ReplicaChange(tuple(written.values()), tuple(removed), is_full_listing=False)


def _difference(
    old: Mapping[str, StoredObject], new: Mapping[str, StoredObject]
) -> tuple[tuple[StoredObject, ...], tuple[str, ...]]:
    written = tuple(stored for name, stored in new.items() if old.get(name) != stored)
    return written, tuple(name for name in old if name not in new)
