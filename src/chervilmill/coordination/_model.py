"""Interfaces of the platform and the values they exchange."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from chervilmill.addresses import Address

MAX_VALUE_BYTES = 1024**2


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store.

    Versions come from one counter for the whole store, so they order all writes.
    """

    kind: str
    name: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class WatchResult:
    """The result of a watch: changed objects and names of deleted ones.

    `version` is the version up to which the result is complete.
    """

    version: int
    changed: tuple[StoredObject, ...]
    deleted: tuple[str, ...]


class ObjectStore(Protocol):
    """Read and conditional write access to the objects of the platform.

    Reads raise StoreUnavailableError. Writes raise StoreUnavailableError, VersionConflictError or
    WriteUnsureError.
    """

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        ...

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, ordered by name."""
        ...

    def create(self, kind: str, name: str, value: bytes) -> int:
        """Create an object that must not exist yet and return its version."""
        ...

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace an object that must have the given version and return its new version."""
        ...

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version."""
        ...

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        """Wait up to the timeout for changes of a kind after a version and return them."""
        ...


class VmRole(Enum):
    """The role of a VM."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(Enum):
    """Whether a VM stays or is leaving."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    `service` is empty for an entry VM. `nodes` is the address for node-to-node traffic of an entry
    VM and None for a target.
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
    """Read access to the platform's list of VMs, which lags behind their actual state."""

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs, ordered by name, or raise StoreUnavailableError."""
        ...
