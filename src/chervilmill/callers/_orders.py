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
    Answered,
    Claim,
    ClaimReply,
    Finish,
    OrderAction,
    OrderEnd,
    OrderEvent,
    OrderKey,
    OrderResult,
    OrderRun,
    Outcome,
    Release,
    SendFailure,
    Standing,
    order_key,
)
from chervilmill.targets import TargetError

MAX_ORDER_BYTES = 1024**2
CLAIM_TIMEOUT_S = 5.0
RETRY_AFTER_MS = 1000
NONCE_BYTES = 12


class Ledger(Protocol):
    """Keep the records of orders."""

    def claim(self, claim: Claim, timeout_s: float) -> ClaimReply:
        """Return the standing of a claim, at the latest after the timeout."""
        ...

    def record(self, change: Finish | Release) -> None:
        """Record an outcome or give a claim back, in the background."""
        ...

    def set_node_count(self, nodes: int) -> None:
        """Take this node's share of the writes that orders may cost, among so many nodes."""
        ...


class OrderAnswer:
    """Hold the answer of an order: its first part in memory, the rest as it arrives."""

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
        """End the exchange with the target."""
        if self._forwarded is not None:
            self._forwarded.close()


class Orders:
    """Run orders against the ledger and the targets."""

    def __init__(self, ledger: Ledger, attempts: Attempts, owners: OrderOwners) -> None:
        self._ledger = ledger
        self._attempts = attempts
        self._owners = owners

    def run(self, req: CallerRequest) -> CallerAnswer:
        """Return the answer of the one run of an order, or raise Refusal."""
        if req.length > MAX_ORDER_BYTES:
            detail = f"an order has at most {MAX_ORDER_BYTES} bytes"
            raise Refusal(RefusalReason.BODY_TOO_LARGE, Ran.NOT_RUN, detail)
        body = req.body.read_whole()
        key = order_key(req.service, req.idempotency_key or "", req.method, req.path, body)
        self._ledger.set_node_count(self._owners.count())
        passed_on = self._owners.pass_on(req, key, body)
        if passed_on is not None:
            return passed_on
        return _Transmission(req, key, body, self._ledger, self._attempts).run()


class _Transmission:
    """Carry out the actions of one OrderRun."""

    def __init__(
        self, req: CallerRequest, key: OrderKey, body: bytes, ledger: Ledger, attempts: Attempts
    ) -> None:
        self._req = req
        self._key = key
        self._body = body
        self._ledger = ledger
        self._attempts = attempts
        self._tried: list[str] = []
        self._answer: OrderAnswer | None = None
        self._refusal: Refusal | None = None

    def run(self) -> OrderAnswer:
        steps = OrderRun(self._key, secrets.token_bytes(NONCE_BYTES)).steps()
        try:
            action = next(steps)
            while True:
                action = steps.send(self._carry_out(action))
        except StopIteration as stop:
            return self._end(stop.value)

    def _carry_out(self, action: OrderAction) -> OrderEvent:
        if isinstance(action, Claim):
            remaining_s = self._req.deadline_s - time.monotonic()
            return self._ledger.claim(action, min(CLAIM_TIMEOUT_S, remaining_s))
        if isinstance(action, Finish | Release):
            self._ledger.record(action)
            return None
        return self._send()

    def _send(self) -> Answered | SendFailure:
        attempt = Attempt(
            self._req,
            io.BytesIO(self._body),
            self._req.cancellation,
            self._key.fingerprint,
            len(self._tried) + 1,
            tuple(self._tried),
        )
        try:
            forwarded = self._attempts.send(attempt)
        except AttemptFailure as failure:
            return self._failed(failure)
        try:
            return self._read(forwarded)
        except TargetError as exc:
            forwarded.close()
            self._refusal = Refusal(RefusalReason.TARGET_FAILED, Ran.UNKNOWN, str(exc))
            return SendFailure.LOST

    def _failed(self, failure: AttemptFailure) -> SendFailure:
        is_first = not self._tried
        if failure.target is not None or is_first:
            self._refusal = failure.refusal
        if failure.refusal.ran is not Ran.NOT_RUN:
            return SendFailure.LOST
        if failure.target is None:
            return SendFailure.NOT_RUN_FINAL
        self._tried.append(failure.target)
        return SendFailure.NOT_RUN

    def _read(self, forwarded: ForwardedAnswer) -> Answered:
        parts, head, size = iter(forwarded), [], 0
        is_whole = True
        for part in parts:
            head.append(part)
            size += len(part)
            if size > MAX_OUTCOME_BYTES:
                is_whole = False
                break
        self._answer = OrderAnswer(
            forwarded.status, forwarded.headers, chain(head, parts), forwarded
        )
        content_type = _header(forwarded.headers, "content-type")
        body = b"".join(head) if is_whole else None
        return Answered(Outcome(forwarded.status, content_type, body))

    def _end(self, result: OrderResult) -> OrderAnswer:
        if result.end is OrderEnd.ANSWERED and self._answer is not None:
            return self._answer
        if result.end is OrderEnd.ANSWERED and result.outcome is not None:
            return _recorded(result.outcome, self._req.request_id)
        if result.standing is Standing.GRANTED and self._refusal is not None:
            raise self._refusal
        raise _refusal_of(result.standing)


def _recorded(outcome: Outcome, request_id: str) -> OrderAnswer:
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


def _refusal_of(standing: Standing) -> Refusal:
    reason, ran, detail = _REFUSALS[standing]
    may_come_back = reason.status in (409, 503)
    return Refusal(reason, ran, detail, RETRY_AFTER_MS if may_come_back else None)


_REFUSALS = {
    Standing.CLAIMED_BEFORE: (
        RefusalReason.ORDER_OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
        "an earlier transmission of this order has no recorded outcome",
    ),
    Standing.KEY_REUSED: (
        RefusalReason.ORDER_KEY_REUSED,
        Ran.NOT_RUN,
        "the key belongs to an order with another content",
    ),
    Standing.KEY_EXPIRED: (
        RefusalReason.ORDER_KEY_EXPIRED,
        Ran.UNKNOWN,
        "the key is older than the records of orders",
    ),
    Standing.KEY_FROM_FUTURE: (
        RefusalReason.ORDER_KEY_FROM_FUTURE,
        Ran.NOT_RUN,
        "the time in the key has not come yet",
    ),
    Standing.SHARD_FULL: (
        RefusalReason.ORDER_RECORDS_FULL,
        Ran.NOT_RUN,
        "there is no room to record the order",
    ),
    Standing.STORE_UNAVAILABLE: (
        RefusalReason.ORDER_RECORDS_UNAVAILABLE,
        Ran.NOT_RUN,
        "the order cannot be recorded now",
    ),
}


def _header(headers: tuple[tuple[str, str], ...], name: str) -> str:
    for key, value in headers:
        if key.lower() == name:
            return value
    return "application/octet-stream"
