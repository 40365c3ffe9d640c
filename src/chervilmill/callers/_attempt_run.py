"""Send one attempt to a target and classify its result."""

import time

from chervilmill.callers._answers import ForwardedAnswer
from chervilmill.callers._attempt import Attempt, AttemptFailure
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._service_state import ServiceState
from chervilmill.callers._upload_links import Links
from chervilmill.coordination import Vm
from chervilmill.metrics import Metrics
from chervilmill.reasons import DropReason, Ran, RefusalReason
from chervilmill.requests import (
    AttemptEnd,
    Failure,
    ReportedLoad,
    RequestKind,
    TargetCondition,
)
from chervilmill.targets import (
    Answer,
    AnswerCrossedError,
    AnswerLostError,
    AnswerShortError,
    Body,
    CancelReason,
    ExchangeCancelledError,
    TargetError,
    TargetRequest,
    Targets,
    TargetUnreachableError,
)

ATTEMPT_HEADER = "X-Attempt"
LOAD_HEADER = "x-target-load"
LIMIT_HEADER = "x-target-limit"
RETRY_AFTER_HEADER = "retry-after"
RAN_HEADER = "x-ran"
STATE_HEADER = "x-target-state"
STALL_THRESHOLD_S = 1.0
# A target cuts off an answer that is not read for some seconds. One that breaks off this long after
# its first part may have been cut off, so only a target that is down as well has lost it.
SLOW_READER_S = 1.0
_FIRST_FAILURE_STATUS = 500
_TRANSIENT_STATUSES = frozenset({502, 503, 504})


class AttemptRun:
    """Runs one attempt at a target where it holds a slot, and releases the slot at its end."""

    def __init__(
        self,
        targets: Targets,
        links: Links,
        metrics: Metrics,
        state: ServiceState,
        target: Vm,
        attempt: Attempt,
    ) -> None:
        self._targets = targets
        self._links = links
        self._metrics = metrics
        self._suspects = state.suspects
        self._slots = state.slots
        self._target = target
        self._attempt = attempt
        self._started_s = time.monotonic()
        self._first_part_s: float | None = None
        self._status = 0

    def answer(self) -> ForwardedAnswer:
        """Return the answer once its first part has arrived, or raise AttemptFailure."""
        self._suspects.record_start(self._attempt.fingerprint, self._target.name)
        answer: Answer | None = None
        try:
            answer = self._send_at_pace()
            self._status = answer.status
            self._record_target_headers(answer)
            self._check_status(answer)
            forwarded = ForwardedAnswer(answer, self._target.name, self._end_answer)
        except AttemptFailure:
            raise
        except BaseException as exc:
            if answer is not None:
                answer.close()
            if isinstance(exc, TargetError):
                raise self._failure_for_error(exc) from exc
            if _is_of_caller(exc) or not isinstance(exc, Exception):
                self._end_attempt(AttemptEnd.CANCELLED)
                raise
            error = AnswerLostError(
                f"unforeseen error: {exc!r:.200}", step="send", peer=self._target.name
            )
            raise self._failure_for_error(error) from exc
        self._first_part_s = time.monotonic() - self._started_s
        return forwarded

    def _send(self, body: Body | None) -> Answer:
        attempt, req = self._attempt, self._attempt.req
        target_req = TargetRequest(
            request_id=req.request_id,
            method=req.method,
            path=req.path,
            headers=(*req.headers, (ATTEMPT_HEADER, str(attempt.number))),
            body=body,
            length=req.length,
            needs_new_connection=req.kind is RequestKind.ORDER,
            cancellation=attempt.cancellation,
        )
        return self._targets.send(self._target, target_req, req.deadline_s - time.monotonic())

    def _send_at_pace(self) -> Answer:
        attempt = self._attempt
        if attempt.body is None or attempt.req.kind is not RequestKind.UPLOAD:
            return self._send(attempt.body)
        link = self._links.begin_upload(self._target.region)
        try:
            return self._send(self._links.pace_body(attempt.body, link))
        finally:
            self._links.end_upload(link)

    def _record_target_headers(self, answer: Answer) -> None:
        limits = [value for name, value in answer.headers if name.lower() == LIMIT_HEADER]
        self._slots.record_limit(self._target.name, limits[0] if limits else None)
        for name, value in answer.headers:
            if name.lower() == LOAD_HEADER:
                self._record_load(value)
            elif name.lower() == RETRY_AFTER_HEADER and answer.status == 503:
                self._slots.record_pause(self._target.name, value)
            elif name.lower() == STATE_HEADER:
                self._record_condition(value)

    def _record_load(self, value: str) -> None:
        in_flight, _, slots = value.partition("/")
        if in_flight.isdecimal() and slots.isdecimal():
            self._slots.record_load(self._target.name, ReportedLoad(int(in_flight), int(slots)))

    def _record_condition(self, value: str) -> None:
        try:
            condition = TargetCondition(value)
        except ValueError:
            return
        self._slots.set_condition(self._target.name, condition)

    def _check_status(self, answer: Answer) -> None:
        """Raise AttemptFailure if the target shed the request, or failed and a retry is allowed.

        A 503 counts as shed only with the header that states that the request was not run.
        """
        states_not_run = any(
            name.lower() == RAN_HEADER and value == Ran.NOT_RUN.value
            for name, value in answer.headers
        )
        if answer.status == 503 and states_not_run:
            self._end_attempt(AttemptEnd.SHED, is_inconclusive=True)
            answer.close()
            raise self._new_failure(
                Failure.SHED, RefusalReason.TARGETS_BUSY, Ran.NOT_RUN, "the target shed the request"
            )
        is_idempotent = self._attempt.req.kind is RequestKind.IDEMPOTENT
        if is_idempotent and answer.status in _TRANSIENT_STATUSES:
            self._end_attempt(AttemptEnd.FAILED, is_inconclusive=True)
            answer.close()
            detail = f"the target answered with status {answer.status}"
            raise self._new_failure(Failure.LOST, RefusalReason.TARGET_FAILED, Ran.UNKNOWN, detail)

    def _failure_for_error(self, exc: TargetError) -> AttemptFailure:
        if isinstance(exc, TargetUnreachableError):
            self._suspects.record_unreachable(self._target, self._slots)
            self._end_attempt(AttemptEnd.UNREACHABLE)
            return self._new_failure(
                Failure.CONNECT_FAILED, RefusalReason.TARGET_FAILED, Ran.NOT_RUN, str(exc)
            )
        if isinstance(exc, ExchangeCancelledError):
            return self._cancelled_failure(exc)
        if time.monotonic() >= self._attempt.req.deadline_s:
            return self._deadline_failure()
        self._count_dropped(exc)
        is_crash = self._suspects.record_broken_exchange(
            self._attempt.fingerprint, self._target, self._slots, self._started_s
        )
        self._end_attempt(AttemptEnd.UNREACHABLE if is_crash else AttemptEnd.FAILED)
        failure = self._new_failure(
            Failure.LOST, RefusalReason.TARGET_FAILED, Ran.UNKNOWN, str(exc)
        )
        failure.is_crash = is_crash
        return failure

    def _cancelled_failure(self, exc: ExchangeCancelledError) -> AttemptFailure:
        if self._attempt.cancellation.reason is CancelReason.DEADLINE:
            return self._deadline_failure()
        if self._attempt.cancellation.reason is CancelReason.CALLER_GONE:
            self._record_unanswered()
        self._end_attempt(AttemptEnd.CANCELLED)
        return self._new_failure(
            Failure.CANCELLED, RefusalReason.CALLER_GONE, Ran.UNKNOWN, str(exc)
        )

    def _deadline_failure(self) -> AttemptFailure:
        self._record_unanswered()
        self._metrics.count_dropped(self._attempt.req.service, DropReason.STALLED)
        is_stalled = time.monotonic() - self._started_s >= STALL_THRESHOLD_S
        self._end_attempt(AttemptEnd.FAILED if is_stalled else AttemptEnd.CANCELLED)
        detail = "the deadline passed before the answer"
        return self._new_failure(
            Failure.REFUSED_BY_DEADLINE, RefusalReason.DEADLINE_EXCEEDED, Ran.UNKNOWN, detail
        )

    def _count_dropped(self, exc: TargetError) -> None:
        reason = _DROP_REASONS.get(type(exc))
        if reason is not None:
            self._metrics.count_dropped(self._attempt.req.service, reason)

    def _new_failure(
        self, failure: Failure, reason: RefusalReason, ran: Ran, detail: str
    ) -> AttemptFailure:
        is_temporary = reason.status in (502, 503)
        refusal = Refusal(reason, ran, detail, 1000 if is_temporary else None)
        return AttemptFailure(failure, refusal, self._target.name)

    def _end_answer(self, end: AttemptEnd) -> None:
        reason = self._attempt.cancellation.reason
        if reason is CancelReason.DEADLINE:
            self._record_unanswered()
            self._metrics.count_dropped(self._attempt.req.service, DropReason.STALLED)
        elif end is AttemptEnd.FAILED:
            self._metrics.count_dropped(self._attempt.req.service, DropReason.SHORT)
            self._record_broken_answer()
        is_inconclusive = end is AttemptEnd.ANSWERED and self._status >= _FIRST_FAILURE_STATUS
        self._end_attempt(end, is_inconclusive=is_inconclusive)

    def _record_broken_answer(self) -> None:
        """Record an answer that broke off, perhaps because its caller read it too slowly."""
        answering_s = time.monotonic() - self._started_s - (self._first_part_s or 0.0)
        if answering_s >= SLOW_READER_S:
            self._record_unanswered()
            return
        self._suspects.record_broken_exchange(
            self._attempt.fingerprint, self._target, self._slots, self._started_s
        )

    def _record_unanswered(self) -> None:
        self._suspects.record_unanswered(
            self._attempt.fingerprint, self._target, self._slots, self._started_s
        )

    def _end_attempt(self, end: AttemptEnd, *, is_inconclusive: bool = False) -> None:
        """End the attempt; it is inconclusive if the target refused or failed the request."""
        self._suspects.record_end(
            self._attempt.fingerprint,
            self._target.name,
            self._started_s,
            is_answered=end is AttemptEnd.ANSWERED and not is_inconclusive,
            is_inconclusive=is_inconclusive,
        )
        held_s = time.monotonic() - self._started_s
        self._slots.release(self._target.name, end, held_s, self._first_part_s)


def _is_of_caller(exc: BaseException) -> bool:
    """Return whether reading the caller's body raised an error."""
    return isinstance(exc, Refusal | OSError)


_DROP_REASONS: dict[type[TargetError], DropReason] = {
    AnswerCrossedError: DropReason.CROSSED,
    AnswerShortError: DropReason.SHORT,
    AnswerLostError: DropReason.LOST,
}
