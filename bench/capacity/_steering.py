"""Measure the table of client blocks, and the planner that the holder of its lease runs."""

import time
from collections.abc import Iterator

from bench import steering
from bench._rows import Figure
from bench._steering_fleet import FleetSize, block_table, generate_fleet
from bench.capacity._fit import Quantity, fitted_figures
from bench.capacity._target_size import BLOCKS, CHANGES_PER_DAY, SITES
from chervilmill.steering import ShareMap
from chervilmill.steering._confirmed import confirmed_plan
from chervilmill.steering._initial_state import initial_state

BLOCK_COUNTS = (425_000, 850_000, 1_700_000)
SITE_COUNTS = (38, 75, 150)
S_PER_DAY = 86_400
LEAVING_REGIONS = ("region-1",)

TABLE_BYTES = Quantity(
    "lookup",
    "table",
    "memory of the table of client blocks",
    "blocks",
    BLOCK_COUNTS,
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
    SITE_COUNTS,
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
    SITE_COUNTS,
    SITES,
    "s",
    "solver on the node that the operator asked",
)
STATE_BYTES = Quantity(
    "planner",
    "state",
    "size of the steering state of a service in the store",
    "sites",
    SITE_COUNTS,
    SITES,
    "KB",
    "one object for each service, fenced by the executor's lease",
    scale=0.001,
)
QUANTITIES = (TABLE_BYTES, PLAN_S, PLAN_CPU, STATE_BYTES)


def figures(seed: int) -> Iterator[Figure]:
    """Yield how sizes and costs grow with the number of blocks, then with the number of sites."""
    table_sizes = [
        block_table(seed, FleetSize(blocks=blocks)).size_bytes for blocks in BLOCK_COUNTS
    ]
    yield from fitted_figures(TABLE_BYTES, [float(size) for size in table_sizes])
    costs = [_plan_costs(sites, seed) for sites in SITE_COUNTS]
    yield from fitted_figures(PLAN_S, [elapsed_s for elapsed_s, _, _ in costs])
    yield from fitted_figures(PLAN_CPU, [cpu_s for _, cpu_s, _ in costs])
    yield from fitted_figures(STATE_BYTES, [size for _, _, size in costs])


def _plan_costs(sites: int, seed: int) -> tuple[float, float, float]:
    size = FleetSize(places=sites)
    fleet = generate_fleet(seed, size, steering.UTILISATION, steering.LINK_MBIT_PER_S)
    blocks = block_table(seed, size)
    base = ShareMap.identity(sites)
    started_s, cpu_s = time.perf_counter(), time.process_time()
    plan = steering.plan_for(fleet, blocks, base, LEAVING_REGIONS)
    elapsed_s, cpu_s = time.perf_counter() - started_s, time.process_time() - cpu_s
    record = confirmed_plan(plan, steering.plan_input(fleet, blocks, plan.base, LEAVING_REGIONS))
    return elapsed_s, cpu_s, float(len(initial_state(record, None, blocks).encode()))
