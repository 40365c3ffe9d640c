"""Change the records of orders in a shard by conditional writes.

Every change may be applied again without a further effect, because it carries the nonce of its
transmission. So a write whose reply was lost is resolved by reading the shard and applying the
same changes again.
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
    encode_shard,
    expire,
    shorten,
)

MAX_WRITES = 16


class Standing(Enum):
    """Say how a claim ended."""

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
    """Answer a claim; `outcome` is set for a finished order only."""

    standing: Standing
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask for the right to send an order once."""

    key: OrderKey
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the outcome of a claimed order."""

    key: OrderKey
    nonce: bytes
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Release:
    """Give a claim back after the proof that nothing was run under it."""

    key: OrderKey
    nonce: bytes


Change = Claim | Finish | Release


@dataclass(frozen=True, slots=True)
class HeldShard:
    """Hold a shard at the version at which it was last seen; None before it exists."""

    shard: Shard
    version: int | None


@dataclass(frozen=True, slots=True)
class ReadShard:
    """Read the shard; answered by HeldShard or StoreFailure.UNAVAILABLE."""


@dataclass(frozen=True, slots=True)
class WriteShard:
    """Write the shard if its version is still the given one; None creates it.

    Answered by the new version or a StoreFailure.
    """

    value: bytes
    version: int | None


class StoreFailure(Enum):
    """Say how a call of the store failed."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNSURE = "unsure"


StoreCall = ReadShard | WriteShard
StoreReply = HeldShard | int | StoreFailure


@dataclass(frozen=True, slots=True)
class Commit:
    """Hold the end of a group of changes.

    `replies` has one entry for each claim by its nonce. `is_done` is False where the store failed:
    then no claim is granted, and the changes are applied only if `may_be_applied`.
    """

    held: HeldShard | None
    replies: dict[bytes, ClaimReply]
    is_done: bool
    may_be_applied: bool


def read_stored(value: bytes | None, version: int | None) -> HeldShard:
    """Return the shard of a stored value, or an empty one where there is none."""
    return HeldShard(EMPTY_SHARD if value is None else decode_shard(value), version)


def commit_changes(
    held: HeldShard | None, changes: Sequence[Change], now_ms: int
) -> Generator[StoreCall, StoreReply, Commit]:
    """Yield the calls that apply a group of changes to one shard and return how it ended.

    `held` may be out of date: what it says is trusted only where a write on it succeeds, or where
    it holds outcomes, which never change.
    """
    is_fresh, is_unsure = False, False
    for _ in range(MAX_WRITES):
        if held is None:
            reply = yield ReadShard()
            if not isinstance(reply, HeldShard):
                return _failed(changes, is_unsure)
            held, is_fresh = reply, True
        shard, replies = apply_changes(held.shard, changes, now_ms)
        if shard is held.shard:
            if is_fresh or _are_final(replies):
                return Commit(held, replies, is_done=True, may_be_applied=True)
            held = None
            continue
        written = yield WriteShard(encode_shard(shard), held.version)
        if isinstance(written, int):
            return Commit(HeldShard(shard, written), replies, is_done=True, may_be_applied=True)
        if written is StoreFailure.UNAVAILABLE:
            return _failed(changes, is_unsure)
        is_unsure = is_unsure or written is StoreFailure.UNSURE
        held = None
    return _failed(changes, is_unsure)


def apply_changes(
    shard: Shard, changes: Sequence[Change], now_ms: int
) -> tuple[Shard, dict[bytes, ClaimReply]]:
    """Return the changed shard and a reply for each claim.

    The very same shard is returned where nothing changes.
    """
    replies: dict[bytes, ClaimReply] = {}
    changed = shard
    for change in changes:
        if isinstance(change, Claim):
            changed, replies[change.nonce] = _claim(changed, change, now_ms)
        elif isinstance(change, Finish):
            changed = _finish(changed, change)
        else:
            changed = _release(changed, change)
    if changed is shard:
        return shard, replies
    return expire(changed, now_ms), replies


def _claim(shard: Shard, claim: Claim, now_ms: int) -> tuple[Shard, ClaimReply]:
    record = shard.records.get(claim.key.digest)
    if record is not None:
        return shard, _standing_of(record, claim)
    standing = _standing_of_unknown(shard, claim.key, now_ms)
    if standing is not Standing.GRANTED:
        return shard, ClaimReply(standing)
    record = OrderRecord(claim.key.fingerprint, claim.nonce, now_ms, claim.key.key_ms, None)
    return _with_record(shard, claim.key, record), ClaimReply(Standing.GRANTED)


def _standing_of(record: OrderRecord, claim: Claim) -> ClaimReply:
    if record.nonce == claim.nonce:
        return ClaimReply(Standing.GRANTED)
    if record.fingerprint != claim.key.fingerprint:
        return ClaimReply(Standing.KEY_REUSED)
    if record.outcome is None:
        return ClaimReply(Standing.CLAIMED_BEFORE)
    return ClaimReply(Standing.FINISHED_BEFORE, record.outcome)


def _standing_of_unknown(shard: Shard, key: OrderKey, now_ms: int) -> Standing:
    if key.key_ms is None:
        if shorten(key.digest) in shard.kept:
            return Standing.KEY_EXPIRED
    elif key.key_ms <= shard.horizon_ms or now_ms - key.key_ms > RETENTION_MS:
        return Standing.KEY_EXPIRED
    elif key.key_ms > now_ms + MAX_CLOCK_ERROR_MS:
        return Standing.KEY_FROM_FUTURE
    if expire(shard, now_ms).size > MAX_SHARD_BYTES:
        return Standing.SHARD_FULL
    return Standing.GRANTED


def _finish(shard: Shard, finish: Finish) -> Shard:
    record = shard.records.get(finish.key.digest)
    if record is None or record.nonce != finish.nonce or record.outcome is not None:
        return shard
    return _with_record(shard, finish.key, replace(record, outcome=finish.outcome))


def _release(shard: Shard, release: Release) -> Shard:
    record = shard.records.get(release.key.digest)
    if record is None or record.nonce != release.nonce or record.outcome is not None:
        return shard
    records = dict(shard.records)
    del records[release.key.digest]
    return replace(shard, records=records)


def _with_record(shard: Shard, key: OrderKey, record: OrderRecord) -> Shard:
    return replace(shard, records={**shard.records, key.digest: record})


def _are_final(replies: dict[bytes, ClaimReply]) -> bool:
    return all(reply.standing is Standing.FINISHED_BEFORE for reply in replies.values())


def _failed(changes: Sequence[Change], may_be_applied: bool) -> Commit:
    reply = ClaimReply(Standing.STORE_UNAVAILABLE)
    replies = {change.nonce: reply for change in changes if isinstance(change, Claim)}
    return Commit(None, replies, is_done=False, may_be_applied=may_be_applied)
