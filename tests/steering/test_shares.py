"""Test share maps, the transition between two maps and the steps of a shift."""

import random

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench._steering_fleet import FleetSize, block_table
from chervilmill.steering._hashing import HASH_SPAN, positions
from chervilmill.steering._shares import Segment, ShareMap, interpolate, place_changes
from chervilmill.steering._steps import STEPS_PER_MIN, BlockCap, block_cap, shift_steps

HOMES = 5
SIZE = FleetSize(places=HOMES, domains=5, regions=1, blocks=4_000)


def random_map(rng: random.Random) -> ShareMap:
    segments = []
    for home in range(HOMES):
        cuts = sorted({0, HASH_SPAN, *(rng.randrange(HASH_SPAN) for _ in range(4))})
        for low, high in zip(cuts, cuts[1:], strict=False):
            segments.append(Segment(home, low, high, rng.randrange(HOMES)))
    return ShareMap.from_segments(HOMES, segments)


fractions = st.integers(0, HASH_SPAN)


@given(st.integers(0, 10_000), fractions, fractions)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_lower_fraction_moves_a_subset(seed: int, one: int, other: int) -> None:
    rng = random.Random(seed)
    base, goal = random_map(rng), random_map(rng)
    low, high = sorted((one, other))
    earlier, later = interpolate(base, goal, low), interpolate(base, goal, high)
    for _ in range(200):
        home, position = rng.randrange(HOMES), rng.randrange(HASH_SPAN)
        ends = [m.place_of(home, position) for m in (base, earlier, later, goal)]
        assert ends[1] in (ends[0], ends[3])
        assert ends[2] in (ends[0], ends[3])
        if ends[1] == ends[3]:
            assert ends[2] == ends[3]


def test_transition_starts_at_the_base_and_ends_at_the_goal() -> None:
    rng = random.Random(1)
    base, goal = random_map(rng), random_map(rng)
    assert interpolate(base, goal, 0) == base
    assert interpolate(base, goal, HASH_SPAN) == goal
    assert ShareMap.from_lists(goal.to_lists()) == goal
    assert np.allclose(goal.shares(HOMES).sum(axis=1), 1)


@pytest.mark.parametrize("pairs", [[], [[HASH_SPAN - 1, 0]], [[9, 0], [9, 1], [HASH_SPAN, 0]]])
def test_map_that_leaves_blocks_without_a_place_is_refused(pairs: list[list[int]]) -> None:
    with pytest.raises(ValueError, match="cover"):
        ShareMap.from_lists([pairs])


@pytest.mark.parametrize("percent", [1, 7, 100])
def test_steps_count_the_blocks_that_change_their_place(percent: int) -> None:
    table = block_table(5, SIZE)
    rng = random.Random(percent)
    base, goal = random_map(rng), random_map(rng)
    cap = block_cap(len(table), percent)
    steps = shift_steps(table, 9, place_changes(base, goal), cap)
    places = list(zip(table.homes.tolist(), positions(table.starts, 9).tolist(), strict=True))
    before = 0
    for step in steps[:40]:
        now = interpolate(base, goal, step.fraction)
        moved = sum(base.place_of(*block) != now.place_of(*block) for block in places)
        assert moved == step.blocks
        assert moved - before <= cap.blocks_per_step
        before = moved
    assert steps[-1].fraction == HASH_SPAN
    assert steps[-1].blocks == sum(base.place_of(*b) != goal.place_of(*b) for b in places)


def test_a_minute_of_steps_is_within_the_cap() -> None:
    cap = BlockCap(1_000)
    assert cap.blocks_per_step * STEPS_PER_MIN <= cap.blocks_per_min
