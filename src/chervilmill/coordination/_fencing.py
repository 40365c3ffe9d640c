"""Write objects that only the holder of a lease may change."""

from dataclasses import dataclass

import cbor2

from chervilmill.coordination._errors import PlatformError, VersionConflictError, WriteUnsureError
from chervilmill.coordination._lease import Lease
from chervilmill.coordination._model import ObjectStore, StoredObject

MAX_ATTEMPTS = 4


class FencedOffError(PlatformError):
    """Report that a later holder governs the object, so that the write was not applied."""


class MalformedObjectError(PlatformError):
    """Report an object whose stored form is not that of a fenced object."""


@dataclass(frozen=True, slots=True)
class FencedValue:
    """Hold a body and the epoch of the holder that wrote it."""

    epoch: int
    body: bytes


def encode_fenced(fenced: FencedValue) -> bytes:
    """Return the stored form of a fenced value."""
    encoded: bytes = cbor2.dumps([fenced.epoch, fenced.body])
    return encoded


def decode_fenced(stored: StoredObject) -> FencedValue:
    """Return the fenced value of a stored object, or raise MalformedObjectError."""
    try:
        epoch, body = cbor2.loads(stored.value)
    except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
        raise _malformed(stored) from exc
    if not isinstance(epoch, int) or not isinstance(body, bytes):
        raise _malformed(stored)
    return FencedValue(epoch, body)


class FencedObject:
    """Change one object under a lease.

    `take_over` comes first after each acquisition. It writes the new epoch, so that a write of an
    earlier holder, which is conditional on the version before, can no longer be applied. Its body
    is empty until the first write.
    """

    def __init__(self, store: ObjectStore, kind: str, name: str, lease: Lease) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._lease = lease
        self._epoch = 0
        self._version = 0
        self._body = b""

    @property
    def version(self) -> int:
        """Return the version last written or stamped by this holder."""
        return self._version

    def read(self) -> bytes:
        """Return the body as this holder took it over or last wrote it."""
        return self._body

    def take_over(self) -> bytes:
        """Stamp the lease's epoch on the object and return its body.

        Raise FencedOffError where a later holder has done so, WriteUnsureError or
        StoreUnavailableError where the store gives no answer; it may then be called again.
        """
        epoch = self._lease.epoch
        if not self._lease.is_held:
            raise self._fenced_off("take over", epoch)
        for _attempt in range(MAX_ATTEMPTS):
            stored = self._store.get(self._kind, self._name)
            found = FencedValue(0, b"") if stored is None else decode_fenced(stored)
            if found.epoch > epoch:
                raise self._fenced_off("take over", found.epoch)
            if stored is not None and found.epoch == epoch:
                return self._adopt(epoch, stored.version, found.body)
            version = self._try_write(FencedValue(epoch, found.body), stored)
            if version is not None:
                return self._adopt(epoch, version, found.body)
        raise self._unsure("take over")

    def write(self, body: bytes) -> int:
        """Replace the body and return the new version, or raise as `take_over` does."""
        if not self._lease.is_held or self._lease.epoch != self._epoch:
            raise self._fenced_off("write", self._lease.epoch)
        for _attempt in range(MAX_ATTEMPTS):
            fenced = FencedValue(self._epoch, body)
            version = self._try_update(fenced, self._version)
            if version is not None:
                self._adopt(self._epoch, version, body)
                return version
            if self._reread().body == body:
                return self._version
        raise self._unsure("write")

    def _reread(self) -> FencedValue:
        """Adopt what the store has under this holder's own epoch."""
        stored = self._store.get(self._kind, self._name)
        found = FencedValue(0, b"") if stored is None else decode_fenced(stored)
        if stored is None or found.epoch != self._epoch:
            raise self._fenced_off("write", found.epoch)
        self._adopt(found.epoch, stored.version, found.body)
        return found

    def _try_write(self, fenced: FencedValue, stored: StoredObject | None) -> int | None:
        if stored is not None:
            return self._try_update(fenced, stored.version)
        try:
            return self._store.create(self._kind, self._name, encode_fenced(fenced))
        except (VersionConflictError, WriteUnsureError):
            return None

    def _try_update(self, fenced: FencedValue, version: int) -> int | None:
        """Return the new version, or None if the object has to be read again."""
        try:
            return self._store.update(self._kind, self._name, encode_fenced(fenced), version)
        except (VersionConflictError, WriteUnsureError):
            return None

    def _adopt(self, epoch: int, version: int, body: bytes) -> bytes:
        self._epoch = epoch
        self._version = version
        self._body = body
        return body

    def _fenced_off(self, step: str, epoch: int) -> FencedOffError:
        message = f"{self._kind}/{self._name} is governed by epoch {epoch}"
        return FencedOffError(message, step=step, peer=self._lease.name)

    def _unsure(self, step: str) -> WriteUnsureError:
        message = f"no reply after {MAX_ATTEMPTS} attempts"
        return WriteUnsureError(message, step=step, peer=f"{self._kind}/{self._name}")


def _malformed(stored: StoredObject) -> MalformedObjectError:
    name = f"{stored.kind}/{stored.name}"
    return MalformedObjectError("not a fenced object", step="decode", peer=name)
