"""Serve the HTTP interface for callers."""

import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import parse_qsl

from chervilmill.callers._delivery import Delivery
from chervilmill.callers._forward import Forwarder
from chervilmill.callers._in_flight import InFlight
from chervilmill.callers._lookup import Lookups
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest, read_request, request_id_of
from chervilmill.callers._watch import CallerWatch
from chervilmill.http import Environ, StartResponse, close_connection, exchange_of
from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import RequestKind
from chervilmill.settings import Settings
from chervilmill.targets import CancelReason

_UNFORWARDED_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "date", "server"}
)


class CallersApp:
    """WSGI application that answers look-ups and forwards requests.

    Set `refuses_new_requests` when this node is leaving: new requests are then refused.
    """

    def __init__(
        self,
        settings: Settings,
        lookups: Lookups,
        forwarder: Forwarder,
        watch: CallerWatch,
        in_flight: InFlight,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._lookups = lookups
        self._forwarder = forwarder
        self._watch = watch
        self._in_flight = in_flight
        self._metrics = metrics
        self.refuses_new_requests = False

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request of a caller."""
        if environ["PATH_INFO"] == "/lookup":
            try:
                return self._look_up(environ, start_response)
            except Refusal as refusal:
                return self._refuse(environ, start_response, refusal)
        self._in_flight.enter()
        try:
            answer = self._forward(environ, start_response)
        except Refusal as refusal:
            self._in_flight.leave()
            return self._refuse(environ, start_response, refusal)
        except BaseException:
            self._in_flight.leave()
            raise
        return answer

    def _look_up(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        query = dict(parse_qsl(environ["QUERY_STRING"]))
        service = query.get("service", "")
        if service and self._settings.service(service) is None:
            detail = f"service {service} is not in the settings"
            raise Refusal(RefusalReason.UNKNOWN_SERVICE, Ran.NOT_RUN, detail)
        try:
            answer = self._lookups.answer(service, query.get("client") or environ["REMOTE_ADDR"])
        except ValueError as exc:
            raise Refusal(RefusalReason.BAD_REQUEST, Ran.NOT_RUN, str(exc)) from exc
        body = answer.body()
        self._metrics.lookups.labels(service).inc()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Cache-Control", f"max-age={self._settings.limits.lookup_lifetime_s}"),
        ]
        start_response("200 OK", headers)
        return [body]

    def _forward(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        started_s = time.monotonic()
        req = read_request(environ, self._settings.limits, self._settings.nodes_key)
        if self._settings.service(req.service) is None:
            detail = f"service {req.service} is not in the settings"
            raise Refusal(RefusalReason.UNKNOWN_SERVICE, Ran.NOT_RUN, detail)
        if self.refuses_new_requests:
            detail = "this entry VM is leaving; look up another one"
            raise Refusal(RefusalReason.ENTRY_LEAVING, Ran.NOT_RUN, detail, retry_after_ms=0)
        sock = exchange_of(environ).socket
        watched = self._watch.watch(sock, req.deadline_s, _cancel_action(req))
        try:
            answer = self._forwarder.forward(req)
        except BaseException:
            watched.close()
            raise
        headers = [item for item in answer.headers if item[0].lower() not in _UNFORWARDED_HEADERS]
        start_response(_status_line(answer.status), headers)
        delivery = Delivery(req, answer, started_s, self._metrics)
        delivery.on_close(watched.close)
        delivery.on_close(self._in_flight.leave)
        return delivery

    def _refuse(
        self, environ: Environ, start_response: StartResponse, refusal: Refusal
    ) -> Iterable[bytes]:
        request_id = request_id_of(environ)
        service = environ["PATH_INFO"].split("/")[2:3]
        is_known_service = bool(service) and self._settings.service(service[0]) is not None
        label = service[0] if is_known_service else ""
        self._metrics.count_refusal(label, refusal.reason)
        log_event(
            "request refused",
            request_id=request_id,
            service=label,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            detail=refusal.detail,
        )
        close_connection(environ)
        body = refusal.body(request_id)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
        ]
        if refusal.retry_after_ms is not None:
            headers.append(("Retry-After", str(-(-refusal.retry_after_ms // 1000))))
        start_response(_status_line(refusal.reason.status), headers)
        return [body]


def _cancel_action(req: CallerRequest) -> Callable[[CancelReason], None]:
    """Return the action to run when the caller goes away or the deadline passes.

    Only an idempotent request is cancelled when its caller goes away. An order continues, so that
    its outcome is recorded, and so does an upload whose body has arrived whole. An upload whose
    body is incomplete fails when the rest of the body is read.
    """
    if req.kind is RequestKind.IDEMPOTENT:
        return req.cancellation.cancel

    def cancel_at_deadline(reason: CancelReason) -> None:
        if reason is CancelReason.DEADLINE:
            req.cancellation.cancel(reason)

    return cancel_at_deadline


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
