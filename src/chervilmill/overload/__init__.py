"""Place requests on targets, queue or refuse them under overload, and bound retries.

The package reads no clock, opens no socket and has no random source of its own: callers pass the
time and a `random.Random`.
"""

from chervilmill.overload._admission import AdmissionRequest, Admitted, Refused, admit
from chervilmill.overload._affinity import AffinityRanking
from chervilmill.overload._allowance_desk import AllowanceDesk
from chervilmill.overload._allowance_list import ListedVms
from chervilmill.overload._allowance_messages import (
    ORGANISATION_KEY_BYTES,
    AllowanceAction,
    AllowanceAsk,
    AllowanceCounts,
    AllowanceGrant,
    AllowanceMessage,
    CheckAt,
    SendTo,
    Settle,
    Waiting,
    organisation_key,
)
from chervilmill.overload._allowance_vms import AllowanceVms
from chervilmill.overload._allowances import AllowanceBounds, AllowedOrganisation
from chervilmill.overload._caller_ages import CallerAgeEstimator
from chervilmill.overload._candidates import (
    AffinityWorkload,
    Candidate,
    PlacementOptions,
    choose_candidates,
)
from chervilmill.overload._fleet import PlacementQuery, TargetFleet
from chervilmill.overload._lateness import TICK_S, Lateness
from chervilmill.overload._preview import PlacementPreview, preview_placement
from chervilmill.overload._reachability import TargetReachability
from chervilmill.overload._region_shares import RegionShares, desired_region_shares
from chervilmill.overload._retry_budget_share import RetryBudgetShare
from chervilmill.overload._service_times import ServiceTimes, Workload
from chervilmill.overload._shared_rate import (
    SharedRate,
    SharedRateLimiter,
    cold_rate,
    limited_rate,
)
from chervilmill.overload._spill_budget import SpillBudget
from chervilmill.overload._target_limits import (
    LIMIT_TTL_S,
    LimitReport,
    StatedLimit,
    TargetLimits,
    is_limit,
    parse_limit,
)
from chervilmill.overload._target_pauses import StatedPause, parse_pause
from chervilmill.overload._target_rates import RatedTarget, TargetRates
from chervilmill.overload._target_record import TargetRecord

__all__ = [
    "AdmissionRequest",
    "Admitted",
    "AffinityRanking",
    "AffinityWorkload",
    "AllowanceAction",
    "AllowanceAsk",
    "AllowanceBounds",
    "AllowanceCounts",
    "AllowanceDesk",
    "AllowanceGrant",
    "AllowanceMessage",
    "AllowanceVms",
    "AllowedOrganisation",
    "CallerAgeEstimator",
    "Candidate",
    "CheckAt",
    "LIMIT_TTL_S",
    "Lateness",
    "LimitReport",
    "ListedVms",
    "ORGANISATION_KEY_BYTES",
    "PlacementOptions",
    "PlacementPreview",
    "PlacementQuery",
    "RatedTarget",
    "Refused",
    "RegionShares",
    "RetryBudgetShare",
    "SendTo",
    "ServiceTimes",
    "Settle",
    "SharedRate",
    "SharedRateLimiter",
    "SpillBudget",
    "StatedLimit",
    "StatedPause",
    "TICK_S",
    "TargetFleet",
    "TargetLimits",
    "TargetRates",
    "TargetReachability",
    "TargetRecord",
    "Waiting",
    "Workload",
    "admit",
    "choose_candidates",
    "cold_rate",
    "desired_region_shares",
    "is_limit",
    "limited_rate",
    "organisation_key",
    "parse_limit",
    "parse_pause",
    "preview_placement",
]
