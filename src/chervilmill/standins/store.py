"""In-memory implementation of the platform's object store and VM list."""

import threading
import time
from collections import Counter
from collections.abc import Callable

from chervilmill.coordination import (
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
    Vm,
    WatchResult,
    WriteUnsureError,
)

PEER = "memory store"


class MemoryStore:
    """An in-memory ObjectStore and VmList that injects faults and counts calls.

    - `lose_replies`: number of next writes that take effect and then raise WriteUnsureError;
    - `fail_calls`: number of next calls that raise StoreUnavailableError;
    - `is_down`: every call raises StoreUnavailableError;
    - `delay_s`: delay of every call;
    - `vm_lag_s`: `vms` returns the VM list as it was that many seconds ago.

    A waiting watch counts as one call.
    """

    def __init__(self) -> None:
        self.calls_by_step: Counter[str] = Counter()
        self.is_down = False
        self.fail_calls = 0
        self.vm_lag_s = 0.0
        self.delay_s = 0.0
        self.lose_replies = 0
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._deleted: dict[tuple[str, str], int] = {}
        self._vms: dict[str, Vm] = {}
        self._vm_snapshots: list[tuple[float, dict[str, Vm]]] = []
        self._version = 0
        self._is_closed = False
        self._changed = threading.Condition()

    @property
    def calls(self) -> int:
        """Return the total number of calls."""
        return self.calls_by_step.total()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it doesn't exist."""
        self._start_call("get object")
        with self._changed:
            return self._objects.get((kind, name))

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, ordered by name."""
        self._start_call("list objects")
        with self._changed:
            return tuple(self._objects[key] for key in sorted(self._objects) if key[0] == kind)

    def create(self, kind: str, name: str, value: bytes) -> int:
        """Create an object and return its version; raise VersionConflictError if it exists."""
        self._start_call("create object")
        return self._write("create object", kind, name, value, None)

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace an object that must have the given version and return its new version."""
        self._start_call("update object")
        return self._write("update object", kind, name, value, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version."""
        self._start_call("delete object")
        self._write("delete object", kind, name, None, version)

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        """Return the changes of a kind after a version, waiting for one until the timeout."""
        self._start_call("watch objects")
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_closed or self._has_changes(kind, after_version), timeout_s
            )
            return self._changes_after(kind, after_version)

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs, ordered by name."""
        self._start_call("list VMs")
        with self._changed:
            vms = self._visible_vms()
            return tuple(vms[name] for name in sorted(vms))

    def close(self) -> None:
        """End every waiting watch."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def put_vm(self, vm: Vm) -> None:
        """Add a VM to the list, or replace the VM of that name."""
        with self._changed:
            self._save_vm_snapshot()
            self._vms[vm.name] = vm

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the list."""
        with self._changed:
            self._save_vm_snapshot()
            self._vms.pop(name, None)

    def _save_vm_snapshot(self) -> None:
        if self.vm_lag_s:
            self._vm_snapshots.append((time.monotonic(), dict(self._vms)))

    def _visible_vms(self) -> dict[str, Vm]:
        visible_s = time.monotonic() - self.vm_lag_s
        self._vm_snapshots = [
            snapshot for snapshot in self._vm_snapshots if snapshot[0] > visible_s
        ]
        return self._vm_snapshots[0][1] if self._vm_snapshots else self._vms

    def _start_call(self, step: str) -> None:
        with self._changed:
            self.calls_by_step[step] += 1
            must_fail = self.fail_calls > 0
            self.fail_calls -= int(must_fail)
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.is_down or must_fail:
            raise StoreUnavailableError("store is down", step=step, peer=PEER)

    def _write(
        self, step: str, kind: str, name: str, value: bytes | None, expected: int | None
    ) -> int:
        key = (kind, name)
        with self._changed:
            stored = self._objects.get(key)
            if (None if stored is None else stored.version) != expected:
                message = f"{kind}/{name} does not have the expected version"
                raise VersionConflictError(message, step=step, peer=PEER)
            self._version += 1
            if value is None:
                del self._objects[key]
                self._deleted[key] = self._version
            else:
                self._objects[key] = StoredObject(kind, name, self._version, value)
                self._deleted.pop(key, None)
            self._changed.notify_all()
            version = self._version
            loses_reply = self.lose_replies > 0
            self.lose_replies -= int(loses_reply)
        if loses_reply:
            raise WriteUnsureError("reply lost", step=step, peer=PEER)
        return version

    def _has_changes(self, kind: str, after_version: int) -> bool:
        changes = self._changes_after(kind, after_version)
        return bool(changes.changed or changes.deleted)

    def _changes_after(self, kind: str, after_version: int) -> WatchResult:
        changed = tuple(
            stored
            for key, stored in sorted(self._objects.items())
            if key[0] == kind and stored.version > after_version
        )
        deleted = tuple(
            key[1]
            for key, version in sorted(self._deleted.items())
            if key[0] == kind and version > after_version
        )
        return WatchResult(self._version, changed, deleted)


def retry_until(check: Callable[[], bool], timeout_s: float, interval_s: float = 0.02) -> bool:
    """Repeat a check until it returns True; return whether it did so within the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if check():
            return True
        time.sleep(interval_s)
    return check()
