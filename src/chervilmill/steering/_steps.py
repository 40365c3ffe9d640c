"""Divide a shift into steps that respect its cap, counted in blocks."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from chervilmill.steering._blocks import BlockTable
from chervilmill.steering._hashing import HASH_SPAN, positions
from chervilmill.steering._shares import PlaceChange

STEPS_PER_MIN = 12
STEP_INTERVAL_S = 5.0
PERCENT = 100


@dataclass(frozen=True, slots=True)
class ShiftStep:
    """Fraction that a step reaches, in units of 1 / HASH_SPAN, and blocks moved since the start."""

    fraction: int
    blocks: int


@dataclass(frozen=True, slots=True)
class BlockCap:
    """Upper limit on the blocks that move within any minute."""

    blocks_per_min: int

    @property
    def blocks_per_step(self) -> int:
        """Return how many blocks a step moves, unless several blocks share one hash position."""
        return max(1, self.blocks_per_min // STEPS_PER_MIN)


def block_cap(block_count: int, percent_per_min: int) -> BlockCap:
    """Return the cap of a service in whole blocks."""
    return BlockCap(block_count * percent_per_min // PERCENT)


def shift_steps(
    blocks: BlockTable, seed: int, place_changes: Sequence[PlaceChange], cap: BlockCap
) -> tuple[ShiftStep, ...]:
    """Return the steps of a shift, each of which moves at most `cap.blocks_per_step` blocks.

    Blocks whose hashes make them move at the same fraction always move together, so a step that
    contains them may be larger. The last step reaches HASH_SPAN.
    """
    if not place_changes:
        return ()
    moving = np.sort(_move_fractions(blocks, seed, place_changes))
    steps: list[ShiftStep] = []
    size = cap.blocks_per_step
    for end in range(size, len(moving), size):
        fraction = int(moving[end])
        moved_blocks = int(moving.searchsorted(np.uint32(fraction), side="left"))
        if moved_blocks > (steps[-1].blocks if steps else 0):
            steps.append(ShiftStep(fraction, moved_blocks))
    steps.append(ShiftStep(HASH_SPAN, len(moving)))
    return tuple(steps)


def _move_fractions(
    blocks: BlockTable, seed: int, place_changes: Sequence[PlaceChange]
) -> NDArray[np.uint32]:
    """Return, for every block that moves, the fraction above which the block has moved."""
    lows = np.array([(c.home << 32) + c.low for c in place_changes], np.uint64)
    highs = np.array([(c.home << 32) + c.high for c in place_changes], np.uint64)
    parts = [_fractions_of_chunk(keys, lows, highs) for keys in _hashed_chunks(blocks, seed)]
    return np.concatenate(parts) if parts else np.empty(0, np.uint32)


def _hashed_chunks(blocks: BlockTable, seed: int) -> Iterator[NDArray[np.uint64]]:
    for chunk in blocks.chunks():
        hashes = positions(chunk.keys, seed).astype(np.uint64)
        yield (chunk.homes.astype(np.uint64) << np.uint64(32)) + hashes


def _fractions_of_chunk(
    keys: NDArray[np.uint64], lows: NDArray[np.uint64], highs: NDArray[np.uint64]
) -> NDArray[np.uint32]:
    index = lows.searchsorted(keys, side="right").astype(np.int64) - 1
    is_moving = (index >= 0) & (keys < highs[np.maximum(index, 0)])
    index = index[is_moving]
    offsets = keys[is_moving] - lows[index]
    widths = highs[index] - lows[index]
    return ((offsets << np.uint64(32)) // widths).astype(np.uint32)
