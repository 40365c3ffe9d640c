"""Measure latency, headroom and drain time, which matter to both users."""

from collections.abc import Iterator
from dataclasses import replace

from bench._rows import Figure
from bench.faults import Load, run_faults
from bench.faults._schedule import FaultKind, PlannedFault, single_fault
from bench.fleet import SHAPES, Shape
from bench.load import Mix
from bench.measures._drain import drain_figures
from bench.measures._headroom import headroom_figures
from bench.measures._latency import digest_times, latency_figures

IDLE_LOAD = Load(Mix(requests_per_s=10.0, order_share=0.0, upload_share=0.0), 10.0, work_s=0.02)
BUSY_WORK_S = 0.5
BUSY_DURATION_S = 15.0
BUSY_SLOT_SHARE = 0.8
PART_DELAY_TOTAL_S = 0.04
TARGET_COUNT = 12
WARM_UP_S = 3.0
FAULT_REQUESTS_PER_S = 30.0
FAULT_WORK_S = 0.02
FIRST_FAULT_S = 3.0
FAULT_DURATION_S = 3.0
BETWEEN_FAULTS_S = 2.5
AFTER_FAULT_S = 1.0


def figures(seed: int) -> Iterator[Figure]:
    """Yield headroom, latency (idle, at 80 % load and during each fault) and drain times."""
    for name, shape in SHAPES.items():
        yield from headroom_figures(shape)
        yield from _latency(shape, f"latency.{name}.idle", seed, IDLE_LOAD)
        yield from _latency(shape, f"latency.{name}.at_80_percent", seed, _busy_load(shape))
        yield from _latency_through_faults(shape, f"latency.{name}", seed)
        yield from drain_figures(shape, seed)


def _latency(shape: Shape, prefix: str, seed: int, load: Load) -> Iterator[Figure]:
    trace = run_faults(shape, (), seed, load).trace
    yield from latency_figures(prefix, digest_times(trace, WARM_UP_S, load.duration_s))


def _latency_through_faults(shape: Shape, prefix: str, seed: int) -> Iterator[Figure]:
    faults = tuple(_sequential_faults(shape, seed))
    mix = Mix(requests_per_s=FAULT_REQUESTS_PER_S, order_share=0.1, upload_share=0.0)
    load = Load(mix, faults[-1].until_s + BETWEEN_FAULTS_S, FAULT_WORK_S)
    trace = run_faults(shape, faults, seed, load).trace
    for fault in faults:
        times = digest_times(trace, fault.from_s, fault.until_s + AFTER_FAULT_S)
        yield from latency_figures(f"{prefix}.{fault.kind.name.lower()}", times)


def _sequential_faults(shape: Shape, seed: int) -> Iterator[PlannedFault]:
    from_s = FIRST_FAULT_S
    for kind in FaultKind:
        fault = single_fault(kind, shape, seed, from_s, from_s + FAULT_DURATION_S)
        if kind is FaultKind.ROLLING_REPLACEMENT:
            fault = replace(fault, names=fault.names[:1])
        yield fault
        from_s = fault.until_s + BETWEEN_FAULTS_S


def _busy_load(shape: Shape) -> Load:
    """Return a load that occupies 80 % of all slots."""
    requests_per_s = (
        BUSY_SLOT_SHARE * TARGET_COUNT * shape.slots / (BUSY_WORK_S + PART_DELAY_TOTAL_S)
    )
    mix = Mix(requests_per_s=requests_per_s, order_share=0.0, upload_share=0.0)
    return Load(mix, BUSY_DURATION_S, BUSY_WORK_S)
