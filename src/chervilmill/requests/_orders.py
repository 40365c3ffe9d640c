"""Run an order at most once: claim it, send it once, record its outcome.

A claim never passes to another transmission. A node that stops between claim and outcome leaves
an order whose outcome is unknown, and that is what every resend is told.
"""

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum

from chervilmill.requests._order_model import OrderKey, Outcome
from chervilmill.requests._order_shard import Claim, ClaimReply, Finish, Release, Standing

MAX_SENDS = 3


class OrderState(Enum):
    """Name how far an order has come at the node that runs it."""

    CLAIMING = "claiming"
    CLAIMED = "claimed"
    SENT = "sent"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Send:
    """Send the order to a target; answered by Answered or SendFailure."""


@dataclass(frozen=True, slots=True)
class Answered:
    """Report the whole answer of a target."""

    outcome: Outcome


class SendFailure(Enum):
    """Say how a send failed."""

    NOT_RUN = "not_run"
    NOT_RUN_FINAL = "not_run_final"
    LOST = "lost"


OrderAction = Claim | Send | Finish | Release
OrderEvent = ClaimReply | Answered | SendFailure | None


class OrderEnd(Enum):
    """Say what the caller is told."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Hold the end of one transmission of an order; `standing` is that of its claim."""

    end: OrderEnd
    standing: Standing
    outcome: Outcome | None = None


class OrderRun:
    """Drive one transmission of an order; `state` tells how far it has come."""

    __slots__ = ("key", "nonce", "state")

    def __init__(self, key: OrderKey, nonce: bytes) -> None:
        self.key = key
        self.nonce = nonce
        self.state = OrderState.CLAIMING

    def steps(self) -> Generator[OrderAction, OrderEvent, OrderResult]:
        """Yield the actions of the transmission and return its end.

        Only after SendFailure.NOT_RUN, the proof that nothing was run, is a second Send yielded.
        """
        reply = yield Claim(self.key, self.nonce)
        assert isinstance(reply, ClaimReply)
        if reply.standing is not Standing.GRANTED:
            return _resend_result(reply)
        self.state = OrderState.CLAIMED
        event = yield from self._send()
        if isinstance(event, Answered):
            self.state = OrderState.FINISHED
            yield Finish(self.key, self.nonce, event.outcome)
            return OrderResult(OrderEnd.ANSWERED, reply.standing, event.outcome)
        if event is SendFailure.LOST:
            return OrderResult(OrderEnd.UNKNOWN, reply.standing)
        yield Release(self.key, self.nonce)
        return OrderResult(OrderEnd.NOT_RUN, reply.standing)

    def _send(self) -> Generator[OrderAction, OrderEvent, OrderEvent]:
        event: OrderEvent = SendFailure.NOT_RUN
        for _ in range(MAX_SENDS):
            self.state = OrderState.SENT
            event = yield Send()
            if event is not SendFailure.NOT_RUN:
                return event
            self.state = OrderState.CLAIMED
        return event


def _resend_result(reply: ClaimReply) -> OrderResult:
    if reply.standing is Standing.FINISHED_BEFORE:
        return OrderResult(OrderEnd.ANSWERED, reply.standing, reply.outcome)
    if reply.standing is Standing.STORE_UNAVAILABLE:
        return OrderResult(OrderEnd.NOT_RUN, reply.standing)
    return OrderResult(OrderEnd.REFUSED, reply.standing)
