"""Measure how long a target and an entry VM take to drain while long uploads are in flight."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.checker import Outcome, RequestKind, Trace
from bench.faults import Load, PlannedFault, run_faults
from bench.faults._schedule import FaultKind, LeavingSign
from bench.fleet import Shape
from bench.load import Mix

UPLOAD_LOAD = Load(
    Mix(requests_per_s=24.0, order_share=0.1, upload_share=0.8, max_upload_bytes=2_000_000), 9.0
)
DRAIN_FROM_S = 3.0
DRAIN_UNTIL_S = 10.0


def drain_figures(shape: Shape, seed: int) -> Iterator[Figure]:
    """Yield the drain times of a target and an entry VM, and the number of interrupted uploads."""
    domain = shape.places[0].failure_domain
    target, entry = f"target-{domain}-2", f"entry-{domain}-2"
    faults = (
        PlannedFault(
            FaultKind.TARGET_DRAINS,
            (target, LeavingSign.VM_LIST.value),
            DRAIN_FROM_S,
            DRAIN_UNTIL_S,
        ),
        PlannedFault(FaultKind.ROLLING_REPLACEMENT, (entry,), DRAIN_FROM_S, DRAIN_UNTIL_S),
    )
    trace = run_faults(shape, faults, seed, UPLOAD_LOAD).trace
    yield Figure(f"drain.{shape.name}.target", _target_drain_s(trace), "s")
    yield Figure(f"drain.{shape.name}.entry", _entry_drain_s(trace), "s")
    uploads = [record for record in trace.attempts if record.kind is RequestKind.UPLOAD]
    cut = sum(record.outcome in (Outcome.SHORT, Outcome.LOST) for record in uploads)
    yield Figure(f"drain.{shape.name}.uploads", len(uploads), "uploads")
    yield Figure(f"drain.{shape.name}.longest_upload", _longest_upload_s(trace), "s")
    yield Figure(f"drain.{shape.name}.uploads_cut", cut, "uploads")


def _target_drain_s(trace: Trace) -> float:
    (leaving,) = trace.leavings
    ends = [
        run.ended_s
        for run in trace.runs
        if run.target == leaving.target
        and run.ended_s is not None
        and leaving.announced_s < run.ended_s
        and run.started_s < leaving.until_s
    ]
    return max(ends, default=leaving.announced_s) - leaving.announced_s


def _entry_drain_s(trace: Trace) -> float:
    return max(stop.ended_s - stop.requested_s for stop in trace.stops)


def _longest_upload_s(trace: Trace) -> float:
    uploads = (record for record in trace.attempts if record.kind is RequestKind.UPLOAD)
    return max(record.ended_s - record.sent_s for record in uploads)
