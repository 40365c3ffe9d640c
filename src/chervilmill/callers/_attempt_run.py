"""Carry out one attempt at a target and judge what comes back."""

import time

from chervilmill.callers._answers import ForwardedAnswer
from chervilmill.callers._attempt import Attempt, AttemptFailure
from chervilmill.callers._links import Links
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._services import ServiceParts
from chervilmill.coordination import Vm
from chervilmill.metrics import Metrics
from chervilmill.reasons import DropReason, Ran, RefusalReason
from chervilmill.requests import (
    AttemptEnd,
    Failure,
    LoadReading,
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
RAN_HEADER = "x-ran"
STATE_HEADER = "x-target-state"
STALLED_S = 1.0
_TRANSIENT = frozenset({502, 503, 504})


class AttemptRun:
    """Carry out one attempt at a target whose place is taken."""

    def __init__(
        self,
        targets: Targets,
        links: Links,
        metrics: Metrics,
        parts: ServiceParts,
        target: Vm,
        attempt: Attempt,
    ) -> None:
        self._targets = targets
        self._links = links
        self._metrics = metrics
        self._suspects = parts.suspects
        self._places = parts.places
        self._target = target
        self._attempt = attempt
        self._started_s = time.monotonic()
        self._first_part_s: float | None = None

    def answer(self) -> ForwardedAnswer:
        self._suspects.started(self._attempt.fingerprint, self._target.name)
        answer: Answer | None = None
        try:
            answer = self._send_paced()
            self._learn(answer)
            self._check(answer)
            forwarded = ForwardedAnswer(answer, self._target.name, self._finish)
        except AttemptFailure:
            raise
        except BaseException as exc:
            if answer is not None:
                answer.close()
            if isinstance(exc, TargetError):
                raise self._failure_of(exc) from exc
            self._end(AttemptEnd.CANCELLED)
            raise
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

    def _send_paced(self) -> Answer:
        attempt = self._attempt
        if attempt.body is None or attempt.req.kind is not RequestKind.UPLOAD:
            return self._send(attempt.body)
        link = self._links.begin(self._target.region)
        try:
            return self._send(self._links.paced(attempt.body, link))
        finally:
            self._links.end(link)

    def _learn(self, answer: Answer) -> None:
        for name, value in answer.headers:
            if name.lower() == LOAD_HEADER:
                self._read_load(value)
            elif name.lower() == STATE_HEADER:
                self._read_state(value)

    def _read_load(self, value: str) -> None:
        in_flight, _, slots = value.partition("/")
        if in_flight.isdecimal() and slots.isdecimal():
            self._places.read(self._target.name, LoadReading(int(in_flight), int(slots)))

    def _read_state(self, value: str) -> None:
        try:
            condition = TargetCondition(value)
        except ValueError:
            return
        self._places.set_condition(self._target.name, condition)

    def _check(self, answer: Answer) -> None:
        """Raise AttemptFailure where the answer is a shed, or a failure that may be retried."""
        is_proved = any(
            name.lower() == RAN_HEADER and value == Ran.NOT_RUN.value
            for name, value in answer.headers
        )
        if answer.status == 503 and is_proved:
            self._end(AttemptEnd.SHED)
            answer.close()
            raise self._not_answered(
                Failure.SHED, RefusalReason.TARGETS_BUSY, Ran.NOT_RUN, "the target shed the request"
            )
        is_idempotent = self._attempt.req.kind is RequestKind.IDEMPOTENT
        if is_idempotent and answer.status in _TRANSIENT:
            self._end(AttemptEnd.FAILED)
            answer.close()
            detail = f"the target answered with status {answer.status}"
            raise self._not_answered(Failure.LOST, RefusalReason.TARGET_FAILED, Ran.UNKNOWN, detail)

    def _failure_of(self, exc: TargetError) -> AttemptFailure:
        if isinstance(exc, TargetUnreachableError):
            self._end(AttemptEnd.UNREACHABLE)
            return self._not_answered(
                Failure.CONNECT_FAILED, RefusalReason.TARGET_FAILED, Ran.NOT_RUN, str(exc)
            )
        if isinstance(exc, ExchangeCancelledError):
            return self._cancelled(exc)
        if time.monotonic() >= self._attempt.req.deadline_s:
            return self._deadline_passed()
        self._count_dropped(exc)
        is_crash = self._suspects.broken(self._attempt.fingerprint, self._target, self._places)
        self._end(AttemptEnd.UNREACHABLE if is_crash else AttemptEnd.FAILED)
        failure = self._not_answered(
            Failure.LOST, RefusalReason.TARGET_FAILED, Ran.UNKNOWN, str(exc)
        )
        failure.is_crash = is_crash
        return failure

    def _cancelled(self, exc: ExchangeCancelledError) -> AttemptFailure:
        if self._attempt.cancellation.reason is CancelReason.DEADLINE:
            return self._deadline_passed()
        self._end(AttemptEnd.CANCELLED)
        return self._not_answered(
            Failure.CANCELLED, RefusalReason.CALLER_GONE, Ran.UNKNOWN, str(exc)
        )

    def _deadline_passed(self) -> AttemptFailure:
        self._metrics.count_dropped(self._attempt.req.service, DropReason.STALLED)
        is_stalled = time.monotonic() - self._started_s >= STALLED_S
        self._end(AttemptEnd.FAILED if is_stalled else AttemptEnd.CANCELLED)
        detail = "the deadline passed before the answer"
        return self._not_answered(
            Failure.REFUSED_BY_DEADLINE, RefusalReason.DEADLINE_EXCEEDED, Ran.UNKNOWN, detail
        )

    def _count_dropped(self, exc: TargetError) -> None:
        reason = _DROP_REASONS.get(type(exc))
        if reason is not None:
            self._metrics.count_dropped(self._attempt.req.service, reason)

    def _not_answered(
        self, failure: Failure, reason: RefusalReason, ran: Ran, detail: str
    ) -> AttemptFailure:
        may_come_back = reason.status in (502, 503)
        refusal = Refusal(reason, ran, detail, 1000 if may_come_back else None)
        return AttemptFailure(failure, refusal, self._target.name)

    def _finish(self, end: AttemptEnd) -> None:
        reason = self._attempt.cancellation.reason
        if reason is CancelReason.DEADLINE:
            self._metrics.count_dropped(self._attempt.req.service, DropReason.STALLED)
        elif end is AttemptEnd.FAILED:
            self._metrics.count_dropped(self._attempt.req.service, DropReason.SHORT)
        self._end(end)

    def _end(self, end: AttemptEnd) -> None:
        is_answered = end is AttemptEnd.ANSWERED
        self._suspects.ended(self._attempt.fingerprint, self._target.name, is_answered=is_answered)
        held_s = time.monotonic() - self._started_s
        self._places.end(self._target.name, end, held_s, self._first_part_s)


_DROP_REASONS: dict[type[TargetError], DropReason] = {
    AnswerCrossedError: DropReason.CROSSED,
    AnswerShortError: DropReason.SHORT,
    AnswerLostError: DropReason.LOST,
}
