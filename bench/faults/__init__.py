"""Run both users' fleets under load and mixed faults and count violated invariants."""

import sys
from collections import Counter
from collections.abc import Iterator

from bench._rows import Figure
from bench.checker import INVARIANTS, LookupRecord, Outcome, Trace, Violation, check
from bench.faults._run import FaultRun, Load, run_faults
from bench.faults._schedule import FaultKind, PlannedFault, schedule_faults
from bench.fleet import SHAPES

__all__ = [
    "FaultKind",
    "FaultRun",
    "Load",
    "PlannedFault",
    "figures",
    "run_faults",
    "schedule_faults",
]

PRINTED_VIOLATIONS_PER_INVARIANT = 3
PRINTED_REASONS = 6


def figures(seed: int) -> Iterator[Figure]:
    """Yield, for each user, the violations of each invariant and the extent of the run."""
    for name, shape in SHAPES.items():
        run = run_faults(shape, schedule_faults(shape, seed), seed, Load(has_operators=True))
        violations = check(run.trace)
        _print_details(run, violations)
        for invariant in INVARIANTS:
            count = sum(violation.invariant == invariant for violation in violations)
            yield Figure(f"{name}.{invariant}", count, "violations")
        yield from _size_figures(name, run.trace)


def _size_figures(name: str, trace: Trace) -> Iterator[Figure]:
    attempts = len(trace.attempts)
    whole = sum(record.outcome is Outcome.WHOLE for record in trace.attempts)
    yield Figure(f"{name}.attempts", attempts, "requests")
    yield Figure(f"{name}.whole", 100 * whole / max(1, attempts), "% of attempts")
    yield Figure(f"{name}.runs", len(trace.runs), "runs")
    yield Figure(f"{name}.revisions_seen", len(trace.revisions), "readings")
    moved = {seen.block for seen in trace.lookups if _is_away(trace, seen)}
    yield Figure(f"{name}.blocks_moved", len(moved), "blocks")
    accepted = sum(confirm.is_accepted for confirm in trace.confirms)
    yield Figure(f"{name}.confirms", len(trace.confirms), "confirms")
    yield Figure(f"{name}.confirms_accepted", accepted, "confirms")
    yield Figure(f"{name}.planned_stops", len(trace.stops), "stops")


def _is_away(trace: Trace, seen: LookupRecord) -> bool:
    first = next(record for record in trace.lookups if record.block == seen.block)
    return seen.region != first.region


def _print_details(run: FaultRun, violations: tuple[Violation, ...]) -> None:
    for fault in run.faults:
        print(f"  {run.shape.name}: {fault}", file=sys.stderr)
    reasons = Counter(f"{item.outcome.value} {item.reason or ''}" for item in run.trace.attempts)
    for reason, count in reasons.most_common(PRINTED_REASONS):
        print(f"  {count:>5} {reason}", file=sys.stderr)
    printed: dict[str, int] = {}
    for violation in violations:
        printed[violation.invariant] = printed.get(violation.invariant, 0) + 1
        if printed[violation.invariant] <= PRINTED_VIOLATIONS_PER_INVARIANT:
            print(f"  {violation.invariant}: {violation.detail}", file=sys.stderr)
