"""Take a caller's request to a final answer: route, place, send, and send again where allowed."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from chervilmill.aio import RequestHead, ServerConnection, header_value
from chervilmill.entry._attempt import Attempt, AttemptEnd, AttemptResult, Outgoing
from chervilmill.entry._body import ReplayBody
from chervilmill.entry._crashes import CrashWatch, fingerprint_of, limit_of
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._site import Site
from chervilmill.logs import log_event, log_failure
from chervilmill.metrics import Metrics
from chervilmill.overload import (
    Admission,
    Admitted,
    Asked,
    CallerAges,
    Candidate,
    PlacementRequest,
    Refused,
    RetryShare,
    Workload,
)
from chervilmill.platform import Bounds, RequestFacts, read_request, refusal_headers
from chervilmill.reasons import RefusalReason, RetryReason
from chervilmill.requests import Quarantined, RequestKind, Verdict
from chervilmill.routing import CallerLimits, Route, TrafficSplitter, find_route

TIMEOUT_SLACK_S = 0.05  # for a target's own answer at its deadline to arrive
LAST_WORD_S = 0.03  # before the caller stops waiting, for the final answer to reach it
OVERDUE = 3.0  # times what was expected, after which a repeatable request is sent elsewhere
LOOK_S = 0.1  # between looks at whether an attempt is overdue; a third of the shortest objective
NO_ANSWER = "no answer in time"
MAX_TRIES = 4  # targets tried, with those that could not be reached
UNKNOWN_RETURN_S = 0.5  # where this VM knows no configuration yet
SHED_RETURN_S = 0.15  # where the chosen targets were full after all
STOPPING_RETURN_S = 0.05  # another entry VM is ready at once

_RETRY_REASONS = {
    AttemptEnd.NOT_SENT: RetryReason.CONNECT_FAILED,
    AttemptEnd.NOT_RUN: RetryReason.TARGET_SHED,
    AttemptEnd.LOST: RetryReason.ANSWER_LOST,
    AttemptEnd.SPOILED: RetryReason.ANSWER_LOST,
}


@dataclass(slots=True)
class _Progress:
    """Hold a request on its way."""

    caller: ServerConnection
    facts: RequestFacts
    outgoing: Outgoing
    route: Route
    service: str
    began_s: float
    deadline_s: float
    patience_until_s: float
    age_s: float
    fingerprint: bytes
    tried: list[str] = field(default_factory=list)
    sends: int = 0
    last: Candidate | None = None
    may_have_run: bool = False
    next: Admitted | None = None


@dataclass(frozen=True, slots=True)
class _Refusal:
    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ""


class Forwarder:
    """Forward the requests of callers."""

    def __init__(
        self,
        site: Site,
        pool: TargetPool,
        bounds: Bounds,
        metrics: Metrics,
        rng: random.Random,
        live_vms: Callable[[], int],
        is_view_fresh: Callable[[], bool],
        is_ending: Callable[[], bool],
        crashes: CrashWatch,
    ) -> None:
        self._site = site
        self._pool = pool
        self._bounds = bounds
        self._metrics = metrics
        self._rng = rng
        self._live_vms = live_vms
        self._is_view_fresh = is_view_fresh
        self._is_ending = is_ending
        self._crashes = crashes
        self._splitter = TrafficSplitter()
        self._ages = CallerAges()
        self._retries: dict[str, RetryShare] = {}
        self.is_stopping = False

    async def __call__(self, caller: ServerConnection, head: RequestHead) -> None:
        """Answer one request."""
        began_s = asyncio.get_running_loop().time()
        facts = read_request(head.headers)
        found = self._route(head)
        if isinstance(found, _Refusal):
            await self._refuse(caller, facts, "", found, began_s)
            return
        progress = self._begin(caller, head, facts, found, began_s)
        limit_s = min(
            progress.deadline_s + TIMEOUT_SLACK_S, progress.patience_until_s - LAST_WORD_S
        )
        limit_s = max(0.0, limit_s - began_s)
        try:
            async with asyncio.timeout(limit_s):
                refusal = await self._run(progress)
        except TimeoutError:
            refusal = _Refusal(RefusalReason.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            self._log_end(progress, "caller gone", 0)
            raise
        if refusal is None:
            return
        if caller.has_begun_answer:
            self._log_end(progress, "answer broken off", 0)
            caller.abort()
            return
        await self._refuse(caller, facts, progress.service, refusal, began_s, progress.tried)

    def _route(self, head: RequestHead) -> Route | _Refusal:
        cfg = self._site.view.configuration
        if self.is_stopping:
            return _Refusal(RefusalReason.ENTRY_LEAVING, STOPPING_RETURN_S)
        if cfg is None:
            return _Refusal(RefusalReason.UNKNOWN_SERVICE, UNKNOWN_RETURN_S, "no configuration")
        host = (header_value(head.headers, b"host") or b"").decode("latin-1")
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = find_route(cfg.routes, host, path)
        if route is None and not self._is_view_fresh():
            return _Refusal(RefusalReason.UNKNOWN_SERVICE, UNKNOWN_RETURN_S, "stale configuration")
        if route is None:
            return _Refusal(RefusalReason.UNKNOWN_PATH)
        length = header_value(head.headers, b"content-length")
        if length is not None and int(length) > cfg.limits.body_bytes:
            return _Refusal(RefusalReason.BODY_TOO_LARGE)
        return route

    def _begin(
        self,
        caller: ServerConnection,
        head: RequestHead,
        facts: RequestFacts,
        route: Route,
        began_s: float,
    ) -> _Progress:
        cfg = self._site.view.configuration
        limits = cfg.limits if cfg else CallerLimits()
        patience_s = facts.patience_s if facts.patience_s is not None else route.timeout_s
        service = self._splitter.pick(route.name, route.split)
        self._retry_share(service).receive()
        self._site.fleet.receive()
        return _Progress(
            caller=caller,
            facts=facts,
            outgoing=Outgoing(head, facts, ReplayBody(caller, head, limits.body_bytes)),
            route=route,
            service=service,
            began_s=began_s,
            deadline_s=began_s + min(patience_s, route.timeout_s),
            patience_until_s=began_s + patience_s,
            age_s=self._ages.age_s(route.name, patience_s),
            fingerprint=fingerprint_of(
                head, caller.host.rpartition(":")[0], facts.affinity, service
            ),
        )

    async def _run(self, progress: _Progress) -> _Refusal | None:
        """Return None once the caller has its answer."""
        last: AttemptResult | None = None
        for _ in range(MAX_TRIES):
            now_s = asyncio.get_running_loop().time()
            verdict = self._crashes.verdict(progress.fingerprint, now_s, self._is_usable)
            if isinstance(verdict, Quarantined):
                return self._quarantined(progress)
            decision = progress.next or self._place(progress, verdict, now_s)
            progress.next = None
            if isinstance(decision, Refused):
                return self._failed(progress, last, decision.retry_after_s, decision.expected_s)
            last = await self._send(progress, decision.candidate)
            if last.end is AttemptEnd.ANSWERED:
                self._log_end(progress, "answered", last.status)
                return None
            if not self._may_repeat(progress, last):
                break
            self._metrics.count_retry(progress.service, _RETRY_REASONS[last.end])
        return self._failed(progress, last, SHED_RETURN_S)

    def _place(self, progress: _Progress, verdict: Verdict, now_s: float) -> Admitted | Refused:
        asked = replace(self._asked(progress, now_s), only=limit_of(verdict))
        return self._site.fleet.place(asked, self._site.view, now_s)

    def _quarantined(self, progress: _Progress) -> _Refusal:
        if progress.may_have_run:
            return _Refusal(RefusalReason.TARGET_FAILED, detail="quarantined")
        return _Refusal(RefusalReason.QUARANTINED)

    def _is_usable(self, name: str) -> bool:
        record = self._site.fleet.record(name)
        now_s = asyncio.get_running_loop().time()
        return record is not None and not record.is_ejected(now_s)

    def _asked(self, progress: _Progress, now_s: float) -> Asked:
        route = progress.route
        return Asked(
            service=progress.service,
            placement=_placement(progress),
            admission=Admission(
                objective_s=route.objective_s,
                age_s=progress.age_s + (now_s - progress.began_s),
                time_left_s=progress.deadline_s - now_s,
                priority=route.priority,
                is_work_known=self._site.fleet.times.is_trusted(_workload(progress), now_s),
            ),
            home_regions=route.home_regions,
            spread=self._rng.random(),
            excluded=frozenset(progress.tried),
        )

    async def _send(self, progress: _Progress, candidate: Candidate) -> AttemptResult:
        record = candidate.record
        key = _placement(progress).key
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        serial = self._site.fleet.start(candidate, key, sent_s)
        progress.tried.append(record.target.name)
        progress.last = candidate
        left_s = progress.deadline_s - sent_s
        round_trip_s = self._site.fleet.round_trips_s.get(record.target.failure_domain, 0.0)
        attempt = Attempt(progress.caller, progress.outgoing, self._pool, record.target)
        running = asyncio.create_task(attempt.run(max(0.001, left_s - round_trip_s / 2)))
        try:
            if await self._is_left(progress, candidate, running):
                result = AttemptResult(AttemptEnd.LOST, detail=NO_ANSWER)
            else:
                result = await running
        finally:
            record.end(serial)
            if not running.done():
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)
        self._learn(progress, candidate, result, loop.time() - sent_s)
        return result

    async def _is_left(
        self, progress: _Progress, candidate: Candidate, running: "asyncio.Task[AttemptResult]"
    ) -> bool:
        """Wait for an attempt and return whether it was given up for another target.

        A repeatable request is given up when it is overdue, or when its target turns out to be
        unreachable, and only while another target can still answer it.
        """
        is_last = progress.sends + 1 >= progress.route.max_attempts
        if progress.route.kind is not RequestKind.IDEMPOTENT or is_last:
            return False
        loop = asyncio.get_running_loop()
        overdue_s = max(OVERDUE * candidate.finish_s, progress.route.objective_s) + loop.time()
        latest_s = progress.deadline_s - candidate.finish_s
        while not running.done() and loop.time() < latest_s:
            await asyncio.wait({running}, timeout=LOOK_S)
            is_late = loop.time() >= overdue_s or candidate.record.is_ejected(loop.time())
            if is_late and not running.done() and self._may_leave(progress):
                return True
        return False

    def _may_leave(self, progress: _Progress) -> bool:
        """Return whether an overdue request is sent elsewhere now, and charge the budget.

        It is left where it is unless another target takes it, and also while this VM stops, as
        planned work must not end what a target still works on.
        """
        now_s = asyncio.get_running_loop().time()
        if progress.caller.has_begun_answer or not progress.outgoing.body.can_replay:
            return False
        if self._is_ending():
            return False
        decision = self._site.fleet.place(self._asked(progress, now_s), self._site.view, now_s)
        if not isinstance(decision, Admitted):
            return False
        if not self._retry_share(progress.service).take(self._live_vms(), now_s):
            return False
        progress.next = decision
        return True

    def _learn(
        self, progress: _Progress, candidate: Candidate, result: AttemptResult, took_s: float
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        record, fleet = candidate.record, self._site.fleet
        if result.connect_s is not None:
            took_s -= result.connect_s
            fleet.learn_round_trip(record.target.failure_domain, result.connect_s)
        if result.end is not AttemptEnd.NOT_SENT:
            progress.sends += 1
        if not result.proves_not_run:
            progress.may_have_run = True
        if result.load is not None:
            fleet.learn_load(record, result.load.running + result.load.waiting, now_s)
        is_good = result.end is AttemptEnd.ANSWERED and result.status < 500
        record.learn_failure(now_s, has_failed=not is_good)
        is_silent = result.detail == NO_ANSWER and record.answered_s < now_s - took_s
        if result.end is AttemptEnd.NOT_SENT or result.status == 421 or is_silent:
            record.eject(now_s)
        if result.end is AttemptEnd.NOT_SENT:
            self._crashes.confirm(record.target.name, now_s)
        elif result.end is AttemptEnd.LOST:
            self._crashes.lost(progress.fingerprint, record.target.name, now_s)
        elif result.end is AttemptEnd.ANSWERED:
            self._crashes.answered(progress.fingerprint, record.target.name)
        if not is_good:
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
            return
        fleet.learn(_placement(progress), candidate, took_s, now_s)

    def _may_repeat(self, progress: _Progress, result: AttemptResult) -> bool:
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
        progress: _Progress,
        last: AttemptResult | None,
        retry_after_s: float,
        expected_s: float | None = None,
    ) -> _Refusal:
        """Return the final answer to a request that no target answered."""
        detail = last.detail if last else ""
        if progress.may_have_run:
            return _Refusal(RefusalReason.TARGET_FAILED, detail=detail)
        reason = RefusalReason.TARGETS_BUSY if last is None else RefusalReason.NO_TARGET
        if last is None:
            left_s = progress.deadline_s - asyncio.get_running_loop().time()
            detail = f"expected in {expected_s} s, left {left_s:.3f} s, age {progress.age_s:.3f} s"
        return _Refusal(reason, retry_after_s, detail)

    async def _refuse(
        self,
        caller: ServerConnection,
        facts: RequestFacts,
        service: str,
        refusal: _Refusal,
        began_s: float,
        tried: list[str] | None = None,
    ) -> None:
        status = refusal.reason.status
        if refusal.reason is RefusalReason.UNKNOWN_SERVICE:
            status = 503
        self._metrics.count_refusal(service, refusal.reason)
        log_failure(
            "request refused",
            step="answer",
            request=facts.request_id,
            service=service,
            reason=refusal.reason.value,
            status=status,
            retry_after_s=refusal.retry_after_s,
            tried=tried or [],
            detail=refusal.detail,
            took_s=round(asyncio.get_running_loop().time() - began_s, 4),
        )
        await caller.answer(status, refusal_headers(refusal.retry_after_s), b"")

    def _log_end(self, progress: _Progress, event: str, status: int) -> None:
        took_s = asyncio.get_running_loop().time() - progress.began_s
        self._metrics.latency.labels(progress.service).observe(took_s)
        expected = _expected(progress.last) if progress.last is not None else {}
        log_event(
            event,
            step="answer",
            request=progress.facts.request_id,
            service=progress.service,
            route=progress.route.name,
            status=status,
            tried=progress.tried,
            age_s=round(progress.age_s, 4),
            **expected,
            took_s=round(took_s, 4),
        )

    def _retry_share(self, service: str) -> RetryShare:
        share = self._retries.get(service)
        if share is None:
            bounds = self._bounds
            share = RetryShare(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s)
            self._retries[service] = share
        return share


def _expected(candidate: Candidate) -> dict[str, object]:
    """Return what a decision was based on, for a log line."""
    return {
        "wait_s": round(candidate.wait_s, 4),
        "work_s": round(candidate.work_s, 4),
        "expected_s": round(candidate.finish_s, 4),
        "unproven_rank": candidate.unproven_rank,
    }


def _placement(progress: _Progress) -> PlacementRequest:
    key = progress.facts.affinity if progress.route.has_affinity else ""
    return PlacementRequest(_workload(progress), key)


def _workload(progress: _Progress) -> Workload:
    return Workload(progress.service, progress.route.name, progress.route.objective_s)
