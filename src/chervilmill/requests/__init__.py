"""Decide how requests are admitted, placed, retried, hedged and quarantined.

The package is pure logic: it opens no sockets, starts no threads and reads no clock. The code
that uses the package passes the time in and carries out the decisions.
"""

from chervilmill.requests._admission import (
    AdmissionQueue,
    Priority,
    QueuedRequest,
    QueueRefusal,
    priority_of,
)
from chervilmill.requests._fingerprint import request_fingerprint
from chervilmill.requests._hedge import HedgeDelay
from chervilmill.requests._kinds import RequestKind, kind_of
from chervilmill.requests._losses import (
    QUARANTINE_CRASHES,
    QUARANTINE_TTL_S,
    Judgement,
    Lifetime,
    Standing,
)
from chervilmill.requests._order_model import (
    EMPTY_SHARD,
    MAX_OUTCOME_BYTES,
    OrderKey,
    Outcome,
    order_key,
)
from chervilmill.requests._order_queue import ShardQueue
from chervilmill.requests._order_run import (
    AnswerReceived,
    OrderAction,
    OrderEnd,
    OrderEvent,
    OrderResult,
    OrderRun,
    OrderState,
    Send,
    SendFailure,
)
from chervilmill.requests._order_shard import (
    CachedShard,
    Change,
    Claim,
    ClaimReply,
    ClaimResult,
    Commit,
    ReadShard,
    RecordOutcome,
    ReleaseClaim,
    StoreCall,
    StoreFailure,
    StoreReply,
    WriteShard,
    commit_changes,
    decode_cached_shard,
)
from chervilmill.requests._owners import owner_of
from chervilmill.requests._quarantine import Quarantine
from chervilmill.requests._retry import (
    FailedAttempt,
    Failure,
    Retry,
    RetryBudget,
    decide_retry,
)
from chervilmill.requests._shares import connection_share, home_slots, reachable_targets
from chervilmill.requests._target_policy import AllowedDomains, TargetInfo, TargetPolicy
from chervilmill.requests._target_state import AttemptEnd, ReportedLoad, TargetCondition
from chervilmill.requests._unconfirmed_runs import UnconfirmedRun, UnconfirmedRuns
from chervilmill.requests._upload_pacer import UploadPacer
from chervilmill.requests._verdicts import (
    CrashReport,
    LimitedToTarget,
    Quarantined,
    ReportedLoss,
    Unrestricted,
    Verdict,
)
from chervilmill.requests._write_pacer import WritePacer

__all__ = [
    "EMPTY_SHARD",
    "MAX_OUTCOME_BYTES",
    "AdmissionQueue",
    "AnswerReceived",
    "AttemptEnd",
    "Change",
    "Claim",
    "ClaimReply",
    "Commit",
    "CrashReport",
    "FailedAttempt",
    "AllowedDomains",
    "Failure",
    "RecordOutcome",
    "Unrestricted",
    "HedgeDelay",
    "CachedShard",
    "LimitedToTarget",
    "ReportedLoad",
    "OrderAction",
    "OrderEnd",
    "OrderEvent",
    "OrderKey",
    "OrderResult",
    "OrderRun",
    "OrderState",
    "Outcome",
    "Priority",
    "Quarantine",
    "Quarantined",
    "QUARANTINE_CRASHES",
    "QUARANTINE_TTL_S",
    "Judgement",
    "Lifetime",
    "ReportedLoss",
    "Standing",
    "UnconfirmedRun",
    "UnconfirmedRuns",
    "Verdict",
    "ReadShard",
    "ReleaseClaim",
    "RequestKind",
    "Retry",
    "RetryBudget",
    "Send",
    "SendFailure",
    "ShardQueue",
    "ClaimResult",
    "StoreCall",
    "StoreFailure",
    "StoreReply",
    "TargetCondition",
    "TargetInfo",
    "TargetPolicy",
    "QueueRefusal",
    "QueuedRequest",
    "UploadPacer",
    "WritePacer",
    "WriteShard",
    "commit_changes",
    "connection_share",
    "decide_retry",
    "home_slots",
    "kind_of",
    "order_key",
    "owner_of",
    "priority_of",
    "reachable_targets",
    "decode_cached_shard",
    "request_fingerprint",
]
