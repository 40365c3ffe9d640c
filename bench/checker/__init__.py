"""Check a run's records of callers, targets and the store against the promises of the product.

The checker turns records into violations and imports none of the product's decision logic.
"""

from bench.checker._invariants import INVARIANTS, Violation, check
from bench.checker._records import (
    CallerRecord,
    ConfigurationWrite,
    Confirm,
    Disruption,
    LookupRecord,
    Outcome,
    PlannedStop,
    RegionSlots,
    RequestKind,
    RevisionSeen,
    Shift,
    TargetLeaving,
    TargetRun,
    Trace,
)

__all__ = [
    "INVARIANTS",
    "CallerRecord",
    "ConfigurationWrite",
    "Confirm",
    "Disruption",
    "LookupRecord",
    "Outcome",
    "PlannedStop",
    "RegionSlots",
    "RequestKind",
    "RevisionSeen",
    "Shift",
    "TargetLeaving",
    "TargetRun",
    "Trace",
    "Violation",
    "check",
]
