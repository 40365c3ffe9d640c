"""Update what is known of targets and requests from the results of attempts.

An attempt that times out while this VM's event loop is late shows nothing of its target, whose
answer may have waited in the socket. VMs that took it for a crash would have all others quarantine
requests that crashed nothing.
"""

from collections.abc import Callable

from chervilmill.entry._attempt import MISDIRECTED_STATUS, AttemptEnd, AttemptResult
from chervilmill.entry._crashes import CrashTracker
from chervilmill.entry._leaving import LeavingTracker
from chervilmill.entry._limits import LimitTracker
from chervilmill.entry._progress import Progress
from chervilmill.entry._reach import ReachTracker
from chervilmill.logs import log_failure, log_problem, log_request
from chervilmill.overload import Candidate, StatedPause, TargetFleet
from chervilmill.platform import AnswerHeaders
from chervilmill.requests import Lifetime
from chervilmill.routing import Target

# An attempt is overdue once it has taken this many times its expected time, and at least the
# objective of its route. A target that has answered nothing else meanwhile then counts as silent.
OVERDUE_FACTOR = 3.0
# A target cuts off an answer that is not read for some seconds. One that breaks off after the
# caller kept this VM waiting for a second in a row may have been cut off for that.
SLOW_READER_S = 1.0
MAX_LOGGED_PATH_CHARS = 120
MAX_LOGGED_TEXT_CHARS = 40


class OutcomeRecorder:
    """Records the results of attempts with the target fleet and the trackers.

    `was_late_since` returns whether the event loop was late since a time.
    """

    def __init__(
        self,
        fleet: TargetFleet,
        crashes: CrashTracker,
        limits: LimitTracker,
        leaving: LeavingTracker,
        reach: ReachTracker,
        was_late_since: Callable[[float], bool] = lambda _: False,
    ) -> None:
        self._was_late_since = was_late_since
        self._reach = reach
        self._fleet = fleet
        self._crashes = crashes
        self._limits = limits
        self._leaving = leaving

    def record_answer_headers(self, target: Target, headers: AnswerHeaders, now_s: float) -> None:
        """Record what the headers of an answer say of its target.

        Only an answer that the target vouches for can withdraw a limit.
        """
        lifetime = _lifetime(target)
        if headers.limit is not None or headers.is_sealed:
            self._limits.record_answer(lifetime, headers.limit, now_s)
        if headers.is_leaving:
            self._leaving.record_answer(lifetime, now_s)
        if headers.pause is not None:
            self._record_pause(lifetime, headers.pause, now_s)

    def _record_pause(self, lifetime: Lifetime, stated: StatedPause, now_s: float) -> None:
        if stated.pause_s is None:
            text = stated.text[:MAX_LOGGED_TEXT_CHARS]
            log_problem("pause refused", step="pause", peer=lifetime.target, text=text)
            return
        self._fleet.rates.pauses.record(lifetime, stated.pause_s, now_s)
        log_request("target pause", step="pause", target=lifetime.target, pause_s=stated.pause_s)

    def record_sent(self, progress: Progress, candidate: Candidate, now_s: float) -> None:
        """Record that a request is about to be sent to a candidate."""
        lifetime = _lifetime(candidate.record.target)
        self._crashes.record_sent(progress.fingerprint, lifetime, now_s)

    def record_result(
        self, progress: Progress, candidate: Candidate, result: AttemptResult, now_s: float
    ) -> None:
        """Record the result of an attempt."""
        sent_s = progress.sent_s if progress.sent_s is not None else now_s
        progress.sent_s = None
        took_s = now_s - sent_s
        record = candidate.record
        if result.end is AttemptEnd.WITHDRAWN:
            target = record.target.name
            self._crashes.record_inconclusive_end(progress.fingerprint, target, sent_s)
            return
        if result.connect_s is not None:
            took_s -= result.connect_s
            self._fleet.record_round_trip(record.target.failure_domain, result.connect_s)
        if result.end is not AttemptEnd.NOT_SENT:
            progress.sent_count += 1
        if not result.proves_not_run:
            progress.may_have_run = True
        if result.load is not None:
            total, percent = result.load.running + result.load.waiting, result.load.work_percent
            work_ratio = None if percent is None else percent / 100
            self._fleet.record_load(record, total, now_s, work_ratio)
        is_void = result.has_timed_out and self._was_late_since(sent_s)
        if is_void:
            target = record.target.name
            self._crashes.record_inconclusive_end(progress.fingerprint, target, sent_s)
        else:
            self._reach.record_result(record.target, result)
        if not is_void and not self._reach.is_cut_off:
            self._update_target(candidate, result, sent_s, now_s)
            self._update_crashes(progress, candidate, result, sent_s, now_s)
        if _is_success(result):
            self._fleet.record_answer(progress.affinity_workload, candidate, took_s, now_s)
            return
        log_failure(
            "attempt failed",
            step="send",
            request=progress.request_headers.request_id,
            target=record.target.name,
            end=result.end.value,
            detail=result.detail,
            status=result.status,
            **progress.basis.log_fields(),
            fingerprint=progress.fingerprint.hex(),
            caller=progress.caller.host,
            path=progress.path[:MAX_LOGGED_PATH_CHARS],
            took_s=round(took_s, 4),
        )

    def record_timeout(self, progress: Progress, now_s: float) -> None:
        """Record that a request ran out of time while a target was working on it.

        A timeout says nothing about a target that had too little time or that had not received the
        whole request, so nothing is recorded about the target in these cases.
        """
        candidate, attempt = progress.last_candidate, progress.attempt
        if attempt is None or candidate is None or not progress.outgoing.body.is_complete:
            return
        if progress.caller.has_begun_answer:  # the target has answered, and its caller is slow
            return
        sent_s = progress.sent_s if progress.sent_s is not None else now_s
        if now_s - sent_s >= overdue_after_s(progress, candidate):
            self.record_result(progress, candidate, attempt.result_if_abandoned, now_s)
        else:
            self.record_unanswered(progress, now_s)

    def record_unanswered(self, progress: Progress, now_s: float) -> None:
        """Record that a target has not answered a whole request that it received.

        The request may have crashed the target, whether its caller still waits or not, or its work
        is slow. Signs of the target tell which.
        """
        candidate, attempt = progress.last_candidate, progress.attempt
        is_whole = progress.outgoing.body.is_complete and not progress.caller.has_begun_answer
        if attempt is None or candidate is None or not attempt.is_sent or not is_whole:
            return
        sent_s = progress.sent_s if progress.sent_s is not None else now_s
        if not self._was_late_since(sent_s):
            self._record_unanswered(progress, candidate, sent_s, now_s)

    def _update_target(
        self, candidate: Candidate, result: AttemptResult, sent_s: float, now_s: float
    ) -> None:
        record = candidate.record
        record.record_result(now_s, has_failed=not _is_success(result))
        is_silent = result.end is AttemptEnd.OVERDUE and record.last_answer_s < sent_s
        is_misdirected = result.status == MISDIRECTED_STATUS
        if result.end is AttemptEnd.NOT_SENT or is_misdirected or is_silent:
            record.eject(now_s)

    def _update_crashes(
        self,
        progress: Progress,
        candidate: Candidate,
        result: AttemptResult,
        sent_s: float,
        now_s: float,
    ) -> None:
        target = candidate.record.target.name
        if result.proves_not_run or _is_failure_status(result):
            self._crashes.record_inconclusive_end(progress.fingerprint, target, sent_s)
        match result.end:
            case AttemptEnd.NOT_SENT if _has_failed_to_connect(result):
                self._crashes.record_crash(target, now_s)
            case AttemptEnd.BROKEN_OFF if _may_be_held_up(result):
                self._record_unanswered(progress, candidate, sent_s, now_s)
            case AttemptEnd.LOST | AttemptEnd.BROKEN_OFF:
                self._record_loss(progress, candidate, sent_s, now_s)
            case AttemptEnd.OVERDUE:
                self._record_unanswered(progress, candidate, sent_s, now_s)
            case AttemptEnd.ANSWERED if not _is_failure_status(result):
                self._crashes.record_answer(progress.fingerprint, target, sent_s, now_s)

    def _record_loss(
        self, progress: Progress, candidate: Candidate, sent_s: float, now_s: float
    ) -> None:
        lifetime = _lifetime(candidate.record.target)
        self._crashes.record_loss(progress.fingerprint, lifetime, sent_s, now_s)

    def _record_unanswered(
        self, progress: Progress, candidate: Candidate, sent_s: float, now_s: float
    ) -> None:
        lifetime = _lifetime(candidate.record.target)
        self._crashes.record_unanswered(progress.fingerprint, lifetime, sent_s, now_s)


def overdue_after_s(progress: Progress, candidate: Candidate) -> float:
    """Return how many seconds after its start an attempt becomes overdue."""
    return max(OVERDUE_FACTOR * candidate.expected_answer_s, progress.route.objective_s)


def _lifetime(target: Target) -> Lifetime:
    return Lifetime(target.name, target.incarnation)


def _is_success(result: AttemptResult) -> bool:
    return result.end is AttemptEnd.ANSWERED and result.status < 500


def _has_failed_to_connect(result: AttemptResult) -> bool:
    """Return whether a connection was refused or not established within its own timeout.

    An attempt that is given up while it still connects shows nothing of its target.
    """
    return not result.has_timed_out or bool(result.detail)


def _may_be_held_up(result: AttemptResult) -> bool:
    """Return whether an answer broke off that its caller or a slow target may have held up."""
    return result.has_timed_out or result.reader_wait_s >= SLOW_READER_S


def _is_failure_status(result: AttemptResult) -> bool:
    """Return whether the target answered that it failed, perhaps before the run was complete."""
    return result.end is AttemptEnd.ANSWERED and result.status >= 500
