"""Test how long the records of orders are kept, and how they are stored."""

import uuid

import pytest

from chervilmill.requests import Claim, ClaimResult, OrderKey, Outcome, RecordOutcome, order_key
from chervilmill.requests._order_model import (
    EMPTY_SHARD,
    MAX_OUTCOME_BYTES,
    MAX_SHARD_BYTES,
    RETENTION_MS,
    decode_shard,
    encode_shard,
    key_time_ms,
)
from chervilmill.requests._order_shard import apply_changes

NOW_MS = 1_700_000_000_000
HOUR_MS = 3_600_000
OLD_MS = RETENTION_MS + 2 * HOUR_MS


def dated_key(time_ms: int, number: int = 0) -> str:
    return str(uuid.UUID(int=(time_ms << 80) | (7 << 76) | (2 << 62) | number))


def claim(key: str, nonce: int = 1) -> Claim:
    return Claim(order_key("contracts", key, "POST", "/orders", b""), nonce.to_bytes(12, "big"))


def claim_result(shard, order_claim: Claim, now_ms: int) -> ClaimResult:
    return apply_changes(shard, [order_claim], now_ms)[1][order_claim.nonce].result


@pytest.mark.parametrize(
    ("key", "later_ms", "expected"),
    [
        ("plain", OLD_MS, ClaimResult.KEY_EXPIRED),
        ("plain", 400 * OLD_MS, ClaimResult.KEY_EXPIRED),
        (dated_key(NOW_MS), OLD_MS, ClaimResult.KEY_EXPIRED),
        (dated_key(NOW_MS), -HOUR_MS, ClaimResult.KEY_EXPIRED),
    ],
    ids=["key without time", "much later", "dated key", "dated key and a clock that is behind"],
)
def test_key_of_a_dropped_record_is_never_new(
    key: str, later_ms: int, expected: ClaimResult
) -> None:
    shard, _ = apply_changes(EMPTY_SHARD, [claim(key)], NOW_MS)
    shard, _ = apply_changes(shard, [claim("other", 2)], NOW_MS + OLD_MS)
    assert claim(key).key.digest not in shard.records
    assert claim_result(shard, claim(key, 3), NOW_MS + later_ms) is expected


@pytest.mark.parametrize(
    ("offset_ms", "expected"),
    [
        (0, ClaimResult.GRANTED),
        (HOUR_MS, ClaimResult.KEY_FROM_FUTURE),
        (-RETENTION_MS - 1, ClaimResult.KEY_EXPIRED),
        (-RETENTION_MS + 1, ClaimResult.GRANTED),
    ],
)
def test_time_in_a_key_is_checked(offset_ms: int, expected: ClaimResult) -> None:
    assert claim_result(EMPTY_SHARD, claim(dated_key(NOW_MS + offset_ms)), NOW_MS) is expected


def test_only_version_7_carries_a_time() -> None:
    assert key_time_ms(dated_key(NOW_MS)) == NOW_MS
    assert key_time_ms(str(uuid.UUID(int=4 << 76 | 2 << 62))) is None
    assert key_time_ms("order-1") is None


def test_full_shard_drops_bodies_before_it_refuses() -> None:
    shard = EMPTY_SHARD
    answer = Outcome(200, "text/plain", bytes(MAX_OUTCOME_BYTES))
    count = MAX_SHARD_BYTES // MAX_OUTCOME_BYTES + 20
    for number in range(count):
        order_claim = claim(f"k{number}", number)
        changes = [order_claim, RecordOutcome(order_claim.key, order_claim.nonce, answer)]
        shard, replies = apply_changes(shard, changes, NOW_MS + number)
        assert replies[order_claim.nonce].result is ClaimResult.GRANTED
    assert shard.size <= MAX_SHARD_BYTES
    outcomes = [record.outcome for record in shard.records.values()]
    assert len(outcomes) == count
    assert sum(outcome is not None and outcome.body is None for outcome in outcomes) >= 20


def test_encoding_round_trip() -> None:
    order_claim = claim("k", 1)
    changes = [
        order_claim,
        RecordOutcome(order_claim.key, order_claim.nonce, Outcome(201, "text/plain", b"x")),
        claim("m", 2),
    ]
    shard, _ = apply_changes(EMPTY_SHARD, changes, NOW_MS)
    shard, _ = apply_changes(shard, [claim("n", 3)], NOW_MS + OLD_MS)
    assert shard.tombstones
    assert decode_shard(encode_shard(shard)) == shard


def test_digest_separates_services_and_fingerprint_contents() -> None:
    def key(service: str, body: bytes) -> OrderKey:
        return order_key(service, "k", "POST", "/orders", body)

    assert key("contracts", b"a").digest != key("surveys", b"a").digest
    assert key("contracts", b"a").digest == key("contracts", b"b").digest
    assert key("contracts", b"a").fingerprint != key("contracts", b"b").fingerprint
