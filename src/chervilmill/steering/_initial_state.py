"""Compute the initial state of the shift that carries out a confirmed plan."""

from chervilmill.steering._blocks import BlockTable
from chervilmill.steering._confirmed import ConfirmedPlan
from chervilmill.steering._hashing import HASH_SPAN, hash_seed
from chervilmill.steering._shares import ShareMap, place_changes
from chervilmill.steering._state import Phase, ShiftState
from chervilmill.steering._steps import block_cap, shift_steps


def initial_state(
    plan: ConfirmedPlan, present: ShiftState | None, blocks: BlockTable
) -> ShiftState:
    """Return the state in which the shift of a plan has begun and no block has moved.

    The base is the current map, even if an earlier shift is still under way, and the steps are
    counted from that map. Nodes do not apply a state that refers to other places and serve every
    block at home instead. If the present state is of that kind, the base is the identity map.
    """
    has_same_places = present is not None and present.places == plan.places
    base = (
        present.current_map()
        if present and has_same_places
        else ShareMap.identity(plan.goal.home_count)
    )
    block_count = blocks.known_count
    cap = block_cap(block_count, plan.percent_per_min)
    steps = shift_steps(blocks, hash_seed(plan.service), place_changes(base, plan.goal), cap)
    return ShiftState(
        plan_id=plan.plan_id,
        intent=plan.intent,
        intent_version=plan.intent_version,
        plan_revision=plan.plan_revision,
        places=plan.places,
        base=base,
        goal=plan.goal,
        fraction=0 if steps else HASH_SPAN,
        steps=steps,
        block_count=block_count,
        cap_blocks_per_min=cap.blocks_per_min,
        phase=Phase.MOVING if steps else Phase.DONE,
        reason="",
        sequence=1 if present is None else present.sequence + 1,
        is_settled=False,
        admitted=plan.admitted,
    )
