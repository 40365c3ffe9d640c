"""Claim orders through the ledger, also while the store fails, and count the store's calls."""

import threading
from collections.abc import Iterator

import pytest

from chervilmill.coordination import OrderLedger
from chervilmill.requests import Claim, ClaimResult, Outcome, RecordOutcome, ReleaseClaim, order_key
from chervilmill.standins.store import MemoryStore, retry_until

TIMEOUT_S = 5.0
DONE = Outcome(200, "text/plain", b"done")


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def ledgers(store: MemoryStore) -> Iterator[list[OrderLedger]]:
    running = [OrderLedger(store, shards=4) for _ in range(2)]
    for ledger in running:
        ledger.start()
    yield running
    for ledger in running:
        ledger.stop(0)


def claim(key: str, nonce: int, body: bytes = b"body") -> Claim:
    return Claim(order_key("souhrny", key, "POST", "/orders", body), nonce.to_bytes(12, "big"))


def is_written(ledger: OrderLedger) -> bool:
    return retry_until(lambda: ledger.pending_records == 0, TIMEOUT_S)


def test_resend_through_another_entry_vm(ledgers: list[OrderLedger]) -> None:
    first, second = ledgers
    own_claim = claim("k", 1)
    assert first.claim(own_claim, TIMEOUT_S).result is ClaimResult.GRANTED
    assert second.claim(claim("k", 2), TIMEOUT_S).result is ClaimResult.CLAIMED_BEFORE
    assert second.claim(claim("k", 3, b"else"), TIMEOUT_S).result is ClaimResult.KEY_REUSED
    first.record(RecordOutcome(own_claim.key, own_claim.nonce, DONE))
    assert is_written(first)
    reply = second.claim(claim("k", 4), TIMEOUT_S)
    assert (reply.result, reply.outcome) == (ClaimResult.FINISHED_BEFORE, DONE)


def test_lost_reply_is_resolved_by_reading(ledgers: list[OrderLedger], store: MemoryStore) -> None:
    store.lose_replies = 1
    assert ledgers[0].claim(claim("k", 1), TIMEOUT_S).result is ClaimResult.GRANTED
    assert ledgers[1].claim(claim("k", 2), TIMEOUT_S).result is ClaimResult.CLAIMED_BEFORE


def test_store_down_refuses_claims_and_keeps_outcomes(
    ledgers: list[OrderLedger], store: MemoryStore
) -> None:
    first, second = ledgers
    own_claim = claim("k", 1)
    assert first.claim(own_claim, TIMEOUT_S).result is ClaimResult.GRANTED
    store.is_down = True
    first.record(RecordOutcome(own_claim.key, own_claim.nonce, DONE))
    assert first.claim(claim("other", 2), TIMEOUT_S).result is ClaimResult.STORE_UNAVAILABLE
    assert first.pending_records == 1
    store.is_down = False
    assert is_written(first)
    assert second.claim(claim("k", 3), TIMEOUT_S).outcome == DONE
    assert second.claim(claim("other", 4), TIMEOUT_S).result is ClaimResult.GRANTED


def test_abandoned_claim_is_released(ledgers: list[OrderLedger], store: MemoryStore) -> None:
    store.delay_s = 0.2
    assert ledgers[0].claim(claim("k", 1), 0.05).result is ClaimResult.STORE_UNAVAILABLE
    store.delay_s = 0.0
    retried = claim("k", 2)
    assert retry_until(
        lambda: ledgers[1].claim(retried, TIMEOUT_S).result is ClaimResult.GRANTED, TIMEOUT_S
    )


def test_released_claim_can_be_claimed_again(ledgers: list[OrderLedger]) -> None:
    own_claim = claim("k", 1)
    ledgers[0].claim(own_claim, TIMEOUT_S)
    ledgers[0].record(ReleaseClaim(own_claim.key, own_claim.nonce))
    assert is_written(ledgers[0])
    assert ledgers[1].claim(claim("k", 2), TIMEOUT_S).result is ClaimResult.GRANTED


def test_orders_of_one_node_share_writes(store: MemoryStore) -> None:
    """Send 60 orders at once, which must cost far fewer than two store calls each."""
    ledger = OrderLedger(store, shards=1)
    ledger.start()
    store.delay_s = 0.02
    claims = [claim(f"k{index}", index) for index in range(60)]
    threads = [
        threading.Thread(target=ledger.claim, args=(order_claim, TIMEOUT_S))
        for order_claim in claims
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for order_claim in claims:
        ledger.record(RecordOutcome(order_claim.key, order_claim.nonce, DONE))
    assert is_written(ledger)
    ledger.stop(0)
    assert store.calls <= 30


def test_single_order_costs_two_writes_and_one_read(store: MemoryStore) -> None:
    ledger = OrderLedger(store)
    ledger.start()
    own_claim = claim("k", 1)
    ledger.claim(own_claim, TIMEOUT_S)
    ledger.record(RecordOutcome(own_claim.key, own_claim.nonce, DONE))
    assert is_written(ledger)
    ledger.stop(0)
    assert store.calls == 3


# The rate that was passed in was replaced by the default with the first change of the fleet.
def test_node_count_divides_the_stated_rate_of_writes(store: MemoryStore) -> None:
    ledger = OrderLedger(store, shards=4, writes_per_s=10.0)
    ledger.set_node_count(2)
    pauses_s = [ledger._pacer.schedule(0.0) for _ in range(6)]
    assert pauses_s[-1] == pytest.approx(4 / 5.0)
