"""Hold a copy of the store's objects of one kind as of a revision."""

from collections.abc import Mapping
from dataclasses import dataclass

from chervilmill.platform import Listing, StoredObject, WatchResult


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """Report objects that were written and names that were removed.

    `is_whole` says that the change comes from a list, so that what is removed was merely missing.
    """

    written: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    is_whole: bool


class KindReplica:
    """Hold the objects of one kind; an older state never replaces a newer one.

    `as_of` is the store's revision that the copy stands for, `changed_at` that of the last change
    known, by which two copies are told apart.
    """

    __slots__ = ("as_of", "changed_at", "kind", "objects")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.objects: dict[str, StoredObject] = {}
        self.as_of = 0
        self.changed_at = 0

    def take_listing(self, listing: Listing) -> ReplicaChange | None:
        """Replace the copy; returns None for a state older than the one held."""
        if listing.as_of < self.as_of:
            return None
        self.as_of = listing.as_of
        written, removed = _difference(self.objects, listing.objects)
        self.objects = dict(listing.objects)
        newest = max((one.revision for one in listing.objects.values()), default=0)
        self.changed_at = max(self.changed_at, newest)
        return ReplicaChange(written, removed, is_whole=True)

    def take_events(self, result: WatchResult) -> ReplicaChange | None:
        """Apply changes; returns None where they end before the state held."""
        if result.as_of < self.as_of:
            return None
        self.as_of = result.as_of
        written: dict[str, StoredObject] = {}
        removed: dict[str, None] = {}
        for event in result.events:
            name = event.stored.name
            self.changed_at = max(self.changed_at, event.stored.revision)
            if event.is_removed or event.stored.is_deleting:
                self.objects.pop(name, None)
                written.pop(name, None)
                removed[name] = None
            else:
                self.objects[name] = event.stored
                removed.pop(name, None)
                written[name] = event.stored
        return ReplicaChange(tuple(written.values()), tuple(removed), is_whole=False)


def _difference(
    old: Mapping[str, StoredObject], new: Mapping[str, StoredObject]
) -> tuple[tuple[StoredObject, ...], tuple[str, ...]]:
    written = tuple(one for name, one in new.items() if old.get(name) != one)
    return written, tuple(name for name in old if name not in new)
