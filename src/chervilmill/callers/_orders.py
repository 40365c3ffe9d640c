"""Run callers' orders at most once."""

import io
import secrets
import time
from collections.abc import Iterator
from itertools import chain
from typing import Protocol

from chervilmill.callers._answers import CallerAnswer, ForwardedAnswer
from chervilmill.callers._attempt import Attempt, AttemptFailure
from chervilmill.callers._attempts import Attempts
from chervilmill.callers._order_owners import OrderOwners
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import (
    MAX_OUTCOME_BYTES,
    AnswerReceived,
    Claim,
    ClaimReply,
    ClaimResult,
    OrderAction,
    OrderEnd,
    OrderEvent,
    OrderKey,
    OrderResult,
    OrderRun,
    Outcome,
    RecordOutcome,
    ReleaseClaim,
    SendFailure,
    order_key,
    request_fingerprint,
)
from chervilmill.targets import TargetError

MAX_ORDER_BYTES = 1024**2
CLAIM_TIMEOUT_S = 5.0
RETRY_AFTER_MS = 1000
NONCE_BYTES = 12


class Ledger(Protocol):
    """The store of order records."""

    def claim(self, claim: Claim, timeout_s: float) -> ClaimReply:
        """Return the result of a claim, after the timeout at the latest."""
        ...

    def record(self, change: RecordOutcome | ReleaseClaim) -> None:
        """Record an outcome or release a claim, in the background."""
        ...

    def set_node_count(self, nodes: int) -> None:
        """Limit this node to its share of the order writes, among a number of nodes."""
        ...


class OrderAnswer:
    """The answer to an order: the parts read so far, then the rest as it arrives."""

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        parts: Iterator[bytes],
        forwarded: ForwardedAnswer | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self._parts = parts
        self._forwarded = forwarded

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the answer."""
        yield from self._parts

    def close(self) -> None:
        """End the exchange with the target, if there was one."""
        if self._forwarded is not None:
            self._forwarded.close()


class Orders:
    """Runs each order at most once: claims it in the ledger, then sends it to a target."""

    def __init__(self, ledger: Ledger, attempts: Attempts, owners: OrderOwners) -> None:
        self._ledger = ledger
        self._attempts = attempts
        self._owners = owners

    def run(self, req: CallerRequest) -> CallerAnswer:
        """Return the answer to an order, which may be the recorded one, or raise Refusal."""
        if req.length > MAX_ORDER_BYTES:
            detail = f"an order has at most {MAX_ORDER_BYTES} bytes"
            raise Refusal(RefusalReason.BODY_TOO_LARGE, Ran.NOT_RUN, detail)
        body = req.body.read_whole()
        key = order_key(req.service, req.idempotency_key or "", req.method, req.path, body)
        self._ledger.set_node_count(self._owners.count())
        relayed = self._owners.relay(req, key, body)
        if relayed is not None:
            return relayed
        return _Transmission(req, key, body, self._ledger, self._attempts).run()


class _Transmission:
    """Performs the actions of one OrderRun."""

    def __init__(
        self, req: CallerRequest, key: OrderKey, body: bytes, ledger: Ledger, attempts: Attempts
    ) -> None:
        self._req = req
        self._key = key
        self._body = body
        self._ledger = ledger
        self._attempts = attempts
        self._fingerprint = request_fingerprint(
            req.service, req.method, req.path, key.fingerprint.hex(), req.client
        )
        self._tried: list[str] = []
        self._answer: OrderAnswer | None = None
        self._refusal: Refusal | None = None

    def run(self) -> OrderAnswer:
        steps = OrderRun(self._key, secrets.token_bytes(NONCE_BYTES)).steps()
        try:
            action = next(steps)
            while True:
                action = steps.send(self._perform(action))
        except StopIteration as stop:
            return self._answer_for(stop.value)

    def _perform(self, action: OrderAction) -> OrderEvent:
        if isinstance(action, Claim):
            remaining_s = self._req.deadline_s - time.monotonic()
            return self._ledger.claim(action, min(CLAIM_TIMEOUT_S, remaining_s))
        if isinstance(action, RecordOutcome | ReleaseClaim):
            self._ledger.record(action)
            return None
        return self._send()

    def _send(self) -> AnswerReceived | SendFailure:
        attempt = Attempt(
            self._req,
            io.BytesIO(self._body),
            self._req.cancellation,
            self._fingerprint,
            len(self._tried) + 1,
            tuple(self._tried),
        )
        try:
            forwarded = self._attempts.send(attempt)
        except AttemptFailure as failure:
            return self._record_failure(failure)
        try:
            return self._read_answer(forwarded)
        except TargetError as exc:
            forwarded.close()
            self._refusal = Refusal(RefusalReason.TARGET_FAILED, Ran.UNKNOWN, str(exc))
            return SendFailure.LOST

    def _record_failure(self, failure: AttemptFailure) -> SendFailure:
        is_first = not self._tried
        if failure.target is not None or is_first:
            self._refusal = failure.refusal
        if failure.refusal.ran is not Ran.NOT_RUN:
            return SendFailure.LOST
        if failure.target is None:
            return SendFailure.NOT_RUN_FINAL
        self._tried.append(failure.target)
        return SendFailure.NOT_RUN

    def _read_answer(self, forwarded: ForwardedAnswer) -> AnswerReceived:
        parts, first_parts, size = iter(forwarded), [], 0
        is_whole = True
        for part in parts:
            first_parts.append(part)
            size += len(part)
            if size > MAX_OUTCOME_BYTES:
                is_whole = False
                break
        self._answer = OrderAnswer(
            forwarded.status, forwarded.headers, chain(first_parts, parts), forwarded
        )
        content_type = _header_value(forwarded.headers, "content-type")
        body = b"".join(first_parts) if is_whole else None
        return AnswerReceived(Outcome(forwarded.status, content_type, body))

    def _answer_for(self, result: OrderResult) -> OrderAnswer:
        if result.end is OrderEnd.ANSWERED and self._answer is not None:
            return self._answer
        if result.end is OrderEnd.ANSWERED and result.outcome is not None:
            return _recorded_answer(result.outcome, self._req.request_id)
        if result.claim_result is ClaimResult.GRANTED and self._refusal is not None:
            raise self._refusal
        raise _refusal_for(result.claim_result)


def _recorded_answer(outcome: Outcome, request_id: str) -> OrderAnswer:
    if outcome.body is None:
        detail = "the order ran and its answer was too long to keep"
        raise Refusal(RefusalReason.ORDER_ANSWER_NOT_KEPT, Ran.RAN, detail)
    headers = (
        ("Content-Type", outcome.content_type),
        ("Content-Length", str(len(outcome.body))),
        ("X-Request-Id", request_id),
        ("X-Order-Recorded", "true"),
    )
    return OrderAnswer(outcome.status, headers, iter([outcome.body]))


def _refusal_for(claim_result: ClaimResult) -> Refusal:
    reason, ran, detail = _REFUSAL_BY_CLAIM_RESULT[claim_result]
    is_temporary = reason.status in (409, 503)
    return Refusal(reason, ran, detail, RETRY_AFTER_MS if is_temporary else None)


_REFUSAL_BY_CLAIM_RESULT = {
    ClaimResult.CLAIMED_BEFORE: (
        RefusalReason.ORDER_OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
        "an earlier transmission of this order has no recorded outcome",
    ),
    ClaimResult.KEY_REUSED: (
        RefusalReason.ORDER_KEY_REUSED,
        Ran.NOT_RUN,
        "the key belongs to an order with another content",
    ),
    ClaimResult.KEY_EXPIRED: (
        RefusalReason.ORDER_KEY_EXPIRED,
        Ran.UNKNOWN,
        "the key is older than the records of orders",
    ),
    ClaimResult.KEY_FROM_FUTURE: (
        RefusalReason.ORDER_KEY_FROM_FUTURE,
        Ran.NOT_RUN,
        "the time in the key has not come yet",
    ),
    ClaimResult.SHARD_FULL: (
        RefusalReason.ORDER_RECORDS_FULL,
        Ran.NOT_RUN,
        "there is no room to record the order",
    ),
    ClaimResult.STORE_UNAVAILABLE: (
        RefusalReason.ORDER_RECORDS_UNAVAILABLE,
        Ran.NOT_RUN,
        "the order cannot be recorded now",
    ),
}


def _header_value(headers: tuple[tuple[str, str], ...], name: str) -> str:
    for key, value in headers:
        if key.lower() == name:
            return value
    return "application/octet-stream"
