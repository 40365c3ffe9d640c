"""Place a request at a target, send it, and retry at other targets where that is safe."""

import asyncio
import random
from collections.abc import Callable

from chervilmill.entry._attempt import Attempt, AttemptEnd, AttemptResult
from chervilmill.entry._copy_currency import CopyCurrency
from chervilmill.entry._crashes import CrashTracker, only_target
from chervilmill.entry._decision_basis import BasisReader
from chervilmill.entry._leaving import LeavingTracker
from chervilmill.entry._limits import LimitTracker
from chervilmill.entry._move_checks import MoveChecks
from chervilmill.entry._outcome import OutcomeRecorder, overdue_after_s
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._progress import Progress, Refusal
from chervilmill.entry._reach import ReachTracker
from chervilmill.entry._relay import Relay
from chervilmill.entry._site_state import SiteState
from chervilmill.metrics import Metrics
from chervilmill.overload import (
    AdmissionRequest,
    Admitted,
    Candidate,
    PlacementQuery,
    Refused,
    RetryBudgetShare,
)
from chervilmill.platform import Bounds
from chervilmill.reasons import RefusalReason, RetryReason
from chervilmill.requests import Quarantined, RequestKind, Verdict
from chervilmill.routing import Target

MAX_TARGETS_TRIED = 4  # including targets that could not be reached
LATE_RETRY_AFTER_S = (0.2, 0.6)  # the VM confirms its copies meanwhile; other VMs serve at once
SHED_RETRY_AFTER_S = 0.15  # for requests that the chosen targets shed or did not get in time

_RETRY_REASONS = {
    AttemptEnd.NOT_SENT: RetryReason.CONNECT_FAILED,
    AttemptEnd.WITHDRAWN: RetryReason.WITHDRAWN,
    AttemptEnd.NOT_RUN: RetryReason.TARGET_SHED,
    AttemptEnd.LOST: RetryReason.ANSWER_LOST,
    AttemptEnd.OVERDUE: RetryReason.ANSWER_LOST,
    AttemptEnd.SPOILED: RetryReason.ANSWER_LOST,
}


def late_retry_after_s(rng: random.Random) -> float:
    """Return after what time the caller of a late VM may come back, spread over a range."""
    return rng.uniform(*LATE_RETRY_AFTER_S)


class Dispatcher:
    """Sends requests to targets and applies the retry rules."""

    def __init__(
        self,
        site_state: SiteState,
        pool: TargetPool,
        bounds: Bounds,
        metrics: Metrics,
        rng: random.Random,
        count_live_vms: Callable[[], int],
        is_stopping: Callable[[], bool],
        crashes: CrashTracker,
        limits: LimitTracker,
        leaving: LeavingTracker,
        reach: ReachTracker,
        relay: Relay,
        basis_reader: BasisReader,
        currency: CopyCurrency,
        was_late_since: Callable[[float], bool],
    ) -> None:
        self._site_state = site_state
        self._pool = pool
        self._bounds = bounds
        self._metrics = metrics
        self._rng = rng
        self._count_live_vms = count_live_vms
        self._is_stopping = is_stopping
        self._crashes = crashes
        self._reach = reach
        self._relay = relay
        self._basis_reader = basis_reader
        self._currency = currency
        self._outcomes = OutcomeRecorder(
            site_state.fleet, crashes, limits, leaving, reach, was_late_since
        )
        self._retry_budgets: dict[str, RetryBudgetShare] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request; the retry budget of the service grows with these."""
        self._retry_budget(service).count_request()
        self._site_state.fleet.count_request()

    async def run(self, progress: Progress) -> Refusal | None:
        """Send a request to one target after another until one answers or no retry is allowed.

        Return None if the caller has its answer, or the refusal if no target answered.
        """
        last: AttemptResult | None = None
        for _ in range(MAX_TARGETS_TRIED):
            progress.update_basis(self._basis_reader.read(asyncio.get_running_loop().time()))
            needs_peer = self._reach.is_cut_off or self._relay.is_behind()
            if needs_peer and self._relay.can_relay(progress):
                return self._quarantine_refusal(progress) or await self._relay.run(progress)
            decision = progress.next_placement or self._place(progress)
            progress.next_placement = None
            if isinstance(decision, Refusal):
                return decision
            if isinstance(decision, Refused):
                return await self._relay_unsent(progress, last, decision)
            last = await self._send(progress, decision.candidate)
            if last.end is AttemptEnd.ANSWERED:
                progress.status = last.status
                return None
            if not self._may_retry(progress, last):
                break
            self._metrics.count_retry(progress.service, _RETRY_REASONS[last.end])
        return await self._relay_unsent(progress, last, Refused(SHED_RETRY_AFTER_S))

    async def _relay_unsent(
        self, progress: Progress, last: AttemptResult | None, refused: Refused
    ) -> Refusal | None:
        """Relay a request that no target could be reached for, and refuse any other.

        Connections may live on while new ones fail, so some requests of a VM may be answered and
        others not.
        """
        is_unsent = last is not None and last.end is AttemptEnd.NOT_SENT
        if is_unsent and not progress.may_have_run and self._relay.can_relay(progress):
            return await self._relay.run(progress)
        return self._final_refusal(progress, last, refused)

    def handle_timeout(self, progress: Progress) -> Refusal:
        """Record that a request ran out of time and return the refusal for its caller."""
        may_still_run = progress.may_still_run
        self._outcomes.record_timeout(progress, asyncio.get_running_loop().time())
        if may_still_run:
            return Refusal(RefusalReason.DEADLINE_EXCEEDED)
        return Refusal(RefusalReason.NO_TARGET, SHED_RETRY_AFTER_S, "not sent before the deadline")

    def handle_caller_gone(self, progress: Progress) -> None:
        """Record that the caller left before its request was answered."""
        self._outcomes.record_unanswered(progress, asyncio.get_running_loop().time())

    def _place(self, progress: Progress) -> Admitted | Refused | Refusal:
        """Choose a target among those that may run the request, or refuse the request."""
        now_s = asyncio.get_running_loop().time()
        if not self._currency.is_current(now_s):
            return self._refuse_as_late(progress)
        verdict = self._verdict(progress, now_s)
        if isinstance(verdict, Quarantined):
            return self._refuse_quarantined(progress, verdict)
        query = self._placement_query(progress, only_target(verdict), now_s)
        return self._site_state.fleet.place(query, self._site_state.view, now_s)

    def _verdict(self, progress: Progress, now_s: float) -> Verdict:
        return self._crashes.verdict(
            progress.fingerprint, now_s, lambda name: self._is_usable(name, progress, now_s)
        )

    def _quarantine_refusal(self, progress: Progress) -> Refusal | None:
        verdict = self._verdict(progress, asyncio.get_running_loop().time())
        if isinstance(verdict, Quarantined):
            return self._refuse_quarantined(progress, verdict)
        return None

    def _refuse_quarantined(self, progress: Progress, verdict: Quarantined) -> Refusal:
        detail = f"quarantined fingerprint {progress.fingerprint.hex()}"
        if progress.may_have_run:
            return Refusal(RefusalReason.TARGET_FAILED, detail=detail)
        return Refusal(RefusalReason.QUARANTINED, verdict.expires_in_s, detail)

    def _refuse_as_late(self, progress: Progress) -> Refusal:
        if progress.may_have_run:
            return Refusal(RefusalReason.TARGET_FAILED, detail="this VM is late")
        return Refusal(RefusalReason.ENTRY_LATE, late_retry_after_s(self._rng), "copies are old")

    def _may_send(self, progress: Progress, target: Target) -> bool:
        """Return whether a target that was chosen a moment ago may still get the request.

        Record what that was decided on, as the request is written at once.
        """
        view, now_s = self._site_state.view, asyncio.get_running_loop().time()
        known = view.targets.get(target.name)
        if known is None or known.incarnation != target.incarnation:
            return False
        home_regions = progress.home_regions
        is_allowed = self._site_state.fleet.is_allowed(known, progress.service, home_regions, view)
        progress.update_basis(self._basis_reader.read(now_s))
        if not is_allowed or not self._currency.is_current(now_s):
            return False
        if progress.basis.copy_age_s is not None:
            self._metrics.copy_age_at_send.observe(progress.basis.copy_age_s)
        return True

    def _is_usable(self, name: str, progress: Progress, now_s: float) -> bool:
        fleet = self._site_state.fleet
        record = fleet.record(name)
        if record is None or record.is_ejected(now_s):
            return False
        view, home_regions = self._site_state.view, progress.home_regions
        return fleet.is_allowed(
            record.target, progress.service, home_regions, view
        ) and fleet.is_sender(record, view.configuration, now_s)

    def _placement_query(
        self, progress: Progress, allowed_target: str | None, now_s: float
    ) -> PlacementQuery:
        route = progress.route
        return PlacementQuery(
            service=progress.service,
            affinity_workload=progress.affinity_workload,
            admission=AdmissionRequest(
                objective_s=route.objective_s,
                age_s=progress.age_s + (now_s - progress.began_s),
                time_left_s=progress.deadline_s - now_s,
                priority=progress.priority,
                is_work_known=self._site_state.fleet.service_times.is_trusted(
                    progress.workload, now_s
                ),
            ),
            home_regions=progress.home_regions,
            region_position=self._rng.random(),
            excluded_targets=frozenset(progress.tried),
            only_target=allowed_target,
            organisation=progress.organisation,
        )

    async def _send(self, progress: Progress, candidate: Candidate) -> AttemptResult:
        record = candidate.record
        key = progress.affinity_workload.key
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        serial = self._site_state.fleet.start(candidate, key, sent_s)
        self._outcomes.record_sent(progress, candidate, sent_s)
        progress.tried.append(record.target.name)
        progress.last_candidate, progress.sent_s = candidate, sent_s
        round_trip_s = self._site_state.fleet.round_trips_s.get(record.target.failure_domain, 0.0)
        attempt = Attempt(
            progress.caller,
            progress.outgoing,
            self._pool,
            record.target,
            lambda headers: self._outcomes.record_answer_headers(
                record.target, headers, loop.time()
            ),
            lambda: self._may_send(progress, record.target),
        )
        progress.attempt = attempt
        try:
            result = await self._run_or_abandon(
                progress, candidate, attempt, progress.deadline_s - round_trip_s / 2
            )
        finally:
            record.end(serial)
        progress.attempt = None
        self._outcomes.record_result(progress, candidate, result, loop.time())
        return result

    async def _run_or_abandon(
        self, progress: Progress, candidate: Candidate, attempt: Attempt, deadline_s: float
    ) -> AttemptResult:
        """Run an attempt, or abandon it to use another target.

        Only an idempotent request moves. It moves when it is overdue or when its target has been
        ejected, and only while another target can still answer in time.
        """
        loop = asyncio.get_running_loop()
        scope = asyncio.timeout(None)
        checks = MoveChecks(
            candidate.record,
            loop.time() + overdue_after_s(progress, candidate),
            self._latest_move_s(progress, candidate),
            lambda: self._outcomes.record_unanswered(progress, loop.time()),
            lambda: self._may_move(progress),
            lambda: scope.reschedule(loop.time()),
            loop,
        )
        try:
            async with scope:
                checks.start()
                return await attempt.run(deadline_s)
        except TimeoutError:
            if not scope.expired():
                raise
            return attempt.result_if_abandoned
        finally:
            checks.stop()

    def _latest_move_s(self, progress: Progress, candidate: Candidate) -> float:
        """Return until when an attempt may still move to another target."""
        is_last = progress.sent_count + 1 >= progress.route.max_attempts
        if progress.route.kind is not RequestKind.IDEMPOTENT or is_last:
            return float("-inf")
        return progress.deadline_s - candidate.expected_answer_s

    def _may_move(self, progress: Progress) -> bool:
        """Decide whether an overdue request moves to another target, and charge the retry budget.

        The request stays where it is if no other target admits it or if the caller is still
        sending the body. It also stays while this VM stops, because a planned stop must not cancel
        work in progress at a target.
        """
        now_s = asyncio.get_running_loop().time()
        body = progress.outgoing.body
        if progress.caller.has_begun_answer or not (body.claim() and body.is_complete):
            return False
        if self._is_stopping():
            return False
        if self._reach.is_cut_off:
            return self._relay.can_relay(progress)
        decision = self._place(progress)
        if not isinstance(decision, Admitted):
            return False
        if not self._retry_budget(progress.service).try_spend(self._count_live_vms(), now_s):
            return False
        progress.next_placement = decision
        return True

    def _may_retry(self, progress: Progress, result: AttemptResult) -> bool:
        """Decide whether a failed request may be sent to another target, and charge the budget."""
        if result.end is AttemptEnd.BROKEN_OFF or progress.caller.has_begun_answer:
            return False
        if not result.proves_not_run and progress.route.kind is not RequestKind.IDEMPOTENT:
            return False
        if not progress.outgoing.body.claim():
            return False
        if result.end in (AttemptEnd.NOT_SENT, AttemptEnd.WITHDRAWN):
            return True
        now_s = asyncio.get_running_loop().time()
        if progress.sent_count >= progress.route.max_attempts or progress.deadline_s <= now_s:
            return False
        if progress.next_placement is not None:
            return True
        return self._retry_budget(progress.service).try_spend(self._count_live_vms(), now_s)

    def _final_refusal(
        self,
        progress: Progress,
        last: AttemptResult | None,
        refused: Refused,
    ) -> Refusal:
        """Return the refusal for a request that no target answered."""
        detail = last.detail if last else ""
        if progress.may_have_run:
            return Refusal(RefusalReason.TARGET_FAILED, detail=detail)
        reason = RefusalReason.TARGETS_BUSY if last is None else RefusalReason.NO_TARGET
        if last is None:
            left_s = progress.deadline_s - asyncio.get_running_loop().time()
            detail = (
                f"expected in {refused.expected_s} s, left {left_s:.3f} s,"
                f" age {progress.age_s:.3f} s"
            )
        if refused.is_rate_limited:
            detail = "targets take no more requests now"
        if refused.is_above_fair_share:
            reason = RefusalReason.FAIR_SHARE_USED
            detail = "targets are busy, and the organisation has its share of them"
        return Refusal(reason, refused.retry_after_s, detail)

    def _retry_budget(self, service: str) -> RetryBudgetShare:
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudgetShare(
                bounds.retry_ratio, bounds.extra_retries, bounds.retry_window_s
            )
            self._retry_budgets[service] = budget
        return budget
