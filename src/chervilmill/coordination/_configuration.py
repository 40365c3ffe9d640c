"""Keep the configuration that is in force at this node.

All configuration objects have the same store kind, so a single watch reports every change. They are
replaced but never deleted, so a merged snapshot is never older than the one before.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

from chervilmill.coordination._model import StoredObject

CONFIGURATION_KIND = "configuration"


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The newest known object of each name and the highest version among them."""

    revision: int
    objects: Mapping[str, StoredObject]

    def with_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose names begin with a prefix, ordered by name."""
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return tuple(self.objects[name] for name in names)


EMPTY_CONFIGURATION = ConfigurationSnapshot(0, MappingProxyType({}))

ConfigurationListener = Callable[[ConfigurationSnapshot], None]


class Configuration(Protocol):
    """Read access to the configuration in force at this node."""

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the newest snapshot."""
        ...

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call a listener now and after every change, never from two threads at once."""
        ...


def merge_objects(
    snapshot: ConfigurationSnapshot, received: Iterable[StoredObject]
) -> ConfigurationSnapshot:
    """Return the snapshot updated with every received object that is newer than the known one.

    Return the same snapshot object if no received object is newer.
    """
    newer = {
        stored.name: stored
        for stored in received
        if stored.name not in snapshot.objects
        or stored.version > snapshot.objects[stored.name].version
    }
    if not newer:
        return snapshot
    objects = MappingProxyType({**snapshot.objects, **newer})
    revision = max(snapshot.revision, *(stored.version for stored in newer.values()))
    return ConfigurationSnapshot(revision, objects)


class ConfigurationCache:
    """A cache of the newest snapshot, which listeners receive after each change."""

    def __init__(self) -> None:
        self._snapshot = EMPTY_CONFIGURATION
        self._listeners: list[ConfigurationListener] = []
        self._lock = threading.Lock()

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the newest snapshot."""
        return self._snapshot

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call a listener now and after every change, never from two threads at once."""
        with self._lock:
            self._listeners.append(listener)
            listener(self._snapshot)

    def receive(self, received: Iterable[StoredObject]) -> bool:
        """Merge received objects and return whether any of them was newer."""
        with self._lock:
            merged = merge_objects(self._snapshot, received)
            if merged is self._snapshot:
                return False
            self._snapshot = merged
            for listener in self._listeners:
                listener(merged)
            return True
