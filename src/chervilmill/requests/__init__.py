"""Decide how requests are admitted, placed, retried, hedged and quarantined.

The package is pure logic: it opens no sockets, starts no threads and reads no clock. Callers pass
the time in and carry out what is decided.
"""

from chervilmill.requests._admission import (
    AdmissionQueue,
    Priority,
    TooBusy,
    Waiting,
    priority_of,
)
from chervilmill.requests._hedge import HedgeDelay
from chervilmill.requests._kinds import RequestKind, kind_of
from chervilmill.requests._order_model import (
    EMPTY_SHARD,
    MAX_OUTCOME_BYTES,
    OrderKey,
    Outcome,
    order_key,
)
from chervilmill.requests._order_queue import ShardQueue
from chervilmill.requests._order_run import (
    Answered,
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
    Change,
    Claim,
    ClaimReply,
    Commit,
    Finish,
    HeldShard,
    ReadShard,
    Release,
    Standing,
    StoreCall,
    StoreFailure,
    StoreReply,
    WriteShard,
    commit_changes,
    read_stored,
)
from chervilmill.requests._owners import owner_of
from chervilmill.requests._quarantine import (
    CrashNews,
    Limited,
    Quarantine,
    Quarantined,
    Unrestricted,
    Verdict,
    request_fingerprint,
)
from chervilmill.requests._retry import (
    FailedAttempt,
    Failure,
    Retry,
    RetryBudget,
    decide_retry,
)
from chervilmill.requests._shares import connection_share, home_slots, reachable_targets
from chervilmill.requests._target_policy import Domains, TargetInfo, TargetPolicy
from chervilmill.requests._target_state import AttemptEnd, LoadReading, TargetCondition
from chervilmill.requests._upload_pace import UploadPace
from chervilmill.requests._write_pace import WritePace

__all__ = [
    "EMPTY_SHARD",
    "MAX_OUTCOME_BYTES",
    "AdmissionQueue",
    "Answered",
    "AttemptEnd",
    "Change",
    "Claim",
    "ClaimReply",
    "Commit",
    "CrashNews",
    "FailedAttempt",
    "Domains",
    "Failure",
    "Finish",
    "Unrestricted",
    "HedgeDelay",
    "HeldShard",
    "Limited",
    "LoadReading",
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
    "Verdict",
    "ReadShard",
    "Release",
    "RequestKind",
    "Retry",
    "RetryBudget",
    "Send",
    "SendFailure",
    "ShardQueue",
    "Standing",
    "StoreCall",
    "StoreFailure",
    "StoreReply",
    "TargetCondition",
    "TargetInfo",
    "TargetPolicy",
    "TooBusy",
    "Waiting",
    "UploadPace",
    "WritePace",
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
    "read_stored",
    "request_fingerprint",
]
