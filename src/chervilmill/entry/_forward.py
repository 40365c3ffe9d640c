"""Route each request of a caller, have it dispatched to a target, and refuse it on failure."""

import asyncio
import random
from collections.abc import Callable

from chervilmill.aio import RequestHead, ServerConnection, header_value
from chervilmill.entry._attempt import OutgoingRequest
from chervilmill.entry._body import ReplayableBody
from chervilmill.entry._copy_currency import CopyCurrency
from chervilmill.entry._crashes import fingerprint_request
from chervilmill.entry._decision_basis import BasisReader, DecisionBasis
from chervilmill.entry._decision_log import DecisionLog
from chervilmill.entry._dispatch import Dispatcher, late_retry_after_s
from chervilmill.entry._progress import Origin, Progress, Refusal
from chervilmill.entry._site_state import SiteState
from chervilmill.logs import log_failure, log_request
from chervilmill.metrics import Metrics
from chervilmill.overload import CallerAgeEstimator, Candidate
from chervilmill.platform import RequestHeaders, read_request, refusal_headers
from chervilmill.reasons import RefusalReason
from chervilmill.routing import CallerLimits, Route, TrafficSplitter, find_route

TIMEOUT_SLACK_S = 0.05  # lets an answer that a target sends at the deadline arrive
# The final answer is sent this long before the caller stops waiting, so that it still arrives.
FINAL_ANSWER_MARGIN_S = 0.03
UNKNOWN_CONFIGURATION_RETRY_AFTER_S = 0.5  # this VM has no configuration, or a stale one
STOPPING_RETRY_AFTER_S = 0.05  # another entry VM can serve the retry immediately


class Forwarder:
    """HTTP handler that forwards callers' requests to targets.

    A VM that stops refuses the requests that may not end until `serves_until_s`, a reading of the
    event loop's clock, and all requests once `is_stopping` is set.
    """

    def __init__(
        self,
        site_state: SiteState,
        dispatcher: Dispatcher,
        metrics: Metrics,
        is_view_fresh: Callable[[], bool],
        currency: CopyCurrency,
        basis_reader: BasisReader,
        rng: random.Random,
    ) -> None:
        self._site_state = site_state
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._is_view_fresh = is_view_fresh
        self._currency = currency
        self._basis_reader = basis_reader
        self._rng = rng
        self.decisions = DecisionLog()
        self._splitter = TrafficSplitter()
        self._ages = CallerAgeEstimator()
        self.is_stopping = False
        self.serves_until_s = float("inf")

    async def __call__(self, caller: ServerConnection, head: RequestHead) -> None:
        """Answer a caller's request, with the answer of a target or with a refusal."""
        await self.forward(caller, head, Origin(caller.host.rpartition(":")[0]))

    async def forward(self, caller: ServerConnection, head: RequestHead, origin: Origin) -> None:
        """Answer a request that came from a caller or from a peer that relays it."""
        began_s = asyncio.get_running_loop().time()
        basis = self._basis_reader.read(began_s)
        request_headers = read_request(head.headers)
        found = self._find_route(head)
        if isinstance(found, Route):
            found = self._check_time_to_stop(found, request_headers, began_s)
        if isinstance(found, Refusal):
            await self._refuse(caller, request_headers, "", found, basis, began_s)
            return
        progress = self._start_progress(caller, head, request_headers, found, began_s, origin)
        progress.basis = basis
        limit_s = min(
            progress.deadline_s + TIMEOUT_SLACK_S,
            progress.caller_deadline_s - FINAL_ANSWER_MARGIN_S,
        )
        limit_s = max(0.0, limit_s - began_s)
        try:
            async with asyncio.timeout(limit_s):
                refusal = await self._dispatcher.run(progress)
        except TimeoutError:
            refusal = self._dispatcher.handle_timeout(progress)
        except asyncio.CancelledError:
            self._dispatcher.handle_caller_gone(progress)
            self._log_end(progress, "caller gone", 0)
            raise
        if refusal is None:
            self._log_end(progress, "answered", progress.status)
            return
        if caller.has_begun_answer:
            self._log_end(progress, "answer broken off", 0)
            caller.abort()
            return
        await self._refuse(
            caller,
            request_headers,
            progress.service,
            refusal,
            progress.basis,
            began_s,
            progress.tried,
        )

    def _find_route(self, head: RequestHead) -> Route | Refusal:
        cfg = self._site_state.view.configuration
        if self.is_stopping:
            return Refusal(RefusalReason.ENTRY_LEAVING, STOPPING_RETRY_AFTER_S)
        if cfg is None:
            return Refusal(
                RefusalReason.CONFIGURATION_UNKNOWN,
                UNKNOWN_CONFIGURATION_RETRY_AFTER_S,
                "no configuration",
            )
        if not self._currency.is_current(asyncio.get_running_loop().time()):
            return Refusal(
                RefusalReason.ENTRY_LATE, late_retry_after_s(self._rng), "copies are old"
            )
        host = (header_value(head.headers, b"host") or b"").decode("latin-1")
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = find_route(cfg.routes, host, path)
        if route is None and not self._is_view_fresh():
            return Refusal(
                RefusalReason.CONFIGURATION_UNKNOWN,
                UNKNOWN_CONFIGURATION_RETRY_AFTER_S,
                "stale configuration",
            )
        if route is None:
            return Refusal(RefusalReason.UNKNOWN_PATH)
        length = header_value(head.headers, b"content-length")
        if length is not None and int(length) > cfg.limits.body_bytes:
            return Refusal(RefusalReason.BODY_TOO_LARGE)
        return route

    def _check_time_to_stop(
        self, route: Route, request_headers: RequestHeaders, began_s: float
    ) -> Route | Refusal:
        """Return the route, or a refusal if its request may still be running when the VM ends."""
        limit_s = min(_caller_timeout_s(request_headers, route), route.timeout_s)
        if began_s + limit_s + TIMEOUT_SLACK_S <= self.serves_until_s:
            return route
        return Refusal(RefusalReason.ENTRY_LEAVING, STOPPING_RETRY_AFTER_S, "no time to end")

    def _start_progress(
        self,
        caller: ServerConnection,
        head: RequestHead,
        request_headers: RequestHeaders,
        route: Route,
        began_s: float,
        origin: Origin,
    ) -> Progress:
        cfg = self._site_state.view.configuration
        limits = cfg.limits if cfg else CallerLimits()
        caller_timeout_s = _caller_timeout_s(request_headers, route)
        service = self._splitter.pick(route.name, route.split)
        if not origin.is_relayed:  # counted by the peer
            self._dispatcher.count_request(service)
        return Progress(
            caller=caller,
            request_headers=request_headers,
            outgoing=OutgoingRequest(
                head, request_headers, ReplayableBody(caller, head, limits.body_bytes)
            ),
            route=route,
            service=service,
            began_s=began_s,
            deadline_s=began_s + min(caller_timeout_s, route.timeout_s),
            caller_deadline_s=began_s + caller_timeout_s,
            age_s=self._ages.age_s(route.name, caller_timeout_s),
            fingerprint=fingerprint_request(head, origin.caller_host),
            is_relayed=origin.is_relayed,
        )

    async def _refuse(
        self,
        caller: ServerConnection,
        request_headers: RequestHeaders,
        service: str,
        refusal: Refusal,
        basis: DecisionBasis,
        began_s: float,
        tried: list[str] | None = None,
    ) -> None:
        status = refusal.reason.status
        self.decisions.record(request_headers.request_id, basis)
        now_s = asyncio.get_running_loop().time()
        self._metrics.count_refusal(service, refusal.reason)
        log_failure(
            "request refused",
            step="answer",
            request=request_headers.request_id,
            service=service,
            reason=refusal.reason.value,
            detail=refusal.detail,
            uptime_s=round(self._basis_reader.uptime_s(now_s), 3),
            **basis.log_fields(),
            status=status,
            retry_after_s=refusal.retry_after_s,
            tried=tried or [],
            took_s=round(now_s - began_s, 4),
        )
        await caller.answer(status, refusal_headers(refusal.retry_after_s), b"")

    def _log_end(self, progress: Progress, event: str, status: int) -> None:
        self.decisions.record(progress.request_headers.request_id, progress.basis)
        took_s = asyncio.get_running_loop().time() - progress.began_s
        self._metrics.latency.labels(progress.service).observe(took_s)
        fields = _placement_fields(progress.last_candidate) if progress.last_candidate else {}
        log_request(
            event,
            step="answer",
            request=progress.request_headers.request_id,
            service=progress.service,
            route=progress.route.name,
            status=status,
            **progress.basis.log_fields(),
            tried=progress.tried,
            age_s=round(progress.age_s, 4),
            **fields,
            took_s=round(took_s, 4),
        )


def _caller_timeout_s(request_headers: RequestHeaders, route: Route) -> float:
    """Return how long a caller waits, which is the time-out of the route if it does not say."""
    time_left_s = request_headers.time_left_s
    return route.timeout_s if time_left_s is None else time_left_s


def _placement_fields(candidate: Candidate) -> dict[str, object]:
    """Return the log fields with the estimates by which a target was chosen."""
    return {
        "wait_s": round(candidate.wait_s, 4),
        "work_s": round(candidate.work_s, 4),
        "expected_s": round(candidate.expected_answer_s, 4),
        "unproven_rank": candidate.unproven_rank,
    }
