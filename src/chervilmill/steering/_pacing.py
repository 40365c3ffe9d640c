"""Apply new maps at a node no faster than the cap of their shift.

A node that missed several steps would otherwise carry them out at once when it hears of them.
"""

from dataclasses import dataclass

import numpy as np

from chervilmill.steering._executor import CLOCK_DRIFT, WINDOW_S
from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._shares import ShareMap, changes, interpolate
from chervilmill.steering._topology import Array

LEAST_PART = 1e-9


@dataclass(frozen=True, slots=True)
class _Applied:
    at_s: float
    part: float


class Pacer:
    """Hold the map that a node applies and follow the one in force.

    `weights` is the part of all blocks that each home has.
    """

    def __init__(self, weights: Array) -> None:
        self._weights = weights
        self._applied: list[_Applied] = []
        self._map: ShareMap | None = None

    @property
    def map(self) -> ShareMap | None:
        """Return the map that this node applies, or None before the first."""
        return self._map

    def follow(self, now_s: float, goal: ShareMap, cap: float) -> bool:
        """Move towards a map as far as the cap allows and return whether it is reached.

        `cap` is the part of all blocks that may move within a minute.
        """
        if self._map is None:
            self._map = goal
            return True
        distance = self._distance(self._map, goal)
        if distance <= LEAST_PART:
            self._map = goal
            return True
        window_s = WINDOW_S * (1 + CLOCK_DRIFT)
        self._applied = [item for item in self._applied if now_s - item.at_s <= window_s]
        room = cap - sum(item.part for item in self._applied)
        part = min(distance, room)
        if part <= LEAST_PART:
            return False
        self._applied.append(_Applied(now_s, part))
        is_reached = part == distance
        fraction = int(HASH_SPAN * part / distance)
        self._map = goal if is_reached else interpolate(self._map, goal, fraction)
        return is_reached

    def _distance(self, base: ShareMap, goal: ShareMap) -> float:
        """Return the part of all blocks whose place differs."""
        widths = np.zeros(base.homes)
        for change in changes(base, goal):
            widths[change.home] += (change.high - change.low) / HASH_SPAN
        return float((widths * self._weights).sum())
