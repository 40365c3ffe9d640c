"""Take a request to a target's answer: place, send, and send again where that is allowed."""

import asyncio
import random
from collections.abc import Callable

from chervilmill.entry._attempt import Attempt, AttemptEnd, AttemptResult
from chervilmill.entry._crashes import CrashWatch, limit_of
from chervilmill.entry._outcome import OutcomeLearner, overdue_after_s
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._progress import Progress, Refusal
from chervilmill.entry._site import Site
from chervilmill.metrics import Metrics
from chervilmill.overload import Admission, Admitted, Asked, Candidate, Refused, RetryShare
from chervilmill.platform import Bounds
from chervilmill.reasons import RefusalReason, RetryReason
from chervilmill.requests import Quarantined, RequestKind

LOOK_S = 0.1  # between looks at whether an attempt is overdue; a third of the shortest objective
MAX_TRIES = 4  # targets tried, with those that could not be reached
SHED_RETURN_S = 0.15  # where the chosen targets were full after all

_RETRY_REASONS = {
    AttemptEnd.NOT_SENT: RetryReason.CONNECT_FAILED,
    AttemptEnd.NOT_RUN: RetryReason.TARGET_SHED,
    AttemptEnd.LOST: RetryReason.ANSWER_LOST,
    AttemptEnd.OVERDUE: RetryReason.ANSWER_LOST,
    AttemptEnd.SPOILED: RetryReason.ANSWER_LOST,
}


class Dispatcher:
    """Find targets for requests and carry them there."""

    def __init__(
        self,
        site: Site,
        pool: TargetPool,
        bounds: Bounds,
        metrics: Metrics,
        rng: random.Random,
        live_vms: Callable[[], int],
        is_ending: Callable[[], bool],
        crashes: CrashWatch,
    ) -> None:
        self._site = site
        self._pool = pool
        self._bounds = bounds
        self._metrics = metrics
        self._rng = rng
        self._live_vms = live_vms
        self._is_ending = is_ending
        self._crashes = crashes
        self._outcomes = OutcomeLearner(site.fleet, crashes)
        self._retries: dict[str, RetryShare] = {}

    def receive(self, service: str) -> None:
        """Count a request of a caller for a service."""
        self._retry_share(service).receive()
        self._site.fleet.receive()

    async def run(self, progress: Progress) -> Refusal | None:
        """Return None once the caller has its answer."""
        last: AttemptResult | None = None
        for _ in range(MAX_TRIES):
            decision = progress.next or self._place(progress)
            progress.next = None
            if isinstance(decision, Refusal):
                return decision
            if isinstance(decision, Refused):
                return self._failed(progress, last, decision.retry_after_s, decision.expected_s)
            last = await self._send(progress, decision.candidate)
            if last.end is AttemptEnd.ANSWERED:
                progress.status = last.status
                return None
            if not self._may_repeat(progress, last):
                break
            self._metrics.count_retry(progress.service, _RETRY_REASONS[last.end])
        return self._failed(progress, last, SHED_RETURN_S)

    def time_out(self, progress: Progress) -> Refusal:
        """Take in that a request's time has ended and return the answer to its caller."""
        may_still_run = progress.may_still_run
        self._outcomes.time_out(progress, asyncio.get_running_loop().time())
        if may_still_run:
            return Refusal(RefusalReason.DEADLINE_EXCEEDED)
        return Refusal(RefusalReason.NO_TARGET, SHED_RETURN_S, "not sent within its time")

    def _place(self, progress: Progress) -> Admitted | Refused | Refusal:
        """Choose a target among those that may run the request."""
        now_s = asyncio.get_running_loop().time()
        verdict = self._crashes.verdict(progress.fingerprint, now_s, self._is_usable)
        if isinstance(verdict, Quarantined):
            return self._quarantined(progress)
        asked = self._asked(progress, limit_of(verdict), now_s)
        return self._site.fleet.place(asked, self._site.view, now_s)

    def _quarantined(self, progress: Progress) -> Refusal:
        if progress.may_have_run:
            return Refusal(RefusalReason.TARGET_FAILED, detail="quarantined")
        return Refusal(RefusalReason.QUARANTINED)

    def _is_usable(self, name: str) -> bool:
        record = self._site.fleet.record(name)
        now_s = asyncio.get_running_loop().time()
        return record is not None and not record.is_ejected(now_s)

    def _asked(self, progress: Progress, only: str | None, now_s: float) -> Asked:
        route = progress.route
        return Asked(
            service=progress.service,
            placement=progress.placement,
            admission=Admission(
                objective_s=route.objective_s,
                age_s=progress.age_s + (now_s - progress.began_s),
                time_left_s=progress.deadline_s - now_s,
                priority=route.priority,
                is_work_known=self._site.fleet.times.is_trusted(progress.workload, now_s),
            ),
            home_regions=route.home_regions,
            spread=self._rng.random(),
            excluded=frozenset(progress.tried),
            only=only,
        )

    async def _send(self, progress: Progress, candidate: Candidate) -> AttemptResult:
        record = candidate.record
        key = progress.placement.key
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        serial = self._site.fleet.start(candidate, key, sent_s)
        progress.tried.append(record.target.name)
        progress.last, progress.sent_s = candidate, sent_s
        left_s = progress.deadline_s - sent_s
        round_trip_s = self._site.fleet.round_trips_s.get(record.target.failure_domain, 0.0)
        attempt = Attempt(progress.caller, progress.outgoing, self._pool, record.target)
        progress.attempt = attempt
        running = asyncio.create_task(attempt.run(max(0.001, left_s - round_trip_s / 2)))
        try:
            if await self._is_left(progress, candidate, running):
                result = attempt.given_up
            else:
                result = await running
        finally:
            record.end(serial)
            if not running.done():
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)
        progress.attempt = None
        self._outcomes.learn(progress, candidate, result, loop.time())
        return result

    async def _is_left(
        self, progress: Progress, candidate: Candidate, running: "asyncio.Task[AttemptResult]"
    ) -> bool:
        """Wait for an attempt and return whether it was given up for another target.

        A repeatable request is given up when it is overdue, or when its target turns out to be
        unreachable, and only while another target can still answer it.
        """
        is_last = progress.sends + 1 >= progress.route.max_attempts
        if progress.route.kind is not RequestKind.IDEMPOTENT or is_last:
            return False
        loop = asyncio.get_running_loop()
        overdue_s = loop.time() + overdue_after_s(progress, candidate)
        latest_s = progress.deadline_s - candidate.finish_s
        while not running.done() and loop.time() < latest_s:
            await asyncio.wait({running}, timeout=LOOK_S)
            is_late = loop.time() >= overdue_s or candidate.record.is_ejected(loop.time())
            if is_late and not running.done() and self._may_leave(progress):
                return True
        return False

    def _may_leave(self, progress: Progress) -> bool:
        """Return whether an overdue request is sent elsewhere now, and charge the budget.

        It is left where it is unless another target takes it, and also while this VM stops, as
        planned work must not end what a target still works on, or while the caller still sends.
        """
        now_s = asyncio.get_running_loop().time()
        body = progress.outgoing.body
        if progress.caller.has_begun_answer or not (body.can_replay and body.is_whole):
            return False
        if self._is_ending():
            return False
        decision = self._place(progress)
        if not isinstance(decision, Admitted):
            return False
        if not self._retry_share(progress.service).take(self._live_vms(), now_s):
            return False
        progress.next = decision
        return True

    def _may_repeat(self, progress: Progress, result: AttemptResult) -> bool:
        """Return whether a failed request may be sent to a further target."""
        if result.end is AttemptEnd.BROKEN_OFF or progress.caller.has_begun_answer:
            return False
        if not result.proves_not_run and progress.route.kind is not RequestKind.IDEMPOTENT:
            return False
        if not progress.outgoing.body.can_replay:
            return False
        if result.end is AttemptEnd.NOT_SENT:
            return True
        now_s = asyncio.get_running_loop().time()
        if progress.sends >= progress.route.max_attempts or progress.deadline_s <= now_s:
            return False
        if progress.next is not None:
            return True
        return self._retry_share(progress.service).take(self._live_vms(), now_s)

    def _failed(
        self,
        progress: Progress,
        last: AttemptResult | None,
        retry_after_s: float,
        expected_s: float | None = None,
    ) -> Refusal:
        """Return the final answer to a request that no target answered."""
        detail = last.detail if last else ""
        if progress.may_have_run:
            return Refusal(RefusalReason.TARGET_FAILED, detail=detail)
        reason = RefusalReason.TARGETS_BUSY if last is None else RefusalReason.NO_TARGET
        if last is None:
            left_s = progress.deadline_s - asyncio.get_running_loop().time()
            detail = f"expected in {expected_s} s, left {left_s:.3f} s, age {progress.age_s:.3f} s"
        return Refusal(reason, retry_after_s, detail)

    def _retry_share(self, service: str) -> RetryShare:
        share = self._retries.get(service)
        if share is None:
            bounds = self._bounds
            share = RetryShare(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s)
            self._retries[service] = share
        return share
