"""Measure the table of client blocks and the planner that one node runs by lease."""

import time
from collections.abc import Iterator

from bench import steering
from bench._rows import Figure
from bench._steering_fleet import FleetSize, block_table, generate_fleet
from bench.capacity._fit import Quantity, figures_of
from bench.capacity._target import BLOCKS, CHANGES_PER_DAY, SITES
from chervilmill.steering import ShareMap
from chervilmill.steering._confirmed import confirmed_plan
from chervilmill.steering._initial_state import initial_state

BLOCK_SIZES = (425_000, 850_000, 1_700_000)
SITE_SIZES = (38, 75, 150)
S_PER_DAY = 86_400
LEAVING = ("region-1",)

TABLE = Quantity(
    "lookup",
    "table",
    "memory of the table of client blocks",
    "blocks",
    BLOCK_SIZES,
    BLOCKS,
    "MB",
    "sorted flat arrays, one start and one home for each block",
    scale=1e-6,
)
PLAN_CPU = Quantity(
    "planner",
    "cpu",
    f"processor time of {CHANGES_PER_DAY} plans a day",
    "sites",
    SITE_SIZES,
    SITES,
    "% of a core",
    "solver on the holder of the planner's lease",
    scale=100.0 * CHANGES_PER_DAY / S_PER_DAY,
)
PLAN_S = Quantity(
    "planner",
    "plan_s",
    "time of one plan",
    "sites",
    SITE_SIZES,
    SITES,
    "s",
    "solver on the node that the operator asked",
)
STATE = Quantity(
    "planner",
    "state",
    "size of the steering state of a service in the store",
    "sites",
    SITE_SIZES,
    SITES,
    "KB",
    "one object for each service, fenced by the executor's lease",
    scale=0.001,
)
QUANTITIES = (TABLE, PLAN_S, PLAN_CPU, STATE)


def figures(seed: int) -> Iterator[Figure]:
    """Yield the slopes by the number of blocks, then by the number of sites."""
    tables = [block_table(seed, FleetSize(blocks=blocks)).size_bytes for blocks in BLOCK_SIZES]
    yield from figures_of(TABLE, [float(size) for size in tables])
    costs = [_plan_costs(sites, seed) for sites in SITE_SIZES]
    yield from figures_of(PLAN_S, [elapsed_s for elapsed_s, _, _ in costs])
    yield from figures_of(PLAN_CPU, [cpu_s for _, cpu_s, _ in costs])
    yield from figures_of(STATE, [size for _, _, size in costs])


def _plan_costs(sites: int, seed: int) -> tuple[float, float, float]:
    size = FleetSize(places=sites)
    fleet = generate_fleet(seed, size, steering.UTILISATION, steering.LINK_MBIT_PER_S)
    blocks = block_table(seed, size)
    base = ShareMap.identity(sites)
    started_s, cpu_s = time.perf_counter(), time.process_time()
    plan = steering._plan(fleet, blocks, base, LEAVING)
    elapsed_s, cpu_s = time.perf_counter() - started_s, time.process_time() - cpu_s
    record = confirmed_plan(plan, steering._input(fleet, blocks, plan.base, LEAVING))
    return elapsed_s, cpu_s, float(len(initial_state(record, None, blocks).encode()))
