"""Measure the planner with its solver and the application of its plans at the target size."""

import time
from collections.abc import Iterator

from bench._rows import Figure
from bench._steering_fleet import Fleet, FleetSize, block_table, generate_fleet
from chervilmill.settings import Service
from chervilmill.steering import (
    BlockTable,
    Cap,
    Intent,
    Plan,
    PlanInput,
    ShareMap,
    VersionedIntent,
    compute_plan,
)
from chervilmill.steering._confirmed import confirmed_plan
from chervilmill.steering._initial_state import initial_state
from chervilmill.steering._state import decode_state

TARGET_SIZE = FleetSize()
UTILISATION = 0.6
LINK_MBIT_PER_S = 20_000.0
KBIT_PER_REQUEST = 60
PERCENT_PER_MIN = 10
LOST_PLACES = (0, 7, 31, 77, 149)
BYTES_PER_KB = 1000
SERVICE = Service("souhrny", 6, 400, True, 1, 6, 1, 10, KBIT_PER_REQUEST)


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures of steering at the target size."""
    yield from plan_figures(seed, TARGET_SIZE, LOST_PLACES)


def plan_figures(seed: int, size: FleetSize, lost_places: tuple[int, ...]) -> Iterator[Figure]:
    """Yield the figures of plans for a generated fleet.

    `lost_places` are the indexes of the places whose loss is planned for, one at a time.
    """
    fleet = generate_fleet(seed, size, UTILISATION, LINK_MBIT_PER_S)
    blocks = block_table(seed, size)
    started_s = time.perf_counter()
    evacuation = plan_for(fleet, blocks, ShareMap.identity(size.places), leaving=("region-1",))
    yield Figure("plan_s", time.perf_counter() - started_s, "s")
    yield Figure("plan_steps", len(evacuation.steps), "steps")
    yield Figure(
        "plan_differs",
        float(_encoded_again(fleet, blocks, evacuation) != evacuation.encode()),
        "plans",
    )
    yield Figure("plan_overloads", len(evacuation.refusals), "refusals")
    settled = plan_for(fleet, blocks, ShareMap.identity(size.places))
    unchanged = plan_for(fleet, blocks, settled.goal)
    yield Figure("unchanged_moves", _blocks_moved(unchanged), "blocks")
    ratios = [_moved_ratio_after_loss(fleet, blocks, settled.goal, place) for place in lost_places]
    yield Figure("place_loss_moves_ratio", max(ratios), "ratio")
    yield from _state_figures(fleet, blocks, evacuation)


def _state_figures(fleet: Fleet, blocks: BlockTable, plan: Plan) -> Iterator[Figure]:
    record = confirmed_plan(plan, plan_input(fleet, blocks, plan.base, ("region-1",)))
    state = initial_state(record, None, blocks)
    encoded = state.encode()
    yield Figure("state_kb", len(encoded) / BYTES_PER_KB, "kB")
    started_s = time.perf_counter()
    decode_state(encoded).current_map()
    yield Figure("state_apply_s", time.perf_counter() - started_s, "s")


def _moved_ratio_after_loss(
    fleet: Fleet, blocks: BlockTable, current: ShareMap, place: int
) -> float:
    """Return the ratio of the blocks moved after the loss of a place to the blocks it had."""
    name = fleet.topology.places[place].name
    reduced = Fleet(fleet.topology.with_capacities({name: 0.0}), fleet.demand)
    moved_blocks = _blocks_moved(plan_for(reduced, blocks, current))
    return moved_blocks / _assigned_blocks(blocks, current, place)


def _assigned_blocks(blocks: BlockTable, shares: ShareMap, place: int) -> float:
    counts = blocks.blocks_per_home(shares.home_count)
    return float((shares.shares(shares.home_count)[:, place] * counts).sum())


def _encoded_again(fleet: Fleet, blocks: BlockTable, plan: Plan) -> bytes:
    return plan_for(fleet, blocks, plan.base, leaving=("region-1",)).encode()


def plan_for(
    fleet: Fleet, blocks: BlockTable, base: ShareMap, leaving: tuple[str, ...] = ()
) -> Plan:
    """Return the plan that moves a fleet from `base` with the given regions out of service."""
    return compute_plan(plan_input(fleet, blocks, base, leaving))


def plan_input(
    fleet: Fleet, blocks: BlockTable, base: ShareMap, leaving: tuple[str, ...]
) -> PlanInput:
    """Return the planner's input for an intent that takes the given regions out of service."""
    intent = Intent("bench", SERVICE.name, (), Cap(PERCENT_PER_MIN, 10**7), leaving, (), 50)
    return PlanInput(
        stated_intent=VersionedIntent(intent, 1),
        service=SERVICE,
        topology=fleet.topology,
        demand=fleet.demand,
        base=base,
        is_shifting=False,
        others=(),
        blocks=blocks,
        revision=1,
        headroom_share=1.0,
        emergency_percent_per_min=50,
    )


def _blocks_moved(plan: Plan) -> int:
    return plan.steps[-1].blocks_moved if plan.steps else 0
