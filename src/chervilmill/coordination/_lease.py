"""Leases in the platform's store.

A lease determines which node may act. A holder that was paused for longer than its lease may still
believe that it holds the lease, so safety doesn't rest on clocks alone. Each object that a holder
changes carries the fencing epoch of its last holder. Every write of the object is conditional on
the version that the holder itself wrote, when it took the object over or later.
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
DRIFT_MARGIN_SHARE = 0.1
NO_HOLDER = ""

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The stored content of a lease; `nonce` differs in every write."""

    holder: str
    epoch: int
    nonce: str

    def encode(self) -> bytes:
        """Return the stored form of the record."""
        fields = {"holder": self.holder, "epoch": self.epoch, "nonce": self.nonce}
        return json.dumps(fields).encode()


def decode_lease(value: bytes) -> LeaseRecord:
    """Return the record of a stored form, or raise ValueError or KeyError."""
    raw: dict[str, Any] = json.loads(value)
    return LeaseRecord(str(raw["holder"]), int(raw["epoch"]), str(raw["nonce"]))


@dataclass(frozen=True, slots=True)
class _ObservedLease:
    """A stored version of the lease.

    `counted_from_s` is the monotonic time from which its duration counts: when this node sent it or
    first observed it.
    """

    version: int
    counted_from_s: float
    record: LeaseRecord


@dataclass(frozen=True, slots=True)
class _UnconfirmedWrite:
    """A write whose reply was lost and the monotonic time at which it was sent."""

    record: LeaseRecord
    sent_at_s: float


class Lease:
    """One lease, which this node can acquire, renew and release.

    `step` must be called every third of the lease's duration. The holder counts the duration from
    before it sent a write. Any other node counts from when it first observed that write. Each uses
    its own monotonic clock, and a margin on both sides covers the drift between the clocks.
    """

    def __init__(
        self, store: ObjectStore, name: str, holder: str, duration_s: float, clock: Clock
    ) -> None:
        self.name = name
        self.holder = holder
        self._store = store
        self._duration_s = duration_s
        self._margin_s = duration_s * DRIFT_MARGIN_SHARE
        self._clock = clock
        self._held: _ObservedLease | None = None
        self._held_until_s = 0.0
        self._observed: _ObservedLease | None = None
        self._unconfirmed: _UnconfirmedWrite | None = None

    @property
    def is_held(self) -> bool:
        """Return whether this node holds the lease by its own clock."""
        return self._held is not None and self._clock() < self._held_until_s

    @property
    def epoch(self) -> int:
        """Return the fencing epoch last acquired, or 0 if there is none or it was released."""
        return 0 if self._held is None else self._held.record.epoch

    @property
    def known_holder(self) -> str:
        """Return the holder that this node last observed in the store."""
        return NO_HOLDER if self._observed is None else self._observed.record.holder

    def step(self) -> bool:
        """Acquire or renew the lease if possible and return whether this node holds the lease."""
        try:
            self._step()
        except (StoreUnavailableError, WriteUnsureError):
            return self.is_held
        return self.is_held

    def release(self) -> None:
        """Release the lease, so that the next holder need not wait for its expiry."""
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
        if self._unconfirmed is not None:
            self._resolve_unconfirmed(self._unconfirmed)
        if self._held is not None:
            self._renew(self._held)
        else:
            self._observe()
            self._try_acquire()

    def _renew(self, held: _ObservedLease) -> None:
        record = LeaseRecord(self.holder, held.record.epoch, secrets.token_hex(8))
        try:
            self._write(record, held.version)
        except VersionConflictError:
            self._mark_lost()

    def _try_acquire(self) -> None:
        observed = self._observed
        if observed is not None and not self._is_free(observed):
            return
        epoch = 1 if observed is None else observed.record.epoch + 1
        record = LeaseRecord(self.holder, epoch, secrets.token_hex(8))
        try:
            self._write(record, None if observed is None else observed.version)
        except VersionConflictError:
            self._observe()

    def _is_free(self, observed: _ObservedLease) -> bool:
        if observed.record.holder == NO_HOLDER:
            return True
        return self._clock() - observed.counted_from_s >= self._duration_s + self._margin_s

    def _write(self, record: LeaseRecord, version: int | None) -> None:
        sent_at_s = self._clock()
        try:
            if version is None:
                written = self._store.create(LEASE_KIND, self.name, record.encode())
            else:
                written = self._store.update(LEASE_KIND, self.name, record.encode(), version)
        except WriteUnsureError:
            self._unconfirmed = _UnconfirmedWrite(record, sent_at_s)
            raise
        self._set_held(_ObservedLease(written, sent_at_s, record))

    def _set_held(self, observed: _ObservedLease) -> None:
        self._held = observed
        self._observed = observed
        self._held_until_s = observed.counted_from_s + self._duration_s - self._margin_s

    def _mark_lost(self) -> None:
        self._held = None
        self._held_until_s = 0.0
        self._observe()

    def _resolve_unconfirmed(self, unconfirmed: _UnconfirmedWrite) -> None:
        """Read the lease to find out whether a write without a reply was applied."""
        stored = self._store.get(LEASE_KIND, self.name)
        self._unconfirmed = None
        if stored is None:
            return
        record = decode_lease(stored.value)
        if record.nonce == unconfirmed.record.nonce:
            self._set_held(_ObservedLease(stored.version, unconfirmed.sent_at_s, record))

    def _observe(self) -> None:
        """Read the lease from the store.

        A version that was observed before keeps the time of its first observation.
        """
        stored = self._store.get(LEASE_KIND, self.name)
        if stored is None:
            self._observed = None
            return
        if self._observed is None or self._observed.version != stored.version:
            self._observed = _ObservedLease(
                stored.version, self._clock(), decode_lease(stored.value)
            )
