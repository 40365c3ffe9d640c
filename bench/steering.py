"""Measure plans, the solver and the application of steering at the target's size."""

import time
from collections.abc import Iterator

from bench._rows import Figure
from bench._steering_fleet import Fleet, FleetSize, block_table, fleet
from chervilmill.settings import Service
from chervilmill.steering import (
    BlockTable,
    Cap,
    Intent,
    Plan,
    PlanInput,
    ShareMap,
    StatedIntent,
    compute_plan,
)
from chervilmill.steering._confirmed import confirmed_plan
from chervilmill.steering._first_state import first_state
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
    world = fleet(seed, size, UTILISATION, LINK_MBIT_PER_S)
    blocks = block_table(seed, size)
    started_s = time.perf_counter()
    first = _plan(world, blocks, ShareMap.at_home(size.places), leaving=("region-1",))
    yield Figure("plan_s", time.perf_counter() - started_s, "s")
    yield Figure("plan_steps", len(first.steps), "steps")
    yield Figure(
        "plan_differs", float(_plan_again(world, blocks, first) != first.encode()), "plans"
    )
    yield Figure("plan_overloads", len(first.refusals), "refusals")
    settled = _plan(world, blocks, ShareMap.at_home(size.places))
    unchanged = _plan(world, blocks, settled.goal)
    yield Figure("unchanged_moves", _moved(unchanged), "blocks")
    ratios = [_loss_ratio(world, blocks, settled.goal, place) for place in lost]
    yield Figure("place_loss_moves_ratio", max(ratios), "ratio")
    yield from _state_figures(world, blocks, first)


def _state_figures(world: Fleet, blocks: BlockTable, plan: Plan) -> Iterator[Figure]:
    record = confirmed_plan(plan, _input(world, blocks, plan.base, ("region-1",)))
    state = first_state(record, None, blocks)
    encoded = state.encode()
    yield Figure("state_kb", len(encoded) / KB, "kB")
    started_s = time.perf_counter()
    decode_state(encoded).in_force()
    yield Figure("state_apply_s", time.perf_counter() - started_s, "s")


def _loss_ratio(world: Fleet, blocks: BlockTable, present: ShareMap, place: int) -> float:
    """Return the blocks that the loss of a place moves, over those that it had."""
    name = world.topology.places[place].name
    without = Fleet(world.topology.with_capacities({name: 0.0}), world.demand)
    moved = _moved(_plan(without, blocks, present))
    return moved / _blocks_of(blocks, present, place)


def _blocks_of(blocks: BlockTable, shares: ShareMap, place: int) -> float:
    counts = blocks.blocks_per_home(shares.homes)
    return float((shares.shares(shares.homes)[:, place] * counts).sum())


def _plan_again(world: Fleet, blocks: BlockTable, plan: Plan) -> bytes:
    return _plan(world, blocks, plan.base, leaving=("region-1",)).encode()


def _plan(world: Fleet, blocks: BlockTable, base: ShareMap, leaving: tuple[str, ...] = ()) -> Plan:
    return compute_plan(_input(world, blocks, base, leaving))


def _input(world: Fleet, blocks: BlockTable, base: ShareMap, leaving: tuple[str, ...]) -> PlanInput:
    intent = Intent("bench", SERVICE.name, (), Cap(PERCENT_PER_MIN, 10**7), leaving, (), 50)
    return PlanInput(
        stated=StatedIntent(intent, 1),
        service=SERVICE,
        topology=world.topology,
        demand=world.demand,
        base=base,
        is_shifting=False,
        others=(),
        blocks=blocks,
        revision=1,
        headroom_part=1.0,
        emergency_percent_per_min=50,
    )


def _moved(plan: Plan) -> int:
    return plan.steps[-1].blocks_moved if plan.steps else 0
