"""Test that retries depend on the request kind, the failure, the time left and the budget."""

import random

import pytest

from chervilmill.requests import FailedAttempt, Failure, RequestKind, RetryBudget, decide_retry

GET, ORDER, PUT = RequestKind.IDEMPOTENT, RequestKind.ORDER, RequestKind.UPLOAD


@pytest.mark.parametrize(
    ("failed", "is_retried"),
    [
        (FailedAttempt(GET, Failure.LOST, 1, 10.0), True),
        (FailedAttempt(GET, Failure.SHED, 1, 10.0), True),
        (FailedAttempt(GET, Failure.CONNECT_FAILED, 2, 10.0), True),
        (FailedAttempt(GET, Failure.LOST, 3, 10.0), False),
        (FailedAttempt(GET, Failure.LOST, 1, 0.003), False),
        (FailedAttempt(GET, Failure.REFUSED_BY_DEADLINE, 1, 10.0), False),
        (FailedAttempt(GET, Failure.NO_TARGET, 1, 10.0), False),
        (FailedAttempt(GET, Failure.QUARANTINED, 1, 10.0), False),
        (FailedAttempt(GET, Failure.CANCELLED, 1, 10.0), False),
        (FailedAttempt(PUT, Failure.LOST, 1, 10.0), False),
        (FailedAttempt(PUT, Failure.CONNECT_FAILED, 1, 10.0), True),
        (FailedAttempt(PUT, Failure.SHED, 1, 10.0, can_resend=False), False),
        (FailedAttempt(ORDER, Failure.LOST, 1, 10.0), False),
        (FailedAttempt(ORDER, Failure.SHED, 1, 10.0), True),
    ],
)
def test_which_failed_attempts_are_retried(failed: FailedAttempt, is_retried: bool) -> None:
    retry = decide_retry(failed, RetryBudget(), random.Random(1))
    assert (retry is not None) is is_retried


def test_pauses_before_retries_vary() -> None:
    failed, rng = FailedAttempt(GET, Failure.LOST, 1, 10.0), random.Random(1)
    pauses = {
        retry.after_s for _ in range(8) if (retry := decide_retry(failed, RetryBudget(), rng))
    }
    assert len(pauses) == 8


@pytest.mark.parametrize("marked_share", [0.0, 0.05, 0.5])
def test_steady_failure_sends_at_most_a_tenth_more_at_all_levels(marked_share: float) -> None:
    budget, rng = RetryBudget(), random.Random(1)
    marked = 0
    for _ in range(20_000):
        is_marked = rng.random() < marked_share
        marked += is_marked
        budget.count_request(is_marked)
        while budget.try_spend():
            pass
    first = budget.received - marked
    assert budget.extra + marked <= max(marked, 0.1 * first) + 10
