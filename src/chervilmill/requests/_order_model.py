"""Define the records of orders and the shards that hold them, with their stored form.

A shard is one object in the store. It holds the records of all orders whose key hashes to it.
"""

import hashlib
import uuid
from collections.abc import Iterable
from dataclasses import dataclass, replace

import cbor2
import xxhash

DIGEST_BYTES = 16
TOMBSTONE_BYTES = 8
MAX_OUTCOME_BYTES = 4 * 1024
MAX_SHARD_BYTES = 512 * 1024
RETENTION_MS = 24 * 3_600_000
DROP_MARGIN_MS = 3_600_000  # a record is kept at least this long after its key has expired
MAX_CLOCK_ERROR_MS = 300_000

_RECORD_BYTES = 96  # digest, fingerprint, nonce, times and their CBOR framing


@dataclass(frozen=True, slots=True)
class Outcome:
    """The answer of a target to an order.

    `body` is None if it was too long to keep or was dropped to save room.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """The claim of one order and, once known, its outcome.

    `nonce` identifies the only transmission that may send the order. `key_ms` is the time encoded
    in the key, or None if the key encodes no time.
    """

    fingerprint: bytes
    nonce: bytes
    claimed_ms: int
    key_ms: int | None
    outcome: Outcome | None

    @property
    def size(self) -> int:
        """Return an upper estimate of the encoded size of this record in bytes."""
        body = self.outcome.body if self.outcome is not None else None
        return _RECORD_BYTES + len(body or b"")


@dataclass(frozen=True, slots=True)
class Shard:
    """The records of a shard by the digest of their key.

    A record whose key encodes no time leaves a tombstone when it is dropped: a shortened digest
    that is kept forever, so that the key is never taken for a new key. A key that encodes a time
    leaves no tombstone. Its record may have been dropped if the time is at most `horizon_ms`.
    """

    records: dict[bytes, OrderRecord]
    tombstones: frozenset[bytes]
    horizon_ms: int

    @property
    def size(self) -> int:
        """Return an upper estimate of the encoded size in bytes."""
        records = sum(record.size for record in self.records.values())
        return records + len(self.tombstones) * TOMBSTONE_BYTES


EMPTY_SHARD = Shard({}, frozenset(), 0)


@dataclass(frozen=True, slots=True)
class OrderKey:
    """The identity of an order.

    `digest` covers the service and the key, `fingerprint` the content. `key_ms` is the time
    encoded in the key, or None.
    """

    digest: bytes
    fingerprint: bytes
    key_ms: int | None

    def shard_index(self, shards: int) -> int:
        """Return the index of the shard that holds this order."""
        return int.from_bytes(self.digest[:8], "big") % shards


def order_key(service: str, key: str, method: str, path: str, body: bytes) -> OrderKey:
    """Return the identity of an order.

    The digest is cryptographic, so that no caller can construct a key that collides with the key
    of another caller.
    """
    content = xxhash.xxh3_128()
    for part in (method.encode(), path.encode(), body):
        content.update(len(part).to_bytes(8, "big") + part)
    digest = hashlib.blake2b(f"{service}\n{key}".encode(), digest_size=DIGEST_BYTES).digest()
    return OrderKey(digest, content.digest(), key_time_ms(key))


def key_time_ms(key: str) -> int | None:
    """Return the Unix time in ms that a version 7 UUID (RFC 9562) encodes.

    Return None for any other key.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return parsed.int >> 80


def tombstone_of(digest: bytes) -> bytes:
    """Return the shortened digest that is kept once the record of an order is dropped."""
    return digest[:TOMBSTONE_BYTES]


def drop_expired(shard: Shard, now_ms: int) -> Shard:
    """Return a shard without the records that are older than the retention.

    If the shard is still too large, the bodies of its oldest outcomes are dropped. The records
    that the orders ran stay. A shard from which nothing is dropped is returned unchanged.
    """
    expired = [digest for digest, record in shard.records.items() if _is_expired(record, now_ms)]
    if expired:
        shard = _drop_records(shard, expired)
    if shard.size > MAX_SHARD_BYTES:
        shard = _drop_oldest_bodies(shard)
    return shard


def encode_shard(shard: Shard) -> bytes:
    """Return the encoded form of a shard as it is stored."""
    records = [
        (digest, rec.fingerprint, rec.nonce, rec.claimed_ms, rec.key_ms, _outcome_fields(rec))
        for digest, rec in shard.records.items()
    ]
    return cbor2.dumps((records, b"".join(sorted(shard.tombstones)), shard.horizon_ms))


def decode_shard(value: bytes) -> Shard:
    """Decode a stored shard; raise CBORDecodeError, ValueError or TypeError if it is malformed."""
    raw_records, raw_tombstones, horizon_ms = cbor2.loads(value)
    records = {
        digest: OrderRecord(
            fingerprint, nonce, claimed_ms, key_ms, None if outcome is None else Outcome(*outcome)
        )
        for digest, fingerprint, nonce, claimed_ms, key_ms, outcome in raw_records
    }
    return Shard(records, frozenset(_split_tombstones(raw_tombstones)), horizon_ms)


def _is_expired(record: OrderRecord, now_ms: int) -> bool:
    newest_ms = max(record.claimed_ms, record.key_ms or 0)
    return now_ms - newest_ms > RETENTION_MS + DROP_MARGIN_MS


def _drop_records(shard: Shard, digests: Iterable[bytes]) -> Shard:
    records = dict(shard.records)
    tombstones, horizon_ms = set(shard.tombstones), shard.horizon_ms
    for digest in digests:
        record = records.pop(digest)
        if record.key_ms is None:
            tombstones.add(tombstone_of(digest))
        else:
            horizon_ms = max(horizon_ms, record.key_ms)
    return Shard(records, frozenset(tombstones), horizon_ms)


def _drop_oldest_bodies(shard: Shard) -> Shard:
    records, excess = dict(shard.records), shard.size - MAX_SHARD_BYTES
    for digest, record in sorted(records.items(), key=lambda item: item[1].claimed_ms):
        if excess <= 0:
            break
        if record.outcome is not None and record.outcome.body is not None:
            excess -= len(record.outcome.body)
            records[digest] = replace(record, outcome=replace(record.outcome, body=None))
    return replace(shard, records=records)


def _outcome_fields(record: OrderRecord) -> tuple[int, str, bytes | None] | None:
    outcome = record.outcome
    return None if outcome is None else (outcome.status, outcome.content_type, outcome.body)


def _split_tombstones(raw: bytes) -> Iterable[bytes]:
    for start in range(0, len(raw), TOMBSTONE_BYTES):
        yield raw[start : start + TOMBSTONE_BYTES]
