"""Decide whether a failed request is retried, within a budget that limits the extra load.

The budget follows the retry budgets of Finagle and the SRE book: each received request adds a
fraction to the balance, and each extra request takes 1 from it. Requests that callers mark as
retries are charged as well, so that retries at two levels do not multiply.
"""

import random
from dataclasses import dataclass
from enum import Enum

from chervilmill.reasons import RetryReason
from chervilmill.requests._kinds import RequestKind

EXTRA_SHARE = 0.09
MAX_BALANCE = 10.0
MAX_DEBT = 10.0
MAX_ATTEMPTS = 3
MIN_BACKOFF_S = 0.001
MAX_BACKOFF_S = 0.025
MIN_TIME_LEFT_S = 0.005


class Failure(Enum):
    """Ways in which an attempt fails."""

    CONNECT_FAILED = "connect_failed"
    SHED = "shed"
    LOST = "lost"
    CANCELLED = "cancelled"
    REFUSED_BY_DEADLINE = "refused_by_deadline"
    NO_TARGET = "no_target"
    QUARANTINED = "quarantined"

    @property
    def proves_not_run(self) -> bool:
        """Return whether this failure proves that the target did not run the request."""
        return self in (Failure.CONNECT_FAILED, Failure.SHED)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt to send a request.

    `number` counts the attempts from 1. `can_resend` is False once some part of the request body
    cannot be read again.
    """

    kind: RequestKind
    failure: Failure
    number: int
    time_left_s: float
    can_resend: bool = True


class RetryBudget:
    """Limits extra requests to a share of the received requests."""

    __slots__ = ("_balance", "extra", "received")

    def __init__(self) -> None:
        self._balance = MAX_BALANCE
        self.received = 0
        self.extra = 0

    def count_request(self, is_retry: bool) -> None:
        """Count a request from a caller; a request marked as a retry is charged to the budget."""
        self.received += 1
        if is_retry:
            self._balance = max(-MAX_DEBT, self._balance - 1.0)
            return
        self._balance = min(MAX_BALANCE, self._balance + EXTRA_SHARE)

    def try_spend(self) -> bool:
        """Return whether an extra request may be sent, and if so charge it to the budget."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        self.extra += 1
        return True


_REASON_BY_FAILURE = {
    Failure.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    Failure.SHED: RetryReason.TARGET_SHED,
    Failure.LOST: RetryReason.ANSWER_LOST,
}


@dataclass(frozen=True, slots=True)
class Retry:
    """The decision to send a request to another target after a pause."""

    reason: RetryReason
    after_s: float


def decide_retry(failed: FailedAttempt, budget: RetryBudget, rng: random.Random) -> Retry | None:
    """Return how to retry a request, or None if its failure is final."""
    reason = _REASON_BY_FAILURE.get(failed.failure)
    if reason is None or failed.number >= MAX_ATTEMPTS or not failed.can_resend:
        return None
    is_safe = failed.kind is RequestKind.IDEMPOTENT or failed.failure.proves_not_run
    if not is_safe or failed.time_left_s < MIN_TIME_LEFT_S:
        return None
    pause_s = rng.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S * failed.number)
    if pause_s >= failed.time_left_s - MIN_TIME_LEFT_S or not budget.try_spend():
        return None
    return Retry(reason, pause_s)
