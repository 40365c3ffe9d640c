"""Keep objects and VMs in memory as the platform would."""

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
    """Implement ObjectStore and VmList in memory, with faults and counted calls.

    `lose_replies` makes that many next writes raise WriteUnsureError after they took effect,
    `fail_calls` that many next calls raise StoreUnavailableError, `delay_s` slows every call and
    `vm_lag_s` shows the list of VMs as it was then. A waiting watch counts as one call.
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
        self._past_vms: list[tuple[float, dict[str, Vm]]] = []
        self._version = 0
        self._is_closed = False
        self._changed = threading.Condition()

    @property
    def calls(self) -> int:
        """Return the number of calls so far."""
        return self.calls_by_step.total()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        self._begin("get object")
        with self._changed:
            return self._objects.get((kind, name))

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, ordered by name."""
        self._begin("list objects")
        with self._changed:
            return tuple(self._objects[key] for key in sorted(self._objects) if key[0] == kind)

    def create(self, kind: str, name: str, value: bytes) -> int:
        """Create an object that must not exist and return its version."""
        self._begin("create object")
        return self._write("create object", kind, name, value, None)

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace an object that must have the given version and return the new version."""
        self._begin("update object")
        return self._write("update object", kind, name, value, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version."""
        self._begin("delete object")
        self._write("delete object", kind, name, None, version)

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        """Wait for changes of a kind after a version, at most for the timeout."""
        self._begin("watch objects")
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_closed or self._has_news(kind, after_version), timeout_s
            )
            return self._news(kind, after_version)

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs, ordered by name."""
        self._begin("list VMs")
        with self._changed:
            vms = self._shown_vms()
            return tuple(vms[name] for name in sorted(vms))

    def close(self) -> None:
        """End every waiting watch."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def put_vm(self, vm: Vm) -> None:
        """Add or replace a VM of the list."""
        with self._changed:
            self._keep_past_vms()
            self._vms[vm.name] = vm

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the list."""
        with self._changed:
            self._keep_past_vms()
            self._vms.pop(name, None)

    def _keep_past_vms(self) -> None:
        if self.vm_lag_s:
            self._past_vms.append((time.monotonic(), dict(self._vms)))

    def _shown_vms(self) -> dict[str, Vm]:
        shown_s = time.monotonic() - self.vm_lag_s
        self._past_vms = [past for past in self._past_vms if past[0] > shown_s]
        return self._past_vms[0][1] if self._past_vms else self._vms

    def _begin(self, step: str) -> None:
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
            present = self._objects.get(key)
            if (None if present is None else present.version) != expected:
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
            is_lost = self.lose_replies > 0
            self.lose_replies -= int(is_lost)
        if is_lost:
            raise WriteUnsureError("reply lost", step=step, peer=PEER)
        return version

    def _has_news(self, kind: str, after_version: int) -> bool:
        news = self._news(kind, after_version)
        return bool(news.changed or news.deleted)

    def _news(self, kind: str, after_version: int) -> WatchResult:
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
    """Return whether a check became true within the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if check():
            return True
        time.sleep(interval_s)
    return check()
