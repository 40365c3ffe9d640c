"""Check that the faults of a run are determined by its seed and overlap."""

import pytest

from bench.faults._schedule import FaultKind, schedule_faults
from bench.fleet import SHAPES

SEEDS = range(1, 21)


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
def test_twenty_seeds_cover_every_fault_and_overlap(shape) -> None:
    runs = [schedule_faults(shape, seed) for seed in SEEDS]
    assert runs == [schedule_faults(shape, seed) for seed in SEEDS]
    assert {fault.kind for run in runs for fault in run} == set(FaultKind)
    for faults in runs:
        starts = [fault.from_s for fault in faults]
        overlaps = [sum(f.from_s <= at_s <= f.until_s for f in faults) for at_s in starts]
        assert max(overlaps) >= 2
