"""Measure plans, the solver and the application of steering at the target's size."""

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

SIZE = FleetSize()
UTILISATION = 0.6
LINK_MBIT_PER_S = 20_000.0
KBIT_PER_REQUEST = 60
PERCENT_PER_MIN = 10
LOST_PLACES = (0, 7, 31, 77, 149)
KB = 1000
SERVICE = Service("souhrny", 6, 400, True, 1, 6, 1, 10, KBIT_PER_REQUEST)


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures of steering."""
    yield from plan_figures(seed, SIZE, LOST_PLACES)


def plan_figures(seed: int, size: FleetSize, lost: tuple[int, ...]) -> Iterator[Figure]:
    """Yield the figures of plans for a fleet of some size."""
    fleet = generate_fleet(seed, size, UTILISATION, LINK_MBIT_PER_S)
    blocks = block_table(seed, size)
    started_s = time.perf_counter()
    first = _plan(fleet, blocks, ShareMap.identity(size.places), leaving=("region-1",))
    yield Figure("plan_s", time.perf_counter() - started_s, "s")
    yield Figure("plan_steps", len(first.steps), "steps")
    yield Figure(
        "plan_differs", float(_plan_again(fleet, blocks, first) != first.encode()), "plans"
    )
    yield Figure("plan_overloads", len(first.refusals), "refusals")
    settled = _plan(fleet, blocks, ShareMap.identity(size.places))
    unchanged = _plan(fleet, blocks, settled.goal)
    yield Figure("unchanged_moves", _moved(unchanged), "blocks")
    ratios = [_loss_ratio(fleet, blocks, settled.goal, place) for place in lost]
    yield Figure("place_loss_moves_ratio", max(ratios), "ratio")
    yield from _state_figures(fleet, blocks, first)


def _state_figures(fleet: Fleet, blocks: BlockTable, plan: Plan) -> Iterator[Figure]:
    record = confirmed_plan(plan, _input(fleet, blocks, plan.base, ("region-1",)))
    state = initial_state(record, None, blocks)
    encoded = state.encode()
    yield Figure("state_kb", len(encoded) / KB, "kB")
    started_s = time.perf_counter()
    decode_state(encoded).current_map()
    yield Figure("state_apply_s", time.perf_counter() - started_s, "s")


def _loss_ratio(fleet: Fleet, blocks: BlockTable, present: ShareMap, place: int) -> float:
    """Return the blocks that the loss of a place moves, over those that it had."""
    name = fleet.topology.places[place].name
    without = Fleet(fleet.topology.with_capacities({name: 0.0}), fleet.demand)
    moved = _moved(_plan(without, blocks, present))
    return moved / _blocks_of(blocks, present, place)


def _blocks_of(blocks: BlockTable, shares: ShareMap, place: int) -> float:
    counts = blocks.blocks_per_home(shares.home_count)
    return float((shares.shares(shares.home_count)[:, place] * counts).sum())


def _plan_again(fleet: Fleet, blocks: BlockTable, plan: Plan) -> bytes:
    return _plan(fleet, blocks, plan.base, leaving=("region-1",)).encode()


def _plan(fleet: Fleet, blocks: BlockTable, base: ShareMap, leaving: tuple[str, ...] = ()) -> Plan:
    return compute_plan(_input(fleet, blocks, base, leaving))


def _input(fleet: Fleet, blocks: BlockTable, base: ShareMap, leaving: tuple[str, ...]) -> PlanInput:
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


def _moved(plan: Plan) -> int:
    return plan.steps[-1].blocks_moved if plan.steps else 0
