"""Present a shared store to each region over that region's link to the store."""

import time
from collections.abc import Callable

from chervilmill.coordination import StoredObject, StoreUnavailableError, Vm, WatchResult
from chervilmill.standins.store import MemoryStore

PARTITION_TIMEOUT_S = 1.2
VmTranslation = Callable[[Vm], Vm]


class RegionView(MemoryStore):
    """A region's access to a shared store, over a link that has a delay and can be partitioned.

    The VM list contains VMs of other regions with the addresses of the relay that leads to them.
    """

    def __init__(self, shared: MemoryStore, round_trip_s: float, translate: VmTranslation) -> None:
        super().__init__()
        self._shared = shared
        self._round_trip_s = round_trip_s
        self._translate = translate
        self.is_partitioned = False
        self._is_vm_list_frozen = False
        self._last_vms: tuple[Vm, ...] = ()

    def freeze_vm_list(self) -> None:
        """Keep returning the list of VMs that was read last, and ignore later changes."""
        self._is_vm_list_frozen = bool(self._last_vms)

    def unfreeze_vm_list(self) -> None:
        """Return the current list of VMs again."""
        self._is_vm_list_frozen = False

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        self._cross_link("get object")
        return self._shared.get(kind, name)

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, ordered by name."""
        self._cross_link("list objects")
        return self._shared.list(kind)

    def create(self, kind: str, name: str, value: bytes) -> int:
        """Create an object that must not exist and return its version."""
        self._cross_link("create object")
        return self._shared.create(kind, name, value)

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace an object that must have the given version and return the new version."""
        self._cross_link("update object")
        return self._shared.update(kind, name, value, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version."""
        self._cross_link("delete object")
        self._shared.delete(kind, name, version)

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        """Wait for changes of a kind after a version, at most for the timeout."""
        self._cross_link("watch objects")
        result = self._shared.watch(kind, after_version, timeout_s)
        if self.is_partitioned:
            raise StoreUnavailableError("link partitioned", step="watch objects", peer="platform")
        return result

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs with the addresses at which this region reaches them."""
        self._cross_link("list VMs")
        vms = self._shared.vms()
        if not self._is_vm_list_frozen:
            self._last_vms = tuple(self._translate(vm) for vm in vms)
        return self._last_vms

    def _cross_link(self, step: str) -> None:
        if self.is_partitioned:
            time.sleep(PARTITION_TIMEOUT_S)
            raise StoreUnavailableError("link partitioned", step=step, peer="platform")
        time.sleep(self._round_trip_s)
