"""Compare figures with the bounds that follow from the stated targets."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Protocol

import json5

from bench._known_red import KnownRed

BOUNDS_FILE = Path(__file__).with_name("bounds.jsonc")


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure; `name` is unique within its group."""

    name: str
    value: float
    unit: str


class Group(Protocol):
    """The callable that measures the figures of a group."""

    def __call__(self, seed: int) -> Iterator[Figure]:
        """Yield each figure as soon as it is measured."""
        ...


@dataclass(frozen=True, slots=True)
class Bound:
    """The minimum and maximum of a figure, and the source that states them."""

    least: float | None
    most: float | None
    source: str

    def holds(self, value: float) -> bool:
        """Return whether a value is within the bound."""
        is_enough = self.least is None or value >= self.least
        return is_enough and (self.most is None or value <= self.most)

    def __str__(self) -> str:
        parts = []
        if self.least is not None:
            parts.append(f">= {self.least:g}")
        if self.most is not None:
            parts.append(f"<= {self.most:g}")
        return " and ".join(parts)


class Verdict(Enum):
    """Whether a figure is within its bound."""

    PASS = "pass"
    OVER = "OVER"
    KNOWN_RED = "known red"
    SHOWN = "shown"


@dataclass(frozen=True, slots=True)
class Row:
    """A figure of a group with its bound and verdict."""

    group: str
    figure: Figure
    bound: Bound | None
    verdict: Verdict

    @property
    def name(self) -> str:
        """Return the figure's name, unique across all groups."""
        return f"{self.group}.{self.figure.name}"


def load_bounds() -> dict[str, Bound]:
    """Return the bounds by `group.name`."""
    raw = json5.loads(BOUNDS_FILE.read_text())
    return {
        name: Bound(item.get("least"), item.get("most"), item["source"])
        for name, item in raw.items()
    }


def judge(
    group: str,
    figure: Figure,
    bounds: Mapping[str, Bound],
    known_red: Mapping[str, KnownRed],
) -> Row:
    """Return the row of a figure with its verdict; a figure without a bound is only shown."""
    name = f"{group}.{figure.name}"
    bound = bounds.get(name)
    if bound is None:
        return Row(group, figure, None, Verdict.SHOWN)
    if bound.holds(figure.value):
        return Row(group, figure, bound, Verdict.PASS)
    is_known = f"bench:{name}" in known_red
    return Row(group, figure, bound, Verdict.KNOWN_RED if is_known else Verdict.OVER)
