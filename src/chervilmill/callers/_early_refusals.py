"""Answer requests that the HTTP server refuses before their path and service are known."""

import uuid
from http import HTTPStatus

from chervilmill.callers._refusal import Refusal, status_line
from chervilmill.http import EarlyRefusal
from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.reasons import Ran, RefusalReason

_REASON_BY_STATUS = {
    HTTPStatus.REQUEST_TIMEOUT: RefusalReason.REQUEST_TOO_SLOW,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: RefusalReason.HEADERS_TOO_LARGE,
    HTTPStatus.REQUEST_URI_TOO_LONG: RefusalReason.HEADERS_TOO_LARGE,
    HTTPStatus.INTERNAL_SERVER_ERROR: RefusalReason.INTERNAL_ERROR,
    HTTPStatus.SERVICE_UNAVAILABLE: RefusalReason.TOO_MANY_CONNECTIONS,
}


class EarlyRefusalCounter:
    """Answers, logs and counts the refusals of the HTTP server itself like all other refusals.

    An internal error may occur after the request was forwarded, so it states `unknown` execution.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def __call__(self, status: int, detail: str) -> EarlyRefusal:
        """Return the answer to a request that the server refuses with a status."""
        reason = _REASON_BY_STATUS.get(HTTPStatus(status), RefusalReason.BAD_REQUEST)
        ran = Ran.UNKNOWN if reason is RefusalReason.INTERNAL_ERROR else Ran.NOT_RUN
        request_id = uuid.uuid4().hex
        self._metrics.count_refusal("", reason)
        log_event(
            "request refused",
            request_id=request_id,
            service="",
            reason=reason.value,
            ran=ran.value,
            detail=detail,
        )
        body = Refusal(reason, ran, detail or reason.value).body(request_id)
        return EarlyRefusal(status_line(reason.status), "application/json", body)
