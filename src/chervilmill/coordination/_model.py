"""Define the interfaces of the platform and the values that cross them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from chervilmill.addresses import Address

MAX_VALUE_BYTES = 1024**2


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object of the store.

    Versions are drawn from one counter of the whole store, so they order all writes.
    """

    kind: str
    name: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Hold what a watch saw: changed objects, deleted names, and the version it reaches."""

    version: int
    changed: tuple[StoredObject, ...]
    deleted: tuple[str, ...]


class ObjectStore(Protocol):
    """Read and conditionally write the objects of the platform.

    Reads raise StoreUnavailableError. Writes raise that, VersionConflictError or WriteUnsureError.
    """

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        ...

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, ordered by name."""
        ...

    def create(self, kind: str, name: str, value: bytes) -> int:
        """Create an object that must not exist and return its version."""
        ...

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace an object that must have the given version and return the new version."""
        ...

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version."""
        ...

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        """Wait for changes of a kind after a version, at most for the timeout."""
        ...


class VmRole(Enum):
    """Say what a VM is for."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(Enum):
    """Say whether a VM stays or is about to go."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """Describe one VM of the platform's list.

    `service` is empty for an entry VM; `nodes` is its node-to-node address and None for a target.
    """

    name: str
    role: VmRole
    state: VmState
    service: str
    region: str
    failure_domain: str
    address: Address
    nodes: Address | None = None


class VmList(Protocol):
    """Read the platform's list of VMs, which lags behind the truth."""

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs, ordered by name, or raise StoreUnavailableError."""
        ...
