"""Define refusals: why a request got no answer of a target, and whether it may have run."""

import json
from http import HTTPStatus

from chervilmill.reasons import Ran, RefusalReason


class Refusal(Exception):  # noqa: N818 - a refusal is an answer, not an error
    """Ends a request with a reason instead of an answer of a target."""

    def __init__(
        self, reason: RefusalReason, ran: Ran, detail: str, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.ran = ran
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    def with_other_attempts(self, may_have_run: bool) -> "Refusal":
        """Return this refusal, with `not_run` made `unknown` if another attempt may have run."""
        if not may_have_run or self.ran is not Ran.NOT_RUN:
            return self
        return Refusal(self.reason, Ran.UNKNOWN, self.detail, self.retry_after_ms)

    def body(self, request_id: str) -> bytes:
        """Return the JSON body of the refusal."""
        fields = {
            "reason": self.reason.value,
            "ran": self.ran.value,
            "detail": self.detail,
            "request_id": request_id,
            "retry_after_ms": self.retry_after_ms,
        }
        return json.dumps(fields).encode()


def status_line(status: int) -> str:
    """Return an HTTP status code with its reason phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
