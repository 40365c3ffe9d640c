"""Take a caller's request to a final answer: route, place, send, and send again where allowed."""

import asyncio
from collections.abc import Callable

from chervilmill.aio import RequestHead, ServerConnection, header_value
from chervilmill.entry._attempt import Outgoing
from chervilmill.entry._body import ReplayBody
from chervilmill.entry._crashes import fingerprint_of
from chervilmill.entry._dispatch import Dispatcher
from chervilmill.entry._progress import Progress, Refusal
from chervilmill.entry._site import Site
from chervilmill.logs import log_event, log_failure
from chervilmill.metrics import Metrics
from chervilmill.overload import CallerAges, Candidate
from chervilmill.platform import RequestFacts, read_request, refusal_headers
from chervilmill.reasons import RefusalReason
from chervilmill.routing import CallerLimits, Route, TrafficSplitter, find_route

TIMEOUT_SLACK_S = 0.05  # for a target's own answer at its deadline to arrive
LAST_WORD_S = 0.03  # before the caller stops waiting, for the final answer to reach it
UNKNOWN_RETURN_S = 0.5  # where this VM knows no configuration yet
STOPPING_RETURN_S = 0.05  # another entry VM is ready at once


class Forwarder:
    """Forward the requests of callers."""

    def __init__(
        self,
        site: Site,
        dispatcher: Dispatcher,
        metrics: Metrics,
        is_view_fresh: Callable[[], bool],
    ) -> None:
        self._site = site
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._is_view_fresh = is_view_fresh
        self._splitter = TrafficSplitter()
        self._ages = CallerAges()
        self.is_stopping = False

    async def __call__(self, caller: ServerConnection, head: RequestHead) -> None:
        """Answer one request."""
        began_s = asyncio.get_running_loop().time()
        facts = read_request(head.headers)
        found = self._route(head)
        if isinstance(found, Refusal):
            await self._refuse(caller, facts, "", found, began_s)
            return
        progress = self._begin(caller, head, facts, found, began_s)
        limit_s = min(
            progress.deadline_s + TIMEOUT_SLACK_S, progress.patience_until_s - LAST_WORD_S
        )
        limit_s = max(0.0, limit_s - began_s)
        try:
            async with asyncio.timeout(limit_s):
                refusal = await self._dispatcher.run(progress)
        except TimeoutError:
            refusal = self._dispatcher.time_out(progress)
        except asyncio.CancelledError:
            self._log_end(progress, "caller gone", 0)
            raise
        if refusal is None:
            self._log_end(progress, "answered", progress.status)
            return
        if caller.has_begun_answer:
            self._log_end(progress, "answer broken off", 0)
            caller.abort()
            return
        await self._refuse(caller, facts, progress.service, refusal, began_s, progress.tried)

    def _route(self, head: RequestHead) -> Route | Refusal:
        cfg = self._site.view.configuration
        if self.is_stopping:
            return Refusal(RefusalReason.ENTRY_LEAVING, STOPPING_RETURN_S)
        if cfg is None:
            return Refusal(
                RefusalReason.CONFIGURATION_UNKNOWN, UNKNOWN_RETURN_S, "no configuration"
            )
        host = (header_value(head.headers, b"host") or b"").decode("latin-1")
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = find_route(cfg.routes, host, path)
        if route is None and not self._is_view_fresh():
            return Refusal(
                RefusalReason.CONFIGURATION_UNKNOWN, UNKNOWN_RETURN_S, "stale configuration"
            )
        if route is None:
            return Refusal(RefusalReason.UNKNOWN_PATH)
        length = header_value(head.headers, b"content-length")
        if length is not None and int(length) > cfg.limits.body_bytes:
            return Refusal(RefusalReason.BODY_TOO_LARGE)
        return route

    def _begin(
        self,
        caller: ServerConnection,
        head: RequestHead,
        facts: RequestFacts,
        route: Route,
        began_s: float,
    ) -> Progress:
        cfg = self._site.view.configuration
        limits = cfg.limits if cfg else CallerLimits()
        patience_s = facts.patience_s if facts.patience_s is not None else route.timeout_s
        service = self._splitter.pick(route.name, route.split)
        self._dispatcher.receive(service)
        return Progress(
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

    async def _refuse(
        self,
        caller: ServerConnection,
        facts: RequestFacts,
        service: str,
        refusal: Refusal,
        began_s: float,
        tried: list[str] | None = None,
    ) -> None:
        status = refusal.reason.status
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

    def _log_end(self, progress: Progress, event: str, status: int) -> None:
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


def _expected(candidate: Candidate) -> dict[str, object]:
    """Return what a decision was based on, for a log line."""
    return {
        "wait_s": round(candidate.wait_s, 4),
        "work_s": round(candidate.work_s, 4),
        "expected_s": round(candidate.finish_s, 4),
        "unproven_rank": candidate.unproven_rank,
    }
