"""Fit a straight line to values measured at several sizes and extrapolate it to another size."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np

from bench._rows import Figure

MIN_DISTINCT_SIZES = 3


@dataclass(frozen=True, slots=True)
class Quantity:
    """A quantity measured for a role, and the size that it depends on.

    `driver` names that size, `sizes` lists the sizes measured, and `target` is the size that the
    system has to support. `scale` converts the measured value to `unit`, for example the processor
    time of one look-up to the cores needed for a rate of look-ups.
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
        """Return the quantity's name, unique across all roles."""
        return f"{self.role}.{self.name}"


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A least-squares line; `r_squared` is its coefficient of determination, 1 for an exact fit."""

    intercept: float
    slope: float
    r_squared: float

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> FittedLine:
    """Return the least-squares line; raise ValueError for fewer than three distinct sizes."""
    if len(set(sizes)) < MIN_DISTINCT_SIZES or len(sizes) != len(values):
        raise ValueError(f"cannot fit a line to {len(values)} values at {len(set(sizes))} sizes")
    slope, intercept = np.polyfit(np.asarray(sizes, float), np.asarray(values, float), 1)
    measured = np.asarray(values, float)
    residuals = measured - (intercept + slope * np.asarray(sizes, float))
    total_variation = float(((measured - measured.mean()) ** 2).sum())
    r_squared = 1.0 if total_variation == 0 else 1.0 - float((residuals**2).sum()) / total_variation
    return FittedLine(float(intercept), float(slope), r_squared)


def fitted_figures(quantity: Quantity, values: Sequence[float]) -> Iterator[Figure]:
    """Yield the slope, intercept and fit of the values' line, and its value at the target size."""
    line = fit_line(quantity.sizes, values)
    scale = quantity.scale
    yield Figure(f"{quantity.key}.slope", line.slope * scale, f"{quantity.unit} each")
    yield Figure(f"{quantity.key}.fixed", line.intercept * scale, quantity.unit)
    yield Figure(f"{quantity.key}.fit", line.r_squared, "r2")
    yield Figure(f"{quantity.key}.at_target", line.value_at(quantity.target) * scale, quantity.unit)
