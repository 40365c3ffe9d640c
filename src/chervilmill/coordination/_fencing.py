"""Write objects that only the holder of a lease may change, protected by fencing epochs."""

from dataclasses import dataclass

import cbor2

from chervilmill.coordination._errors import PlatformError, VersionConflictError, WriteUnsureError
from chervilmill.coordination._lease import Lease
from chervilmill.coordination._model import ObjectStore, StoredObject

MAX_ATTEMPTS = 4


class StaleEpochError(PlatformError):
    """The write was refused, because the lease was lost or a later holder governs the object."""


class MalformedObjectError(PlatformError):
    """A stored object does not have the form of a fenced object."""


@dataclass(frozen=True, slots=True)
class FencedValue:
    """A body with the fencing epoch of the holder that wrote it."""

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
        raise _malformed_error(stored) from exc
    if not isinstance(epoch, int) or not isinstance(body, bytes):
        raise _malformed_error(stored)
    return FencedValue(epoch, body)


class FencedObject:
    """An object that is changed only under a lease.

    `take_over` must be called first after each acquisition. It writes the new fencing epoch into
    the object. A write of an earlier holder is conditional on the version before and can then no
    longer be applied. The body of a new object is empty until the first write.
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
        """Return the version that this holder last took over or wrote."""
        return self._version

    def read(self) -> bytes:
        """Return the body that this holder last took over or wrote."""
        return self._body

    def take_over(self) -> bytes:
        """Write the lease's fencing epoch into the object and return its body.

        Raise StaleEpochError if this node doesn't hold the lease or a later holder has taken the
        object over. Raise WriteUnsureError or StoreUnavailableError if the outcome is unknown or
        the store can't be reached; the call may then be repeated.
        """
        epoch = self._lease.epoch
        if not self._lease.is_held:
            raise self._stale_epoch_error("take over", epoch, "lease not held")
        for _attempt in range(MAX_ATTEMPTS):
            stored = self._store.get(self._kind, self._name)
            found = FencedValue(0, b"") if stored is None else decode_fenced(stored)
            if found.epoch > epoch:
                raise self._stale_epoch_error("take over", epoch, f"{found.epoch} in the store")
            if stored is not None and found.epoch == epoch:
                return self._set_current(epoch, stored.version, found.body)
            version = self._try_write(FencedValue(epoch, found.body), stored)
            if version is not None:
                return self._set_current(epoch, version, found.body)
        raise self._unsure_error("take over")

    def write(self, body: bytes) -> int:
        """Replace the body and return the new version; raise the same errors as `take_over`.

        A later holder keeps the body that it finds. A write without a reply may therefore be in
        force although a later holder has taken the object over.
        """
        if not self._lease.is_held or self._lease.epoch != self._epoch:
            raise self._stale_epoch_error("write", self._epoch, "lease lapsed or acquired anew")
        unsure: WriteUnsureError | None = None
        for _attempt in range(MAX_ATTEMPTS):
            value = encode_fenced(FencedValue(self._epoch, body))
            try:
                version = self._store.update(self._kind, self._name, value, self._version)
                self._set_current(self._epoch, version, body)
                return version
            except VersionConflictError:
                pass
            except WriteUnsureError as exc:
                unsure = exc
            try:
                if self._reread().body == body:
                    return self._version
            except StaleEpochError as exc:
                if unsure is not None:
                    raise unsure from exc
                raise
        raise self._unsure_error("write")

    def _reread(self) -> FencedValue:
        """Record the stored version and body if they carry this holder's fencing epoch."""
        stored = self._store.get(self._kind, self._name)
        found = FencedValue(0, b"") if stored is None else decode_fenced(stored)
        if stored is None or found.epoch != self._epoch:
            raise self._stale_epoch_error("write", self._epoch, f"{found.epoch} in the store")
        self._set_current(found.epoch, stored.version, found.body)
        return found

    def _try_write(self, fenced: FencedValue, stored: StoredObject | None) -> int | None:
        if stored is not None:
            return self._try_update(fenced, stored.version)
        try:
            return self._store.create(self._kind, self._name, encode_fenced(fenced))
        except (VersionConflictError, WriteUnsureError):
            return None

    def _try_update(self, fenced: FencedValue, version: int) -> int | None:
        """Return the new version, or None if the object must be read again."""
        try:
            return self._store.update(self._kind, self._name, encode_fenced(fenced), version)
        except (VersionConflictError, WriteUnsureError):
            return None

    def _set_current(self, epoch: int, version: int, body: bytes) -> bytes:
        self._epoch = epoch
        self._version = version
        self._body = body
        return body

    def _stale_epoch_error(self, step: str, epoch: int, found: str) -> StaleEpochError:
        message = f"{self._kind}/{self._name}: expected fencing epoch {epoch}, found {found}"
        return StaleEpochError(message, step=step, peer=self._lease.name)

    def _unsure_error(self, step: str) -> WriteUnsureError:
        message = f"expected a confirmed write, found none after {MAX_ATTEMPTS} attempts"
        return WriteUnsureError(message, step=step, peer=f"{self._kind}/{self._name}")


def _malformed_error(stored: StoredObject) -> MalformedObjectError:
    name = f"{stored.kind}/{stored.name}"
    message = f"expected CBOR of [epoch, body], found {len(stored.value)} bytes of another form"
    return MalformedObjectError(message, step="decode", peer=name)
