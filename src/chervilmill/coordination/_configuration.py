"""Keep the configuration that is in force at this node.

All configuration objects are of one store kind, so that one watch sees every change. They are
replaced and never deleted, so a snapshot can only grow newer.
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
    """Hold the newest known object of each name and the highest version among them."""

    revision: int
    objects: Mapping[str, StoredObject]

    def under(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose name begins with a prefix, ordered by name."""
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return tuple(self.objects[name] for name in names)


EMPTY_CONFIGURATION = ConfigurationSnapshot(0, MappingProxyType({}))

ConfigurationListener = Callable[[ConfigurationSnapshot], None]


class Configuration(Protocol):
    """Know the configuration in force at this node."""

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the newest snapshot."""
        ...

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call a listener now and after every change, from one thread at a time."""
        ...


def merge_objects(
    snapshot: ConfigurationSnapshot, received: Iterable[StoredObject]
) -> ConfigurationSnapshot:
    """Return a snapshot with every received object that is newer than the one held."""
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


class HeldConfiguration:
    """Hold the newest snapshot and tell listeners about changes."""

    def __init__(self) -> None:
        self._snapshot = EMPTY_CONFIGURATION
        self._listeners: list[ConfigurationListener] = []
        self._lock = threading.Lock()

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the newest snapshot."""
        return self._snapshot

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call a listener now and after every change, from one thread at a time."""
        with self._lock:
            self._listeners.append(listener)
            listener(self._snapshot)

    def receive(self, received: Iterable[StoredObject]) -> bool:
        """Merge received objects and return whether anything was newer."""
        with self._lock:
            merged = merge_objects(self._snapshot, received)
            if merged is self._snapshot:
                return False
            self._snapshot = merged
            for listener in self._listeners:
                listener(merged)
            return True
