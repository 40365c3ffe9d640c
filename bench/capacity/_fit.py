"""Fit a straight line to figures measured at several sizes and read it at another size."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np

from bench._rows import Figure

LEAST_SIZES = 3


@dataclass(frozen=True, slots=True)
class Quantity:
    """Describe one quantity of a role and the size that drives it.

    `target` is the driver at the size of the stated target; `scale` turns the fitted figure into
    `unit`, such as a cost for each look-up into a share of a core.
    """

    role: str
    name: str
    what: str
    driver: str
    sizes: tuple[int, ...]
    target: float
    unit: str
    mechanism: str
    scale: float = 1.0

    @property
    def key(self) -> str:
        """Return the name of the quantity among all roles."""
        return f"{self.role}.{self.name}"


@dataclass(frozen=True, slots=True)
class Line:
    """Hold a fitted line; `fit` is the coefficient of determination, 1 for a perfect line."""

    fixed: float
    slope: float
    fit: float

    def at(self, size: float) -> float:
        """Return the figure at a size."""
        return self.fixed + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the line of least squares, or raise ValueError for fewer than three sizes."""
    if len(set(sizes)) < LEAST_SIZES or len(sizes) != len(values):
        raise ValueError(f"{len(values)} values at {len(set(sizes))} sizes")
    slope, fixed = np.polyfit(np.asarray(sizes, float), np.asarray(values, float), 1)
    measured = np.asarray(values, float)
    residual = measured - (fixed + slope * np.asarray(sizes, float))
    spread = float(((measured - measured.mean()) ** 2).sum())
    fit = 1.0 if spread == 0 else 1.0 - float((residual**2).sum()) / spread
    return Line(float(fixed), float(slope), fit)


def figures_of(quantity: Quantity, values: Sequence[float]) -> Iterator[Figure]:
    """Yield the slope, its fit and the figure worked out at the target."""
    line = fit_line(quantity.sizes, values)
    scale = quantity.scale
    yield Figure(f"{quantity.key}.slope", line.slope * scale, f"{quantity.unit} each")
    yield Figure(f"{quantity.key}.fixed", line.fixed * scale, quantity.unit)
    yield Figure(f"{quantity.key}.fit", line.fit, "r2")
    yield Figure(f"{quantity.key}.at_target", line.at(quantity.target) * scale, quantity.unit)
