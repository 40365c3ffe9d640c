"""Define the reasons for refused requests, retries and dropped answers.

The values are label values of the metrics and appear in refusal bodies, so they are stable.
"""

from enum import Enum


class Ran(Enum):
    """What is known about the execution of a refused request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """The reason why a request was not answered by a target."""

    ALLOWANCE_EXCEEDED = "allowance_exceeded"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_GONE = "caller_gone"
    CONFIGURATION_UNKNOWN = "configuration_unknown"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ENTRY_LATE = "entry_late"
    ENTRY_LEAVING = "entry_leaving"
    FAIR_SHARE_USED = "fair_share_used"
    HEADERS_TOO_LARGE = "headers_too_large"
    HTTP_VERSION = "http_version"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    INTERNAL_ERROR = "internal_error"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    LENGTH_REQUIRED = "length_required"
    NO_HEADROOM = "no_headroom"
    NO_HOME_REGION = "no_home_region"
    NO_TARGET = "no_target"
    REQUEST_SHORT = "request_short"
    REQUEST_TOO_SLOW = "request_too_slow"
    ORDER_ANSWER_NOT_KEPT = "order_answer_not_kept"
    ORDER_KEY_EXPIRED = "order_key_expired"
    ORDER_KEY_FROM_FUTURE = "order_key_from_future"
    ORDER_KEY_REUSED = "order_key_reused"
    ORDER_OUTCOME_UNKNOWN = "order_outcome_unknown"
    ORDER_RECORDS_FULL = "order_records_full"
    ORDER_RECORDS_UNAVAILABLE = "order_records_unavailable"
    QUARANTINED = "quarantined"
    TARGET_FAILED = "target_failed"
    TARGETS_BUSY = "targets_busy"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_SERVICE = "unknown_service"

    @property
    def status(self) -> int:
        """Return the HTTP status code of a refusal for this reason."""
        return _STATUS_BY_REASON[self]


class RetryReason(Enum):
    """The reason why a request was sent to a further target."""

    CONNECT_FAILED = "connect_failed"
    WITHDRAWN = "withdrawn"
    TARGET_SHED = "target_shed"
    ANSWER_LOST = "answer_lost"
    HEDGE = "hedge"


class DropReason(Enum):
    """The reason why the answer of a target was not passed to the caller, or only in part."""

    CROSSED = "crossed"
    EXTRA_BYTES = "extra_bytes"
    LOST = "lost"
    SHORT = "short"
    STALLED = "stalled"


_STATUS_BY_REASON = {
    RefusalReason.ALLOWANCE_EXCEEDED: 429,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CALLER_GONE: 499,
    RefusalReason.CONFIGURATION_UNKNOWN: 503,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.ENTRY_LATE: 503,
    RefusalReason.ENTRY_LEAVING: 503,
    RefusalReason.FAIR_SHARE_USED: 503,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.HTTP_VERSION: 505,
    RefusalReason.IDEMPOTENCY_KEY_REQUIRED: 428,
    RefusalReason.INTERNAL_ERROR: 500,
    RefusalReason.KEY_MISSING: 401,
    RefusalReason.KEY_UNKNOWN: 401,
    RefusalReason.LENGTH_REQUIRED: 411,
    RefusalReason.NO_HEADROOM: 503,
    RefusalReason.NO_HOME_REGION: 503,
    RefusalReason.NO_TARGET: 503,
    RefusalReason.REQUEST_SHORT: 400,
    RefusalReason.REQUEST_TOO_SLOW: 408,
    RefusalReason.ORDER_ANSWER_NOT_KEPT: 409,
    RefusalReason.ORDER_KEY_EXPIRED: 410,
    RefusalReason.ORDER_KEY_FROM_FUTURE: 400,
    RefusalReason.ORDER_KEY_REUSED: 422,
    RefusalReason.ORDER_OUTCOME_UNKNOWN: 409,
    RefusalReason.ORDER_RECORDS_FULL: 503,
    RefusalReason.ORDER_RECORDS_UNAVAILABLE: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.TARGET_FAILED: 502,
    RefusalReason.TARGETS_BUSY: 503,
    RefusalReason.TOO_MANY_CONNECTIONS: 503,
    RefusalReason.UNKNOWN_PATH: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
}
