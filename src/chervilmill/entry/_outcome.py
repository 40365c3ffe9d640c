"""Learn from how the attempts at a target ended."""

from chervilmill.entry._attempt import AttemptEnd, AttemptResult
from chervilmill.entry._crashes import CrashWatch
from chervilmill.entry._progress import Progress
from chervilmill.logs import log_failure
from chervilmill.overload import Candidate, TargetFleet

OVERDUE = 3.0  # times what was expected, after which a target is taken for silent
MISDIRECTED = 421  # the status of a target that is not the one named


class OutcomeLearner:
    """Turn the ends of attempts into beliefs about targets and requests."""

    def __init__(self, fleet: TargetFleet, crashes: CrashWatch) -> None:
        self._fleet = fleet
        self._crashes = crashes

    def learn(
        self, progress: Progress, candidate: Candidate, result: AttemptResult, now_s: float
    ) -> None:
        """Take in the end of an attempt."""
        sent_s = progress.sent_s if progress.sent_s is not None else now_s
        progress.sent_s = None
        took_s = now_s - sent_s
        record = candidate.record
        if result.connect_s is not None:
            took_s -= result.connect_s
            self._fleet.learn_round_trip(record.target.failure_domain, result.connect_s)
        if result.end is not AttemptEnd.NOT_SENT:
            progress.sends += 1
        if not result.proves_not_run:
            progress.may_have_run = True
        if result.load is not None:
            self._fleet.learn_load(record, result.load.running + result.load.waiting, now_s)
        self._learn_target(candidate, result, sent_s, now_s)
        self._learn_request(progress, candidate, result, now_s)
        if _is_good(result):
            self._fleet.learn(progress.placement, candidate, took_s, now_s)
            return
        log_failure(
            "attempt failed",
            step="send",
            request=progress.facts.request_id,
            target=record.target.name,
            end=result.end.value,
            status=result.status,
            detail=result.detail,
            took_s=round(took_s, 4),
        )

    def time_out(self, progress: Progress, now_s: float) -> None:
        """Take in that a request's time ended while a target had it.

        A target that had too little time, or not the whole request, says nothing about itself by
        that.
        """
        candidate, attempt = progress.last, progress.attempt
        if attempt is None or candidate is None or not progress.outgoing.body.is_whole:
            return
        sent_s = progress.sent_s if progress.sent_s is not None else now_s
        if now_s - sent_s >= overdue_after_s(progress, candidate):
            self.learn(progress, candidate, attempt.given_up, now_s)

    def _learn_target(
        self, candidate: Candidate, result: AttemptResult, sent_s: float, now_s: float
    ) -> None:
        record = candidate.record
        record.learn_failure(now_s, has_failed=not _is_good(result))
        is_silent = result.end is AttemptEnd.OVERDUE and record.answered_s < sent_s
        is_misdirected = result.status == MISDIRECTED
        if result.end is AttemptEnd.NOT_SENT or is_misdirected or is_silent:
            record.eject(now_s)

    def _learn_request(
        self, progress: Progress, candidate: Candidate, result: AttemptResult, now_s: float
    ) -> None:
        target = candidate.record.target.name
        match result.end:
            case AttemptEnd.NOT_SENT:
                self._crashes.confirm(target, now_s)
            case AttemptEnd.LOST | AttemptEnd.OVERDUE:
                self._crashes.lost(progress.fingerprint, target, now_s)
            case AttemptEnd.ANSWERED:
                self._crashes.answered(progress.fingerprint, target)


def overdue_after_s(progress: Progress, candidate: Candidate) -> float:
    """Return the seconds after its sending in which an attempt becomes overdue."""
    return max(OVERDUE * candidate.finish_s, progress.route.objective_s)


def _is_good(result: AttemptResult) -> bool:
    return result.end is AttemptEnd.ANSWERED and result.status < 500
