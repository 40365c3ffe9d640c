"""Decide which places serve which client blocks, and move traffic between them within caps."""

from chervilmill.steering._blocks import Block, BlockTable, ClientNetwork, blocks_of_networks
from chervilmill.steering._capacity import CapacityProblem, CapacitySolution, Pin, solve_capacity
from chervilmill.steering._confirm import (
    Confirmer,
    ConfirmRefusal,
    ConfirmRefusedError,
    ConfirmRequest,
    fresh_configuration,
)
from chervilmill.steering._evidence import LookupVersions, VmEvidence
from chervilmill.steering._headroom import Headroom, headroom
from chervilmill.steering._intents import (
    INTENT_PREFIX,
    Cap,
    Intent,
    Share,
    VersionedIntent,
    check_intent,
    stated_intents,
)
from chervilmill.steering._links import LinkBudget, RegionLinks, SharedRates
from chervilmill.steering._model import SteeringModel
from chervilmill.steering._place_loss import LossOutcome, after_loss
from chervilmill.steering._plan import Plan, PlanRefusal, RefusalCause
from chervilmill.steering._plan_input import PlanInput
from chervilmill.steering._planner import compute_plan
from chervilmill.steering._report import shift_reports
from chervilmill.steering._runner import ShiftRunner
from chervilmill.steering._shares import ShareMap
from chervilmill.steering._table import BlockLocation, PlaceChoice, PlaceLookup, SteeringTable
from chervilmill.steering._topology import DirectedLink, Place, Topology

__all__ = [
    "Block",
    "BlockLocation",
    "BlockTable",
    "Cap",
    "CapacityProblem",
    "CapacitySolution",
    "ClientNetwork",
    "ConfirmRefusal",
    "ConfirmRefusedError",
    "ConfirmRequest",
    "Confirmer",
    "DirectedLink",
    "Headroom",
    "INTENT_PREFIX",
    "Intent",
    "LinkBudget",
    "LookupVersions",
    "LossOutcome",
    "Pin",
    "Place",
    "PlaceChoice",
    "PlaceLookup",
    "Plan",
    "PlanInput",
    "PlanRefusal",
    "RefusalCause",
    "RegionLinks",
    "Share",
    "ShareMap",
    "SharedRates",
    "ShiftRunner",
    "SteeringModel",
    "SteeringTable",
    "Topology",
    "VersionedIntent",
    "VmEvidence",
    "after_loss",
    "blocks_of_networks",
    "check_intent",
    "compute_plan",
    "fresh_configuration",
    "headroom",
    "shift_reports",
    "solve_capacity",
    "stated_intents",
]
