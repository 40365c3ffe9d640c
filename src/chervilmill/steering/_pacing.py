"""Apply new maps at a node no faster than the cap of the shift allows.

Without this limit, a node that missed several steps would apply them all at once.
"""

from dataclasses import dataclass

import numpy as np

from chervilmill.steering._executor import CAP_WINDOW_S, MAX_CLOCK_DRIFT_SHARE
from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._shares import ShareMap, interpolate, place_changes
from chervilmill.steering._topology import Array

MIN_MOVED_SHARE = 1e-9


@dataclass(frozen=True, slots=True)
class _AppliedMove:
    at_s: float
    share: float


class Pacer:
    """Moves the map that a node applies towards the current map of the shift, within the cap.

    `block_share_by_home` is the share of all blocks at each home.
    """

    def __init__(self, block_share_by_home: Array) -> None:
        self._block_share_by_home = block_share_by_home
        self._recent_moves: list[_AppliedMove] = []
        self._map: ShareMap | None = None

    @property
    def map(self) -> ShareMap | None:
        """Return the map that this node applies, or None before the first `advance_towards`."""
        return self._map

    def advance_towards(self, now_s: float, goal: ShareMap, cap: float) -> bool:
        """Move towards `goal` within the cap, and return whether the goal is reached.

        `cap` is the share of all blocks that may move within a minute.
        """
        if self._map is None:
            self._map = goal
            return True
        moving_share = self._moving_share(self._map, goal)
        if moving_share <= MIN_MOVED_SHARE:
            self._map = goal
            return True
        window_s = CAP_WINDOW_S * (1 + MAX_CLOCK_DRIFT_SHARE)
        self._recent_moves = [move for move in self._recent_moves if now_s - move.at_s <= window_s]
        remaining = cap - sum(move.share for move in self._recent_moves)
        share = min(moving_share, remaining)
        if share <= MIN_MOVED_SHARE:
            return False
        self._recent_moves.append(_AppliedMove(now_s, share))
        is_reached = share == moving_share
        fraction = int(HASH_SPAN * share / moving_share)
        self._map = goal if is_reached else interpolate(self._map, goal, fraction)
        return is_reached

    def _moving_share(self, base: ShareMap, goal: ShareMap) -> float:
        """Return the share of all blocks whose place differs between two maps."""
        widths = np.zeros(base.home_count)
        for change in place_changes(base, goal):
            widths[change.home] += (change.high - change.low) / HASH_SPAN
        return float((widths * self._block_share_by_home).sum())
