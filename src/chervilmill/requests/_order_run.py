"""Run an order at most once: claim it, send it once and record its outcome.

A claim never passes to another transmission. If an entry VM stops between the claim and the
outcome, the outcome of the order stays unknown. Every later transmission of the order is told so.
"""

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum

from chervilmill.requests._order_model import OrderKey, Outcome
from chervilmill.requests._order_shard import (
    Claim,
    ClaimReply,
    ClaimResult,
    RecordOutcome,
    ReleaseClaim,
)

MAX_SENDS = 3


class OrderState(Enum):
    """States of an order at the entry VM that runs it."""

    CLAIMING = "claiming"
    CLAIMED = "claimed"
    SENT = "sent"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Send:
    """An action that sends the order to a target; the reply is AnswerReceived or a SendFailure."""


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """An event that reports the complete answer of a target."""

    outcome: Outcome


class SendFailure(Enum):
    """Ways in which a send fails.

    After NOT_RUN and NOT_RUN_FINAL it is proven that the target did not run the order. Only after
    NOT_RUN may the order be sent again. After LOST the target may have run the order.
    """

    NOT_RUN = "not_run"
    NOT_RUN_FINAL = "not_run_final"
    LOST = "lost"


OrderAction = Claim | Send | RecordOutcome | ReleaseClaim
OrderEvent = ClaimReply | AnswerReceived | SendFailure | None


class OrderEnd(Enum):
    """Results of an order as its caller is told."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The result of one transmission of an order; `claim_result` is that of its claim."""

    end: OrderEnd
    claim_result: ClaimResult
    outcome: Outcome | None = None


class OrderRun:
    """State machine of one transmission of an order; `state` is its progress."""

    __slots__ = ("key", "nonce", "state")

    def __init__(self, key: OrderKey, nonce: bytes) -> None:
        self.key = key
        self.nonce = nonce
        self.state = OrderState.CLAIMING

    def steps(self) -> Generator[OrderAction, OrderEvent, OrderResult]:
        """Yield the actions of the transmission and return its result.

        Send is yielded again only after SendFailure.NOT_RUN, which proves that the target did not
        run the order.
        """
        reply = yield Claim(self.key, self.nonce)
        assert isinstance(reply, ClaimReply)
        if reply.result is not ClaimResult.GRANTED:
            return _result_without_send(reply)
        self.state = OrderState.CLAIMED
        event = yield from self._send_with_retries()
        if isinstance(event, AnswerReceived):
            self.state = OrderState.FINISHED
            yield RecordOutcome(self.key, self.nonce, event.outcome)
            return OrderResult(OrderEnd.ANSWERED, reply.result, event.outcome)
        if event is SendFailure.LOST:
            return OrderResult(OrderEnd.UNKNOWN, reply.result)
        yield ReleaseClaim(self.key, self.nonce)
        return OrderResult(OrderEnd.NOT_RUN, reply.result)

    def _send_with_retries(self) -> Generator[OrderAction, OrderEvent, OrderEvent]:
        event: OrderEvent = SendFailure.NOT_RUN
        for _ in range(MAX_SENDS):
            self.state = OrderState.SENT
            event = yield Send()
            if event is not SendFailure.NOT_RUN:
                return event
            self.state = OrderState.CLAIMED
        return event


def _result_without_send(reply: ClaimReply) -> OrderResult:
    if reply.result is ClaimResult.FINISHED_BEFORE:
        return OrderResult(OrderEnd.ANSWERED, reply.result, reply.outcome)
    if reply.result is ClaimResult.STORE_UNAVAILABLE:
        return OrderResult(OrderEnd.NOT_RUN, reply.result)
    return OrderResult(OrderEnd.REFUSED, reply.result)
