"""Retry failed requests, and hedge late requests at a second target."""

import queue
import random
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from chervilmill.callers._answers import ForwardedAnswer
from chervilmill.callers._attempt import Attempt, AttemptFailure, body_of
from chervilmill.callers._attempts import Attempts
from chervilmill.callers._checked_body import CheckedBody
from chervilmill.callers._request import CallerRequest
from chervilmill.callers._service_state import RetryState, ServiceState
from chervilmill.callers._watch import CallerWatch
from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.reasons import Ran, RetryReason
from chervilmill.requests import (
    FailedAttempt,
    RequestKind,
    decide_retry,
    request_fingerprint,
)
from chervilmill.targets import CancelReason

HEDGE_THREADS = 16
HEDGE_ATTEMPT_NUMBER = 2


class Retries:
    """Runs idempotent requests and uploads, with retries and hedges within the retry budget."""

    def __init__(
        self,
        attempts: Attempts,
        services: Mapping[str, ServiceState],
        watch: CallerWatch,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._attempts = attempts
        self._services = services
        self._watch = watch
        self._metrics = metrics
        self._rng = rng
        self._hedges = ThreadPoolExecutor(HEDGE_THREADS, thread_name_prefix="hedge")

    def run(self, req: CallerRequest) -> ForwardedAnswer:
        """Return the first answer of any attempt, or raise Refusal."""
        retry_state = self._services[req.service].retry_state
        with retry_state.lock:
            retry_state.budget.count_request(req.is_retry)
        body = body_of(req)
        fingerprint = request_fingerprint(
            req.service, req.method, req.path, str(req.length), req.client
        )
        tried_targets: list[str] = []
        number = 1
        may_have_run = False
        while True:
            attempt = Attempt(
                req, body, req.cancellation, fingerprint, number, tuple(tried_targets)
            )
            try:
                return self._send(attempt, retry_state)
            except AttemptFailure as failure:
                if failure.target is not None:
                    tried_targets.append(failure.target)
                may_have_run = may_have_run or failure.refusal.ran is not Ran.NOT_RUN
                failure.refusal = failure.refusal.with_other_attempts(may_have_run)
                self._pause_before_retry(attempt, failure, retry_state, body)
            number += 1

    def _pause_before_retry(
        self,
        attempt: Attempt,
        failure: AttemptFailure,
        retry_state: RetryState,
        body: CheckedBody | None,
    ) -> None:
        req = attempt.req
        failed = FailedAttempt(
            kind=req.kind,
            failure=failure.failure,
            number=attempt.number,
            time_left_s=req.deadline_s - time.monotonic(),
            can_resend=body is None or body.is_unread,
        )
        with retry_state.lock:
            retry = decide_retry(failed, retry_state.budget, self._rng)
        if retry is None:
            raise failure.refusal from failure
        self._metrics.count_retry(req.service, retry.reason)
        time.sleep(retry.after_s)

    def _send(self, attempt: Attempt, retry_state: RetryState) -> ForwardedAnswer:
        started_s = time.monotonic()
        if attempt.req.kind is RequestKind.IDEMPOTENT and attempt.number == 1:
            answer = self._send_hedged(attempt, retry_state)
        else:
            answer = self._attempts.send(attempt)
        with retry_state.lock:
            retry_state.hedge.observe(time.monotonic() - started_s)
        return answer

    def _send_hedged(self, attempt: Attempt, retry_state: RetryState) -> ForwardedAnswer:
        with retry_state.lock:
            delay_s = retry_state.hedge.delay_s()
        if delay_s is None:
            return self._attempts.send(attempt)
        return _HedgedAttempt(self._attempts, attempt, self._may_hedge(attempt, retry_state)).run(
            self._watch, self._hedges, delay_s
        )

    def _may_hedge(self, attempt: Attempt, retry_state: RetryState) -> Callable[[], bool]:
        def may_hedge() -> bool:
            with retry_state.lock:
                is_allowed = retry_state.budget.try_spend()
            if is_allowed:
                self._metrics.count_retry(attempt.req.service, RetryReason.HEDGE)
            return is_allowed

        return may_hedge


class _HedgedAttempt:
    """Runs an attempt and, if it is late, a second one; the first answer wins."""

    def __init__(self, attempts: Attempts, attempt: Attempt, may_hedge: Callable[[], bool]) -> None:
        self._attempts = attempts
        self._first = replace(attempt, cancellation=attempt.cancellation.child())
        self._second = replace(
            attempt,
            cancellation=attempt.cancellation.child(),
            number=HEDGE_ATTEMPT_NUMBER,
            taken_targets=[],
        )
        self._may_hedge = may_hedge
        self._result: queue.SimpleQueue[ForwardedAnswer | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._is_decided = False
        self._has_hedge = False
        self._hedge_may_have_run = False

    def run(
        self, watch: CallerWatch, hedges: ThreadPoolExecutor, delay_s: float
    ) -> ForwardedAnswer:
        timer = watch.call_at(time.monotonic() + delay_s, lambda: self._start_hedge(hedges))
        try:
            answer = self._attempts.send(self._first)
        except AttemptFailure as failure:
            if failure.is_crash:
                self._second.cancellation.cancel(CancelReason.HEDGE_LOST)
            return self._hedge_answer(failure)
        finally:
            timer.close()
        if self._try_to_win():
            self._second.cancellation.cancel(CancelReason.HEDGE_LOST)
            return answer
        answer.close()
        return self._hedge_answer(None)

    def _start_hedge(self, hedges: ThreadPoolExecutor) -> None:
        with self._lock:
            is_sent = bool(self._first.taken_targets)
            if self._is_decided or not is_sent or not self._may_hedge():
                return
            self._has_hedge = True
        hedges.submit(self._run_hedge)

    def _run_hedge(self) -> None:
        kept: ForwardedAnswer | None = None
        try:
            excluded = (*self._second.excluded, *self._first.taken_targets)
            answer = self._attempts.send(replace(self._second, excluded=excluded))
            if self._try_to_win():
                self._first.cancellation.cancel(CancelReason.HEDGE_LOST)
                kept = answer
            else:
                answer.close()
        except AttemptFailure as failure:
            self._hedge_may_have_run = failure.refusal.ran is not Ran.NOT_RUN
            log_event("hedge failed", step="hedge", peer=failure.target, error=str(failure))
        finally:
            self._result.put(kept)

    def _try_to_win(self) -> bool:
        with self._lock:
            is_first = not self._is_decided
            self._is_decided = True
            return is_first

    def _hedge_answer(self, failure: AttemptFailure | None) -> ForwardedAnswer:
        """Return the answer of the hedge, or raise the failure of the first attempt.

        If no hedge was started, none can start from now on.
        """
        with self._lock:
            has_hedge = self._has_hedge
            self._is_decided = self._is_decided or not has_hedge
        answer = self._result.get() if has_hedge else None
        if answer is not None:
            return answer
        assert failure is not None
        failure.refusal = failure.refusal.with_other_attempts(self._hedge_may_have_run)
        raise failure
