"""Apply changes to the order records of a shard by conditional writes to the store.

Changes are idempotent, because each carries the nonce of its transmission. If the reply to a write
was lost, the shard is therefore read and the same changes are applied again.
"""

from collections.abc import Generator, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from chervilmill.requests._order_model import (
    EMPTY_SHARD,
    MAX_CLOCK_ERROR_MS,
    MAX_SHARD_BYTES,
    RETENTION_MS,
    OrderKey,
    OrderRecord,
    Outcome,
    Shard,
    decode_shard,
    drop_expired,
    encode_shard,
    tombstone_of,
)

MAX_COMMIT_ROUNDS = 16


class ClaimResult(Enum):
    """Results of a claim."""

    GRANTED = "granted"
    CLAIMED_BEFORE = "claimed_before"
    FINISHED_BEFORE = "finished_before"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"
    SHARD_FULL = "shard_full"
    STORE_UNAVAILABLE = "store_unavailable"


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The reply to a claim; `outcome` is set only if the order has finished before."""

    result: ClaimResult
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """A change that claims the right to send an order once."""

    key: OrderKey
    nonce: bytes


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """A change that records the outcome of a claimed order."""

    key: OrderKey
    nonce: bytes
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """A change that removes a claim after proof that nothing was run under that claim."""

    key: OrderKey
    nonce: bytes


Change = Claim | RecordOutcome | ReleaseClaim


@dataclass(frozen=True, slots=True)
class CachedShard:
    """A local copy of a shard with the version at which it was last seen.

    `version` is None if the shard does not exist in the store.
    """

    shard: Shard
    version: int | None


@dataclass(frozen=True, slots=True)
class ReadShard:
    """A call that reads the shard; the reply is a CachedShard or StoreFailure.UNAVAILABLE."""


@dataclass(frozen=True, slots=True)
class WriteShard:
    """A call that writes the shard if its stored version still equals `version`.

    A version of None creates the shard. The reply is the new version or a StoreFailure.
    """

    value: bytes
    version: int | None


class StoreFailure(Enum):
    """Ways in which a call to the store fails; an UNSURE write may have been applied."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNSURE = "unsure"


StoreCall = ReadShard | WriteShard
StoreReply = CachedShard | int | StoreFailure


@dataclass(frozen=True, slots=True)
class Commit:
    """The result of committing a group of changes.

    `replies` maps the nonce of each claim to its reply. `is_done` is False if the store failed.
    In that case no claim is granted, and the changes can only have reached the store if
    `may_be_applied` is True.
    """

    cached: CachedShard | None
    replies: dict[bytes, ClaimReply]
    is_done: bool
    may_be_applied: bool


def decode_cached_shard(value: bytes | None, version: int | None) -> CachedShard:
    """Return the shard decoded from a stored value, or an empty shard if the value is None."""
    return CachedShard(EMPTY_SHARD if value is None else decode_shard(value), version)


def commit_changes(
    cached: CachedShard | None, changes: Sequence[Change], now_ms: int
) -> Generator[StoreCall, StoreReply, Commit]:
    """Yield the store calls that apply a group of changes to one shard; return the result.

    `cached` may be out of date. Replies based on it are given only if a conditional write at its
    version succeeds, or if all replies are recorded outcomes, which never change.
    """
    was_just_read, has_unsure_write = False, False
    for _ in range(MAX_COMMIT_ROUNDS):
        if cached is None:
            reply = yield ReadShard()
            if not isinstance(reply, CachedShard):
                return _failed_commit(changes, has_unsure_write)
            cached, was_just_read = reply, True
        shard, replies = apply_changes(cached.shard, changes, now_ms)
        if shard is cached.shard:
            if was_just_read or _are_all_finished(replies):
                return Commit(cached, replies, is_done=True, may_be_applied=True)
            cached = None
            continue
        written = yield WriteShard(encode_shard(shard), cached.version)
        if isinstance(written, int):
            return Commit(CachedShard(shard, written), replies, is_done=True, may_be_applied=True)
        if written is StoreFailure.UNAVAILABLE:
            return _failed_commit(changes, has_unsure_write)
        has_unsure_write = has_unsure_write or written is StoreFailure.UNSURE
        cached = None
    return _failed_commit(changes, has_unsure_write)


def apply_changes(
    shard: Shard, changes: Sequence[Change], now_ms: int
) -> tuple[Shard, dict[bytes, ClaimReply]]:
    """Return the changed shard and the reply to each claim by its nonce.

    If nothing changes, the returned shard is the same object as the given one.
    """
    replies: dict[bytes, ClaimReply] = {}
    changed = shard
    for change in changes:
        if isinstance(change, Claim):
            changed, replies[change.nonce] = _apply_claim(changed, change, now_ms)
        elif isinstance(change, RecordOutcome):
            changed = _apply_outcome(changed, change)
        else:
            changed = _apply_release(changed, change)
    if changed is shard:
        return shard, replies
    return drop_expired(changed, now_ms), replies


def _apply_claim(shard: Shard, claim: Claim, now_ms: int) -> tuple[Shard, ClaimReply]:
    record = shard.records.get(claim.key.digest)
    if record is not None:
        return shard, _reply_to_known_key(record, claim)
    result = _result_for_new_key(shard, claim.key, now_ms)
    if result is not ClaimResult.GRANTED:
        return shard, ClaimReply(result)
    record = OrderRecord(claim.key.fingerprint, claim.nonce, now_ms, claim.key.key_ms, None)
    return _with_record(shard, claim.key, record), ClaimReply(ClaimResult.GRANTED)


def _reply_to_known_key(record: OrderRecord, claim: Claim) -> ClaimReply:
    if record.nonce == claim.nonce:
        return ClaimReply(ClaimResult.GRANTED)
    if record.fingerprint != claim.key.fingerprint:
        return ClaimReply(ClaimResult.KEY_REUSED)
    if record.outcome is None:
        return ClaimReply(ClaimResult.CLAIMED_BEFORE)
    return ClaimReply(ClaimResult.FINISHED_BEFORE, record.outcome)


def _result_for_new_key(shard: Shard, key: OrderKey, now_ms: int) -> ClaimResult:
    if key.key_ms is None:
        if tombstone_of(key.digest) in shard.tombstones:
            return ClaimResult.KEY_EXPIRED
    elif key.key_ms <= shard.horizon_ms or now_ms - key.key_ms > RETENTION_MS:
        return ClaimResult.KEY_EXPIRED
    elif key.key_ms > now_ms + MAX_CLOCK_ERROR_MS:
        return ClaimResult.KEY_FROM_FUTURE
    if drop_expired(shard, now_ms).size > MAX_SHARD_BYTES:
        return ClaimResult.SHARD_FULL
    return ClaimResult.GRANTED


def _apply_outcome(shard: Shard, change: RecordOutcome) -> Shard:
    record = shard.records.get(change.key.digest)
    if record is None or record.nonce != change.nonce or record.outcome is not None:
        return shard
    return _with_record(shard, change.key, replace(record, outcome=change.outcome))


def _apply_release(shard: Shard, change: ReleaseClaim) -> Shard:
    record = shard.records.get(change.key.digest)
    if record is None or record.nonce != change.nonce or record.outcome is not None:
        return shard
    records = dict(shard.records)
    del records[change.key.digest]
    return replace(shard, records=records)


def _with_record(shard: Shard, key: OrderKey, record: OrderRecord) -> Shard:
    return replace(shard, records={**shard.records, key.digest: record})


def _are_all_finished(replies: dict[bytes, ClaimReply]) -> bool:
    return all(reply.result is ClaimResult.FINISHED_BEFORE for reply in replies.values())


def _failed_commit(changes: Sequence[Change], may_be_applied: bool) -> Commit:
    reply = ClaimReply(ClaimResult.STORE_UNAVAILABLE)
    replies = {change.nonce: reply for change in changes if isinstance(change, Claim)}
    return Commit(None, replies, is_done=False, may_be_applied=may_be_applied)
