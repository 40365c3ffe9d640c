"""Show one store to each region as that region reaches it."""

import time
from collections.abc import Callable

from chervilmill.coordination import StoredObject, StoreUnavailableError, Vm, WatchResult
from chervilmill.standins.store import MemoryStore

PARTED_WAIT_S = 1.2
SeenFromRegion = Callable[[Vm], Vm]


class RegionView(MemoryStore):
    """Pass calls to a shared store over a link with a delay that can be parted.

    The VM list shows far VMs at the address of the relay that leads to them.
    """

    def __init__(self, shared: MemoryStore, round_trip_s: float, seen: SeenFromRegion) -> None:
        super().__init__()
        self._shared = shared
        self._round_trip_s = round_trip_s
        self._seen = seen
        self.is_parted = False
        self._is_stale = False
        self._last_vms: tuple[Vm, ...] = ()

    def stop_vm_list(self) -> None:
        """Go on showing the list of VMs that was read last, whatever changes."""
        self._is_stale = bool(self._last_vms)

    def resume_vm_list(self) -> None:
        """Show the true list of VMs again."""
        self._is_stale = False

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        self._cross("get object")
        return self._shared.get(kind, name)

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, ordered by name."""
        self._cross("list objects")
        return self._shared.list(kind)

    def create(self, kind: str, name: str, value: bytes) -> int:
        """Create an object that must not exist and return its version."""
        self._cross("create object")
        return self._shared.create(kind, name, value)

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace an object that must have the given version and return the new version."""
        self._cross("update object")
        return self._shared.update(kind, name, value, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version."""
        self._cross("delete object")
        self._shared.delete(kind, name, version)

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        """Wait for changes of a kind after a version, at most for the timeout."""
        self._cross("watch objects")
        seen = self._shared.watch(kind, after_version, timeout_s)
        if self.is_parted:
            raise StoreUnavailableError("link parted", step="watch objects", peer="platform")
        return seen

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs as this region reaches them."""
        self._cross("list VMs")
        vms = self._shared.vms()
        if not self._is_stale:
            self._last_vms = tuple(self._seen(vm) for vm in vms)
        return self._last_vms

    def _cross(self, step: str) -> None:
        if self.is_parted:
            time.sleep(PARTED_WAIT_S)
            raise StoreUnavailableError("link parted", step=step, peer="platform")
        time.sleep(self._round_trip_s)
