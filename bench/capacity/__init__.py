"""Measure slopes at several sizes and work out each role's cost at the stated target."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity import _callers, _platform_client
from bench.capacity._fit import Quantity

QUANTITIES: tuple[Quantity, ...] = (*_callers.QUANTITIES, *_platform_client.QUANTITIES)


def figures(seed: int) -> Iterator[Figure]:
    """Yield slopes, fits and figures at the target; the seed changes nothing."""
    yield from _callers.figures()
    yield from _platform_client.figures()
