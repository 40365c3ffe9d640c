"""Decide where requests go, which wait and which are turned away, also under the worst load.

Nothing here reads a clock, a socket or a random source of its own.
"""

from chervilmill.overload._admission import Admission, Admitted, Refused, admit
from chervilmill.overload._affinity import AffinityRanking
from chervilmill.overload._caller_ages import CallerAges
from chervilmill.overload._candidates import Candidate, Choices, PlacementRequest, choose
from chervilmill.overload._cold_rate import ColdGate
from chervilmill.overload._fleet import Asked, TargetFleet
from chervilmill.overload._region_shares import RegionShares, home_shares
from chervilmill.overload._retry_share import RetryShare
from chervilmill.overload._service_times import ServiceTimes, Workload
from chervilmill.overload._spill_budget import SpillAllowance
from chervilmill.overload._target_record import TargetRecord

__all__ = [
    "Admission",
    "Admitted",
    "AffinityRanking",
    "CallerAges",
    "Asked",
    "Candidate",
    "Choices",
    "ColdGate",
    "PlacementRequest",
    "Refused",
    "RegionShares",
    "RetryShare",
    "ServiceTimes",
    "SpillAllowance",
    "TargetFleet",
    "TargetRecord",
    "Workload",
    "admit",
    "choose",
    "home_shares",
]
