"""Check the counted figures of steering against their bounds at small sizes."""

import pytest

from bench._rows import load_bounds
from bench._steering_fleet import FleetSize, block_table
from bench.lookup import in_process_lookups_per_s, ordinary_delta
from bench.steering import plan_figures
from chervilmill.steering._block_codec import encode_delta

COUNTED = {
    "plan_differs",
    "plan_overloads",
    "unchanged_moves",
    "place_loss_moves_ratio",
    "state_kb",
}
SIZES = [FleetSize(30, 6, 3, 20_000), FleetSize(40, 10, 5, 30_000)]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", [1, 2])
def test_counted_rows_are_within_their_bounds(size: FleetSize, seed: int) -> None:
    bounds = load_bounds()
    values = {figure.name: figure.value for figure in plan_figures(seed, size, (0, 7, 19))}
    over = [name for name in COUNTED if not bounds[f"steering.{name}"].holds(values[name])]
    assert over == []


def test_ordinary_delta_is_small() -> None:
    table = block_table(1, FleetSize(blocks=50_000))
    bytes_per_block = len(encode_delta(ordinary_delta(1, table))) / 500
    assert bytes_per_block * 34_000 <= 600_000
    assert in_process_lookups_per_s(1, table) > 0
