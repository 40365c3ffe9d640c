"""Hold leases in the platform's store and fence the writes of their holders.

A lease says who may act; fencing makes sure of it. A holder that was paused past its lease may
still believe that it holds it, so no safety rests on the clock alone: each object that a holder
governs carries the epoch of the last holder, and every write of it is conditional on the version
that this holder stamped or wrote itself.
"""

import json
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from chervilmill.coordination._errors import (
    PlatformError,
    StoreUnavailableError,
    VersionConflictError,
    WriteUnsureError,
)
from chervilmill.coordination._model import ObjectStore

LEASE_KIND = "lease"
MARGIN_FRACTION = 0.1
NO_HOLDER = ""

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Hold what the store keeps of a lease; `nonce` differs in every write."""

    holder: str
    epoch: int
    nonce: str

    def encode(self) -> bytes:
        """Return the stored form."""
        fields = {"holder": self.holder, "epoch": self.epoch, "nonce": self.nonce}
        return json.dumps(fields).encode()


def decode_lease(value: bytes) -> LeaseRecord:
    """Return the record of a stored form, or raise ValueError or KeyError."""
    raw: dict[str, Any] = json.loads(value)
    return LeaseRecord(str(raw["holder"]), int(raw["epoch"]), str(raw["nonce"]))


@dataclass(frozen=True, slots=True)
class _Seen:
    """Hold a version of the lease and when this node first saw it, by its monotonic clock."""

    version: int
    at_s: float
    record: LeaseRecord


@dataclass(frozen=True, slots=True)
class _Pending:
    """Hold a write whose reply was lost and when it was sent."""

    record: LeaseRecord
    sent_s: float


class Lease:
    """Acquire, renew and release one lease; `step` is to be called every third of its duration.

    The holder counts its time from before it sent a write, and another node from when it first saw
    that write, each by its own monotonic clock. `margin` covers the drift between the two.
    """

    def __init__(
        self, store: ObjectStore, name: str, holder: str, duration_s: float, clock: Clock
    ) -> None:
        self.name = name
        self.holder = holder
        self._store = store
        self._duration_s = duration_s
        self._margin_s = duration_s * MARGIN_FRACTION
        self._clock = clock
        self._held: _Seen | None = None
        self._held_until_s = 0.0
        self._seen: _Seen | None = None
        self._pending: _Pending | None = None

    @property
    def is_held(self) -> bool:
        """Return whether this node holds the lease by its own clock."""
        return self._held is not None and self._clock() < self._held_until_s

    @property
    def epoch(self) -> int:
        """Return the epoch last acquired, or 0 if there is none."""
        return 0 if self._held is None else self._held.record.epoch

    @property
    def known_holder(self) -> str:
        """Return the holder that this node last saw in the store."""
        return NO_HOLDER if self._seen is None else self._seen.record.holder

    def step(self) -> bool:
        """Acquire or renew the lease if it may be had, and return whether it is held."""
        try:
            self._step()
        except (StoreUnavailableError, WriteUnsureError):
            return self.is_held
        return self.is_held

    def release(self) -> None:
        """Give the lease up, so that the next holder need not wait for it to lapse."""
        held = self._held
        self._held = None
        self._held_until_s = 0.0
        if held is None:
            return
        record = LeaseRecord(NO_HOLDER, held.record.epoch, secrets.token_hex(8))
        try:
            self._store.update(LEASE_KIND, self.name, record.encode(), held.version)
        except PlatformError:
            return

    def _step(self) -> None:
        if self._pending is not None:
            self._resolve_pending(self._pending)
        if self._held is not None:
            self._renew(self._held)
        else:
            self._observe()
            self._try_acquire()

    def _renew(self, held: _Seen) -> None:
        record = LeaseRecord(self.holder, held.record.epoch, secrets.token_hex(8))
        try:
            self._write(record, held.version)
        except VersionConflictError:
            self._lose()

    def _try_acquire(self) -> None:
        seen = self._seen
        if seen is not None and not self._is_free(seen):
            return
        epoch = 1 if seen is None else seen.record.epoch + 1
        record = LeaseRecord(self.holder, epoch, secrets.token_hex(8))
        try:
            self._write(record, None if seen is None else seen.version)
        except VersionConflictError:
            self._observe()

    def _is_free(self, seen: _Seen) -> bool:
        if seen.record.holder == NO_HOLDER:
            return True
        return self._clock() - seen.at_s >= self._duration_s + self._margin_s

    def _write(self, record: LeaseRecord, version: int | None) -> None:
        sent_s = self._clock()
        try:
            if version is None:
                written = self._store.create(LEASE_KIND, self.name, record.encode())
            else:
                written = self._store.update(LEASE_KIND, self.name, record.encode(), version)
        except WriteUnsureError:
            self._pending = _Pending(record, sent_s)
            raise
        self._hold(_Seen(written, sent_s, record))

    def _hold(self, seen: _Seen) -> None:
        self._held = seen
        self._seen = seen
        self._held_until_s = seen.at_s + self._duration_s - self._margin_s

    def _lose(self) -> None:
        self._held = None
        self._held_until_s = 0.0
        self._observe()

    def _resolve_pending(self, pending: _Pending) -> None:
        """Read back a write whose reply was lost."""
        stored = self._store.get(LEASE_KIND, self.name)
        self._pending = None
        if stored is None:
            return
        record = decode_lease(stored.value)
        if record.nonce == pending.record.nonce:
            self._hold(_Seen(stored.version, pending.sent_s, record))

    def _observe(self) -> None:
        """Read the lease; a version seen before keeps the time at which it was first seen."""
        stored = self._store.get(LEASE_KIND, self.name)
        if stored is None:
            self._seen = None
            return
        if self._seen is None or self._seen.version != stored.version:
            self._seen = _Seen(stored.version, self._clock(), decode_lease(stored.value))
