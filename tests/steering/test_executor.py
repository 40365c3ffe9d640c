"""Check each decision of the executor against a table of states and evidence."""

from dataclasses import replace

import numpy as np
import pytest

from bench._steering_fleet import FleetSize, block_table
from chervilmill.steering import ShareMap
from chervilmill.steering._confirmed import ConfirmedPlan
from chervilmill.steering._executor import Evidence, Executor, ShiftLoads, Wait, WaitReason, Write
from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._initial_state import initial_state
from chervilmill.steering._state import Phase, ShiftState, decode_state
from chervilmill.steering._steps import ShiftStep

BASE = ShareMap.identity(2)
GOAL = ShareMap.from_lists([[[HASH_SPAN, 1]], [[HASH_SPAN, 1]]])
STEPS = tuple(ShiftStep(HASH_SPAN * n // 4, 25 * n) for n in (1, 2, 3, 4))
NOW_S = 1_000.0
SHIFT_LOADS = ShiftLoads(np.array([40.0, 10.0]), np.array([0.0, 50.0]))
GOOD = Evidence(NOW_S - 1, True, True, np.array([60.0, 60.0]))


def state(fraction: int = 0, phase: Phase = Phase.MOVING, settled: bool = True) -> ShiftState:
    return ShiftState(
        "p", "i", 3, 4, ("a", "b"), BASE, GOAL, fraction, STEPS, 100, 60, phase, "", 7, settled, {}
    )


HALF = HASH_SPAN // 2
NOT_IN_FORCE = replace(GOOD, is_in_force=False)
STALE_MEASUREMENTS = replace(GOOD, measured_at_s=0.0)
COLD_TARGETS = replace(GOOD, are_targets_warm=False)
NO_ROOM = replace(GOOD, capacities=np.array([60.0, 35.0]))
FAILED = replace(GOOD, capacities=np.array([60.0, 0.0]))
ALL_FAILED = replace(GOOD, capacities=np.zeros(2))
CASES = [
    ("advances", state(HALF), GOOD, 75, Phase.MOVING),
    ("ends", state(STEPS[2].fraction), GOOD, 100, Phase.DONE),
    ("former step not in force", state(HALF), NOT_IN_FORCE, WaitReason.NOT_IN_FORCE, None),
    ("measurements stopped", state(HALF), STALE_MEASUREMENTS, 50, Phase.PAUSED),
    (
        "still stopped",
        state(HALF, Phase.PAUSED),
        STALE_MEASUREMENTS,
        WaitReason.MEASUREMENTS_LAG,
        None,
    ),
    ("measurements are back", state(HALF, Phase.PAUSED), GOOD, 75, Phase.MOVING),
    ("targets cold", state(HALF), COLD_TARGETS, 50, Phase.PAUSED),
    ("next step has no room", state(HALF), NO_ROOM, 50, Phase.PAUSED),
    ("gaining place failed", state(HALF), FAILED, 50, Phase.RETURNING),
    ("goes back", state(HALF, Phase.RETURNING), GOOD, 25, Phase.RETURNING),
    ("is back", state(STEPS[0].fraction, Phase.RETURNING), GOOD, 0, Phase.RETURNED),
    ("no way back", state(HALF, Phase.RETURNING), ALL_FAILED, WaitReason.PLACE_OVERLOADED, None),
    ("ended and settled", state(HASH_SPAN, Phase.DONE), GOOD, WaitReason.SETTLING, None),
    ("predecessor just moved", state(HALF, settled=False), GOOD, WaitReason.STEP_INTERVAL, None),
]


@pytest.mark.parametrize(
    ("old", "evidence", "expected", "phase"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_decision(old: ShiftState, evidence: Evidence, expected: object, phase: object) -> None:
    action = Executor(old).decide(NOW_S, old, SHIFT_LOADS, evidence)
    if isinstance(expected, WaitReason):
        assert action == Wait(expected)
        return
    assert isinstance(action, Write)
    assert (action.state.blocks_moved, action.state.phase) == (expected, phase)
    assert action.blocks == abs(action.state.blocks_moved - old.blocks_moved)
    assert action.state.sequence == old.sequence + 1


def test_a_successor_waits_for_a_whole_minute() -> None:
    old = state(HALF, settled=False)
    successor = Executor(old)
    successor.decide(NOW_S, old, SHIFT_LOADS, GOOD)
    early = successor.decide(NOW_S + 60, old, SHIFT_LOADS, replace(GOOD, measured_at_s=NOW_S + 59))
    assert early == Wait(WaitReason.CAP)
    late = successor.decide(NOW_S + 62, old, SHIFT_LOADS, replace(GOOD, measured_at_s=NOW_S + 61))
    assert isinstance(late, Write)


def test_a_lost_reply_is_settled_before_the_next_step() -> None:
    old = state(HALF)
    executor = Executor(old)
    first = executor.decide(NOW_S, old, SHIFT_LOADS, GOOD)
    assert isinstance(first, Write)
    executor.record_attempt(first)
    again = executor.decide(NOW_S + 1, old, SHIFT_LOADS, GOOD)
    assert again == Write(first.state, 0)
    executor.record_attempt(again)
    executor.record_applied()
    settled = executor.decide(NOW_S + 2, first.state, SHIFT_LOADS, GOOD)
    assert settled == Wait(WaitReason.STEP_INTERVAL)


def test_state_survives_its_encoding() -> None:
    old = state(HALF, Phase.PAUSED)
    assert decode_state(old.encode()) == old


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", state().encode()[:-9], b"\xff"])
def test_malformed_state_is_refused(body: bytes) -> None:
    with pytest.raises(ValueError, match="steering object"):
        decode_state(body)


def test_shift_begins_at_home_where_the_state_names_other_places() -> None:
    blocks = block_table(1, FleetSize(places=2, domains=2, regions=1, blocks=100))
    plan = ConfirmedPlan("q", "souhrny", "i", 1, 1, False, 50, ("a", "b"), GOAL, {})
    assert initial_state(plan, state(HALF), blocks).base == state(HALF).current_map()
    renamed = replace(state(HALF), places=("a", "c"))
    begun = initial_state(plan, renamed, blocks)
    assert begun.base == BASE
    assert begun.sequence == renamed.sequence + 1
