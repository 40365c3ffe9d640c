"""Keep the configuration that is in force at this node.

All configuration objects are of one store kind, so that one watch sees every change. They are
replaced and never deleted, so a snapshot can only grow newer.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

from chervilmill.platform._errors import PlatformError
from chervilmill.platform._model import ObjectStore, StoredObject

CONFIGURATION_KIND = "configuration"
WATCH_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.5


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


class ConfigurationWatch:
    """Feed a HeldConfiguration from a watch of the store."""

    def __init__(self, store: ObjectStore, held: HeldConfiguration) -> None:
        self._store = store
        self._held = held
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="configuration", daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching after the present call."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            after = self._held.snapshot().revision
            try:
                seen = self._store.watch(CONFIGURATION_KIND, after, WATCH_TIMEOUT_S)
            except PlatformError:
                self._stopped.wait(RETRY_INTERVAL_S)
                continue
            self._held.receive(seen.changed)
