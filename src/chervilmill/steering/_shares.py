"""Map client blocks to the places that serve them, by ranges of hashes for each home place.

The hashes of the blocks of one home are divided into ranges, and each range is assigned to a
place. The size of a map depends on its number of ranges, at a few bytes each, and not on the
number of blocks. A shift from one map to another moves the lower part of every range whose place
changes. The blocks moved at a lower fraction are therefore a subset of the blocks moved at a
higher fraction.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from chervilmill.steering._hashing import HASH_SPAN


@dataclass(frozen=True, slots=True)
class Segment:
    """The place of the blocks of a home whose hashes are in `range(low, high)`."""

    home: int
    low: int
    high: int
    place: int

    @property
    def width(self) -> int:
        """Return the number of hashes in the segment."""
        return self.high - self.low


@dataclass(frozen=True, slots=True)
class PlaceChange:
    """A range of hashes of a home that two maps assign to different places."""

    home: int
    low: int
    high: int
    source: int
    sink: int

    def moved_end(self, fraction: int) -> int:
        """Return the hash below which blocks have moved, at a fraction from 0 to HASH_SPAN."""
        return self.low + -(-(self.high - self.low) * fraction // HASH_SPAN)


class ShareMap:
    """A map of blocks to places: for each home, the upper ends of its ranges and their places."""

    __slots__ = ("_highs", "_places")

    def __init__(self, highs: list[list[int]], places: list[list[int]]) -> None:
        self._highs = highs
        self._places = places

    def __eq__(self, other: object) -> bool:
        """Return whether two maps have the same ranges and places."""
        if not isinstance(other, ShareMap):
            return NotImplemented
        return self._highs == other._highs and self._places == other._places

    def __hash__(self) -> int:
        """Return a hash that is equal for equal maps."""
        return hash(str(self._highs))

    @property
    def home_count(self) -> int:
        """Return the number of homes."""
        return len(self._highs)

    def place_of(self, home: int, position: int) -> int:
        """Return the place of a block, by its home and the position of its hash."""
        return self._places[home][bisect_right(self._highs[home], position)]

    def segments(self) -> Iterator[Segment]:
        """Yield all segments, ordered by home and hash."""
        for home in range(self.home_count):
            low = 0
            for high, place in zip(self._highs[home], self._places[home], strict=True):
                yield Segment(home, low, high, place)
                low = high

    def shares(self, place_count: int) -> NDArray[np.float64]:
        """Return the share of each home's hashes assigned to each place, by home and place."""
        shares = np.zeros((self.home_count, place_count))
        for segment in self.segments():
            shares[segment.home, segment.place] += segment.width / HASH_SPAN
        return shares

    def to_lists(self) -> list[list[list[int]]]:
        """Return `[upper end, place]` pairs for each home."""
        return [
            [list(pair) for pair in zip(highs, places, strict=True)]
            for highs, places in zip(self._highs, self._places, strict=True)
        ]

    @classmethod
    def from_lists(cls, lists: list[list[list[int]]]) -> "ShareMap":
        """Return the map of `to_lists`, or raise ValueError if a home is not covered completely."""
        for pairs in lists:
            highs = [pair[0] for pair in pairs]
            if highs != sorted(set(highs)) or not highs or highs[-1] != HASH_SPAN:
                raise ValueError("the ranges of a home do not cover all hashes in order")
        return cls(
            [[int(pair[0]) for pair in pairs] for pairs in lists],
            [[int(pair[1]) for pair in pairs] for pairs in lists],
        )

    @classmethod
    def identity(cls, home_count: int) -> "ShareMap":
        """Return the map that assigns every block to its home."""
        return cls([[HASH_SPAN] for _ in range(home_count)], [[home] for home in range(home_count)])

    @classmethod
    def from_segments(cls, home_count: int, segments: Iterable[Segment]) -> "ShareMap":
        """Return the map of segments that cover each home.

        Adjacent segments with the same place are merged.
        """
        highs: list[list[int]] = [[] for _ in range(home_count)]
        places: list[list[int]] = [[] for _ in range(home_count)]
        for segment in sorted(segments, key=lambda item: (item.home, item.low)):
            if not segment.width:
                continue
            home_highs, home_places = highs[segment.home], places[segment.home]
            if home_places and home_places[-1] == segment.place:
                home_highs[-1] = segment.high
                continue
            home_highs.append(segment.high)
            home_places.append(segment.place)
        return cls(highs, places)


def place_changes(base: ShareMap, goal: ShareMap) -> list[PlaceChange]:
    """Return the ranges whose place in `goal` differs from `base`, ordered by home and hash."""
    return [
        PlaceChange(home, low, high, source, sink)
        for home, low, high, source, sink in _overlay(base, goal)
        if source != sink
    ]


def interpolate(base: ShareMap, goal: ShareMap, fraction: int) -> ShareMap:
    """Return the current map once part of every change has moved.

    `fraction` is the part that has moved, from 0 to HASH_SPAN.
    """
    segments: list[Segment] = []
    for home, low, high, source, sink in _overlay(base, goal):
        moved_end = PlaceChange(home, low, high, source, sink).moved_end(fraction)
        segments.append(Segment(home, low, moved_end, sink))
        segments.append(Segment(home, moved_end, high, source))
    return ShareMap.from_segments(base.home_count, segments)


def _overlay(base: ShareMap, goal: ShareMap) -> Iterator[tuple[int, int, int, int, int]]:
    """Yield home, low, high, place in `base` and place in `goal` for the common subranges."""
    if base.home_count != goal.home_count:
        raise ValueError(f"the maps differ in homes: {base.home_count} and {goal.home_count}")
    goal_segments = goal.segments()
    other = next(goal_segments, None)
    for segment in base.segments():
        low = segment.low
        while low < segment.high:
            while other is not None and (other.home, other.high) <= (segment.home, low):
                other = next(goal_segments, None)
            assert other is not None
            high = min(segment.high, other.high)
            yield segment.home, low, high, segment.place, other.place
            low = high
