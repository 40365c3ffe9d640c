"""Decide the next step of a shift from evidence, within the cap of the shift.

Decisions do no I/O. An executor knows only its own writes and the evidence that it receives. After
a take-over it assumes that the previous lease holder has just used the whole cap.
"""

from dataclasses import dataclass, replace
from enum import Enum

import numpy as np

from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._state import Phase, ShiftState
from chervilmill.steering._steps import STEP_INTERVAL_S, ShiftStep
from chervilmill.steering._topology import Array

CAP_WINDOW_S = 60.0
MAX_CLOCK_DRIFT_SHARE = 0.02
MAX_MEASUREMENT_AGE_S = 10.0
LOAD_TOLERANCE = 1e-3


class WaitReason(Enum):
    """Reason for which a shift does not advance now."""

    CAP = "cap"
    LOWER_PRIORITY_FIRST = "lower_priority_first"
    MEASUREMENTS_LAG = "measurements_lag"
    NOT_IN_FORCE = "not_in_force"
    PLACE_OVERLOADED = "place_overloaded"
    SETTLING = "settling"
    STEP_INTERVAL = "step_interval"
    TARGETS_COLD = "targets_cold"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Observations of nodes and targets under the newest state.

    `measured_at_s` is a reading of the executor's monotonic clock. `is_in_force` is true if every
    live node applies the newest state. `capacities` is by place, in requests a second.
    """

    measured_at_s: float
    is_in_force: bool
    are_targets_warm: bool
    capacities: Array


@dataclass(frozen=True, slots=True)
class ShiftLoads:
    """Loads of places at both ends of a shift, in requests a second."""

    base_loads: Array
    goal_loads: Array

    def at(self, fraction: int) -> Array:
        """Return the loads at a fraction of the shift, in units of 1 / HASH_SPAN."""
        return self.base_loads + (self.goal_loads - self.base_loads) * (fraction / HASH_SPAN)


@dataclass(frozen=True, slots=True)
class Write:
    """Decision to write a state, which moves the given number of blocks."""

    state: ShiftState
    blocks: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision to write nothing now."""

    reason: WaitReason


Action = Write | Wait


@dataclass(slots=True)
class _Move:
    """Blocks that one step moved; the time is None until the step is in force at every node."""

    blocks: int
    in_force_at_s: float | None


class Executor:
    """Decides the steps of one service during one tenure of the lease."""

    def __init__(self, inherited: ShiftState | None) -> None:
        self._moves: list[_Move] = []
        if inherited is not None and not inherited.is_settled:
            self._moves.append(_Move(inherited.block_count, None))
        self._in_force_since_s: float | None = None
        self._unacknowledged: ShiftState | None = None

    def decide(
        self, now_s: float, state: ShiftState, shift_loads: ShiftLoads, evidence: Evidence
    ) -> Action:
        """Return the next write, or the reason to wait.

        `state` is the state in the store. The caller calls `record_attempt` before it sends a
        returned write, and `record_applied` after the reply.
        """
        self._record_evidence(now_s, evidence)
        if self._unacknowledged is not None:
            return self._repeat_write(now_s, evidence)
        if state.phase.is_final:
            return self._mark_settled(now_s, state)
        reason = self._reason_to_wait(now_s, state, evidence)
        if reason in (
            WaitReason.MEASUREMENTS_LAG,
            WaitReason.NOT_IN_FORCE,
            WaitReason.TARGETS_COLD,
        ):
            return self._pause(state, reason)
        if state.phase is not Phase.RETURNING and _is_gaining_place_overloaded(
            state, shift_loads, evidence
        ):
            return Write(_with_changes(state, phase=Phase.RETURNING, reason="place overloaded"), 0)
        if reason is not None:
            return Wait(reason)
        step = _previous_step(state) if state.phase is Phase.RETURNING else _next_step(state)
        if _would_overload(state, step, shift_loads, evidence):
            return self._pause(state, WaitReason.PLACE_OVERLOADED)
        blocks = abs(step.blocks - state.blocks_moved)
        if blocks > state.cap_blocks_per_min - self._blocks_in_window(now_s):
            return Wait(WaitReason.CAP)
        return Write(_state_after(state, step), blocks)

    def begin(self, state: ShiftState) -> Write:
        """Return the write that begins a shift and moves no blocks."""
        return Write(state if self._unacknowledged is None else self._unacknowledged, 0)

    def record_attempt(self, write: Write) -> None:
        """Record a write before it is sent, so that it counts even if the reply is lost."""
        self._in_force_since_s = None
        self._unacknowledged = write.state
        if write.blocks:
            self._moves.append(_Move(write.blocks, None))

    def record_applied(self) -> None:
        """Record that the last write was applied, after which no earlier write can be applied."""
        self._unacknowledged = None

    def _repeat_write(self, now_s: float, evidence: Evidence) -> Action:
        """Repeat a write whose reply was lost.

        That write may still be applied late, and would then undo any other write.
        """
        assert self._unacknowledged is not None
        if now_s - evidence.measured_at_s > MAX_MEASUREMENT_AGE_S:
            return Wait(WaitReason.MEASUREMENTS_LAG)
        return Write(self._unacknowledged, 0)

    def _record_evidence(self, now_s: float, evidence: Evidence) -> None:
        if not evidence.is_in_force or self._unacknowledged is not None:
            self._in_force_since_s = None
            return
        if self._in_force_since_s is None:
            self._in_force_since_s = now_s
        for move in self._moves:
            if move.in_force_at_s is None:
                move.in_force_at_s = now_s
        self._moves = [move for move in self._moves if _counts_against_cap(move, now_s)]

    def _reason_to_wait(
        self, now_s: float, state: ShiftState, evidence: Evidence
    ) -> WaitReason | None:
        if now_s - evidence.measured_at_s > MAX_MEASUREMENT_AGE_S:
            return WaitReason.MEASUREMENTS_LAG
        if self._in_force_since_s is None:
            return WaitReason.NOT_IN_FORCE
        if not evidence.are_targets_warm and state.phase is not Phase.RETURNING:
            return WaitReason.TARGETS_COLD
        if self._moves and now_s - self._last_move_at_s(now_s) < STEP_INTERVAL_S:
            return WaitReason.STEP_INTERVAL
        return None

    def _last_move_at_s(self, now_s: float) -> float:
        return max(
            now_s if move.in_force_at_s is None else move.in_force_at_s for move in self._moves
        )

    def _pause(self, state: ShiftState, reason: WaitReason) -> Action:
        """Write a pause once; waiting for nodes to apply the state does not count as a pause."""
        if reason is WaitReason.NOT_IN_FORCE or state.phase is not Phase.MOVING:
            return Wait(reason)
        return Write(_with_changes(state, phase=Phase.PAUSED, reason=reason.value), 0)

    def _mark_settled(self, now_s: float, state: ShiftState) -> Action:
        if state.is_settled or self._blocks_in_window(now_s):
            return Wait(WaitReason.SETTLING)
        return Write(_with_changes(state, is_settled=True), 0)

    def _blocks_in_window(self, now_s: float) -> int:
        return sum(move.blocks for move in self._moves if _counts_against_cap(move, now_s))


def _counts_against_cap(move: _Move, now_s: float) -> bool:
    return move.in_force_at_s is None or now_s - move.in_force_at_s <= CAP_WINDOW_S * (
        1 + MAX_CLOCK_DRIFT_SHARE
    )


def _with_changes(
    state: ShiftState,
    *,
    phase: Phase | None = None,
    reason: str = "",
    fraction: int | None = None,
    is_settled: bool = False,
) -> ShiftState:
    return replace(
        state,
        phase=state.phase if phase is None else phase,
        reason=reason,
        fraction=state.fraction if fraction is None else fraction,
        is_settled=is_settled,
        sequence=state.sequence + 1,
    )


def _next_step(state: ShiftState) -> ShiftStep:
    return next(step for step in state.steps if step.fraction > state.fraction)


def _previous_step(state: ShiftState) -> ShiftStep:
    earlier = [step for step in state.steps if step.fraction < state.fraction]
    return earlier[-1] if earlier else ShiftStep(0, 0)


def _state_after(state: ShiftState, step: ShiftStep) -> ShiftState:
    if state.phase is Phase.RETURNING:
        phase = Phase.RETURNED if step.fraction == 0 else Phase.RETURNING
        return _with_changes(state, phase=phase, reason=state.reason, fraction=step.fraction)
    phase = Phase.DONE if step.fraction == HASH_SPAN else Phase.MOVING
    return _with_changes(state, phase=phase, fraction=step.fraction)


def _is_gaining_place_overloaded(
    state: ShiftState, shift_loads: ShiftLoads, evidence: Evidence
) -> bool:
    """Return whether a place that gains load by the shift now exceeds its capacity."""
    loads = shift_loads.at(state.fraction)
    gains = loads > shift_loads.base_loads + LOAD_TOLERANCE
    return bool(np.any(gains & (loads > evidence.capacities + LOAD_TOLERANCE)))


def _would_overload(
    state: ShiftState, step: ShiftStep, shift_loads: ShiftLoads, evidence: Evidence
) -> bool:
    now, after = shift_loads.at(state.fraction), shift_loads.at(step.fraction)
    rises = after > now + LOAD_TOLERANCE
    return bool(np.any(rises & (after > evidence.capacities + LOAD_TOLERANCE)))
