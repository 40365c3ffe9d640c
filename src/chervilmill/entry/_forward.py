"""Route each request of a caller, have it dispatched to a target, and refuse it on failure."""

import asyncio
import random
from collections.abc import Callable

from chervilmill.aio import RequestHead, ServerConnection, header_value
from chervilmill.entry._allowance_gate import AllowanceCharges, AllowanceGate
from chervilmill.entry._attempt import OutgoingRequest
from chervilmill.entry._body import ReplayableBody
from chervilmill.entry._copy_currency import CopyCurrency
from chervilmill.entry._crashes import fingerprint_request
from chervilmill.entry._decision_basis import BasisReader, DecisionBasis
from chervilmill.entry._decision_log import DecisionLog
from chervilmill.entry._dispatch import Dispatcher, late_retry_after_s
from chervilmill.entry._identification import (
    UNKNOWN_CONFIGURATION_RETRY_AFTER_S,
    Routed,
    identify,
)
from chervilmill.entry._progress import Origin, Progress, Refusal
from chervilmill.entry._request_log import log_end, log_refusal
from chervilmill.entry._site_state import SiteState
from chervilmill.errors import ChervilmillError
from chervilmill.logs import log_problem
from chervilmill.metrics import Metrics
from chervilmill.overload import CallerAgeEstimator
from chervilmill.platform import (
    RequestHeaders,
    proves_not_run_by_status,
    read_request,
    refusal_headers,
)
from chervilmill.reasons import RefusalReason
from chervilmill.routing import Route, TrafficSplitter, find_route

TIMEOUT_SLACK_S = 0.05  # lets an answer that a target sends at the deadline arrive
# The final answer is sent this long before the caller stops waiting, so that it still arrives.
FINAL_ANSWER_MARGIN_S = 0.03
NO_PROMISE_STATUS = 502  # on the platform, 500 states that the request has run
MAX_ERROR_CHARACTERS = 256
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
        allowances: AllowanceGate,
    ) -> None:
        self._site_state = site_state
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._is_view_fresh = is_view_fresh
        self._currency = currency
        self._basis_reader = basis_reader
        self._rng = rng
        self._allowances = AllowanceCharges(allowances)
        self.decisions = DecisionLog()
        self.splitter = TrafficSplitter()
        self._ages = CallerAgeEstimator()
        self.is_stopping = False
        self.serves_until_s = float("inf")

    async def __call__(self, caller: ServerConnection, head: RequestHead) -> None:
        """Answer a caller's request, with the answer of a target or with a refusal."""
        await self.forward(caller, head, Origin(caller.host.rpartition(":")[0]))

    async def forward(self, caller: ServerConnection, head: RequestHead, origin: Origin) -> None:
        """Answer a request that came from a caller or from a peer that relays it.

        After an error that no step expects, the answer promises nothing about the request.
        """
        try:
            await self._forward(caller, head, origin)
        except ChervilmillError:  # of the caller
            raise
        except Exception as exc:
            log_problem(
                "request failed",
                step="forward",
                peer=caller.host,
                error=repr(exc)[:MAX_ERROR_CHARACTERS],
            )
            self._metrics.count_refusal("", RefusalReason.INTERNAL_ERROR)
            if caller.has_begun_answer:
                caller.abort()
                return
            await caller.answer(NO_PROMISE_STATUS, refusal_headers(None), b"")

    async def _forward(self, caller: ServerConnection, head: RequestHead, origin: Origin) -> None:
        began_s = asyncio.get_running_loop().time()
        basis = self._basis_reader.read(began_s)
        request_headers = read_request(head.headers)
        found = self._find_route(head, request_headers)
        if isinstance(found, Routed):
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
            async with asyncio.timeout(limit_s) as scope:
                progress.outgoing.time.limit(scope)
                refusal = await self._run(progress)
        except TimeoutError:
            refusal = self._dispatcher.handle_timeout(progress)
        except asyncio.CancelledError:
            self._dispatcher.handle_caller_gone(progress)
            self._allowances.give_back_unused(progress)
            self._log_end(progress, "caller gone", 0)
            raise
        if refusal is not None or proves_not_run_by_status(progress.status):  # status of a peer
            self._allowances.give_back_unused(progress)
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
            progress,
        )

    async def _run(self, progress: Progress) -> Refusal | None:
        """Charge the allowance of the caller's organisation and send the request to a target.

        A peer that relays a request has charged it and counted it before.
        """
        if not progress.is_relayed:
            refusal = await self._allowances.acquire(progress)
            if refusal is not None:
                return refusal
            self._dispatcher.count_request(progress.service)
        try:
            return await self._dispatcher.run(progress)
        except Exception:  # mostly of the caller, who breaks off or sends a malformed body
            self._allowances.give_back_unused(progress)
            raise

    def _find_route(self, head: RequestHead, request_headers: RequestHeaders) -> Routed | Refusal:
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
        found = identify(cfg, route, request_headers, self._is_view_fresh)
        if isinstance(found, Refusal):
            return found
        length = header_value(head.headers, b"content-length")
        if length is not None and int(length) > cfg.limits.body_bytes:
            return Refusal(RefusalReason.BODY_TOO_LARGE)
        return found

    def _check_time_to_stop(
        self, routed: Routed, request_headers: RequestHeaders, began_s: float
    ) -> Routed | Refusal:
        """Return the route, or a refusal if its request may still be running when the VM ends."""
        route = routed.route
        limit_s = min(_caller_timeout_s(request_headers, route), route.timeout_s)
        if began_s + limit_s + TIMEOUT_SLACK_S <= self.serves_until_s:
            return routed
        return Refusal(RefusalReason.ENTRY_LEAVING, STOPPING_RETRY_AFTER_S, "no time to end")

    def _start_progress(
        self,
        caller: ServerConnection,
        head: RequestHead,
        request_headers: RequestHeaders,
        routed: Routed,
        began_s: float,
        origin: Origin,
    ) -> Progress:
        cfg, route, organisation = routed.configuration, routed.route, routed.organisation
        caller_timeout_s = _caller_timeout_s(request_headers, route)
        service = self.splitter.pick(route.name, route.split)
        return Progress(
            caller=caller,
            request_headers=request_headers,
            outgoing=OutgoingRequest(
                head,
                request_headers,
                ReplayableBody(caller, head, cfg.limits.body_bytes),
                is_identified=cfg.organisations is not None,
                organisation=organisation,
            ),
            route=route,
            service=service,
            began_s=began_s,
            deadline_s=began_s + min(caller_timeout_s, route.timeout_s),
            caller_deadline_s=began_s + caller_timeout_s,
            age_s=self._ages.age_s(route.name, caller_timeout_s),
            fingerprint=fingerprint_request(head, origin.caller_host),
            organisation=organisation,
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
        progress: Progress | None = None,
    ) -> None:
        self.decisions.record(request_headers.request_id, basis)
        now_s = asyncio.get_running_loop().time()
        self._metrics.count_refusal(service, refusal.reason)
        log_refusal(
            request_headers,
            service,
            refusal,
            basis,
            progress.organisation if progress else None,
            progress.tried if progress else [],
            uptime_s=self._basis_reader.uptime_s(now_s),
            took_s=now_s - began_s,
        )
        await caller.answer(refusal.reason.status, refusal_headers(refusal.retry_after_s), b"")

    def _log_end(self, progress: Progress, event: str, status: int) -> None:
        self.decisions.record(progress.request_headers.request_id, progress.basis)
        took_s = asyncio.get_running_loop().time() - progress.began_s
        self._metrics.latency.labels(progress.service).observe(took_s)
        log_end(progress, event, status, took_s)


def _caller_timeout_s(request_headers: RequestHeaders, route: Route) -> float:
    """Return how long a caller waits, which is the time-out of the route if it does not say."""
    time_left_s = request_headers.time_left_s
    return route.timeout_s if time_left_s is None else time_left_s
