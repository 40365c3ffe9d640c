"""Measure target selection, order coordination, subsets, faults and the proxy path."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.requests._compare import comparison_figures
from bench.requests._mixed import mixed_figures
from bench.requests._orders import order_figures
from bench.requests._path import path_figures
from bench.requests._subsets import subset_figures


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures of every benchmark in this package."""
    yield from comparison_figures(seed)
    yield from order_figures(seed)
    yield from subset_figures()
    yield from mixed_figures(seed)
    yield from path_figures()
