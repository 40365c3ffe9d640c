"""The objects of the platform's store, as far as this system reads them, and changes of them."""

from dataclasses import dataclass, field

UNSTATED_ERA = 0  # of answers that state none


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """A state of the store: its era, and its revision within that era."""

    era: int = UNSTATED_ERA
    revision: int = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `content` is a JSON object with the fields that are read, empty if unusable.

    The `repr` leaves the content out, as a configuration contains keys of callers.
    """

    name: str
    revision: int
    content: bytes = field(default=b"", repr=False)
    is_being_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind as of a version of the store.

    `last_change` is the version of the last change of the kind, where it is known. Objects beyond
    the first of the `pages` may be newer than `as_of`.
    """

    objects: dict[str, StoredObject]
    as_of: StoreVersion
    last_change: StoreVersion | None = None
    pages: int = 1


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """The write or the removal of an object."""

    stored: StoredObject
    is_removed: bool


@dataclass(frozen=True, slots=True)
class WatchResult:
    """The changes since a version, and the version from which to watch next.

    `newest_revision` is that of the last change, also of those that are left out of the events.
    """

    events: tuple[WatchEvent, ...]
    as_of: StoreVersion
    newest_revision: int = 0
