"""Measure the cost of each role at several sizes and extrapolate it to the stated target size."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity import _allotter, _callers, _node_to_node, _platform_client, _steering
from bench.capacity._fit import Quantity

QUANTITIES: tuple[Quantity, ...] = (
    *_callers.QUANTITIES,
    *_platform_client.QUANTITIES,
    *_node_to_node.QUANTITIES,
    *_steering.QUANTITIES,
    *_allotter.QUANTITIES,
)


def figures(seed: int) -> Iterator[Figure]:
    """Yield each quantity's fitted line and its value at the target size.

    The seed determines the simulated network delays, the generated fleets and the block tables.
    """
    yield from _callers.figures()
    yield from _platform_client.figures()
    yield from _node_to_node.figures(seed)
    yield from _steering.figures(seed)
    yield from _allotter.figures(seed)
