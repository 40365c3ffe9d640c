"""Encode block tables as parts, and changes of block tables as deltas, for the platform's store.

A table is split into parts, each of which fits into one object. A part contains the gaps between
the starts of its blocks, followed by the homes. The bytes of the gaps are grouped by significance,
because this order compresses well.
"""

import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import cbor2
import numpy as np
from numpy.typing import NDArray

from chervilmill.steering._blocks import BlockTable

PART_BLOCKS = 400_000
FORMAT_VERSION = 1
COMPRESSION_LEVEL = 6
GAP_BYTES = 4


class MalformedBlocksError(ValueError):
    """Raised for a part, a delta or a manifest that cannot be decoded."""


@dataclass(frozen=True, slots=True)
class BlockDelta:
    """A change of a block table.

    `starts` and `homes` are the blocks to add or to give another home. `removed` holds the starts
    of blocks to remove. The range of a removed block becomes part of the block before it.
    """

    starts: NDArray[np.uint32]
    homes: NDArray[np.uint8]
    removed: NDArray[np.uint32]


def encode_parts(table: BlockTable) -> Iterator[bytes]:
    """Yield the encoded parts of a table's IPv4 blocks in order."""
    for begin in range(0, len(table.starts), PART_BLOCKS):
        end = begin + PART_BLOCKS
        yield _compress(_encode_columns(table.starts[begin:end], table.homes[begin:end]))


def decode_parts(parts: Sequence[bytes]) -> BlockTable:
    """Return the table that consists of encoded parts, or raise MalformedBlocksError."""
    arrays = [_decode_columns(_decompress(part)) for part in parts]
    if not arrays:
        return BlockTable(np.empty(0, np.uint32), np.empty(0, np.uint8))
    table = BlockTable(
        np.concatenate([starts for starts, _ in arrays]),
        np.concatenate([homes for _, homes in arrays]),
    )
    if np.any(table.starts[1:] <= table.starts[:-1]):
        raise MalformedBlocksError("the starts of blocks do not rise")
    return table


def encode_delta(delta: BlockDelta) -> bytes:
    """Return the stored form of a delta, whose starts must rise."""
    return _compress([*_encode_columns(delta.starts, delta.homes), _encode_gaps(delta.removed)])


def decode_delta(value: bytes) -> BlockDelta:
    """Return the delta of a stored form, or raise MalformedBlocksError."""
    columns = _decompress(value)
    if len(columns) != 3:
        raise MalformedBlocksError(f"a delta has {len(columns)} columns instead of 3")
    starts, homes = _decode_columns(columns[:2])
    return BlockDelta(starts, homes, _decode_gaps(columns[2]))


def apply_delta(table: BlockTable, delta: BlockDelta) -> BlockTable:
    """Return the table with a delta applied.

    The operation is idempotent: applying the same delta again changes nothing.
    """
    replaced = np.concatenate([delta.removed, delta.starts])
    is_kept = np.isin(table.starts, replaced, assume_unique=False, invert=True)
    kept = table.starts[is_kept]
    positions = kept.searchsorted(delta.starts)
    return BlockTable(
        np.insert(kept, positions, delta.starts),
        np.insert(table.homes[is_kept], positions, delta.homes),
        table.starts_v6,
        table.homes_v6,
    )


def _encode_columns(starts: NDArray[np.uint32], homes: NDArray[np.uint8]) -> list[bytes]:
    return [_encode_gaps(starts), homes.tobytes()]


def _encode_gaps(starts: NDArray[np.uint32]) -> bytes:
    """Return the gaps between starts as bytes.

    The least significant bytes of all gaps come first, then the next bytes of all gaps.
    """
    gaps = np.diff(starts, prepend=np.uint32(0)).astype("<u4")
    return gaps.view(np.uint8).reshape(-1, GAP_BYTES).T.tobytes()


def _decode_gaps(gaps: bytes) -> NDArray[np.uint32]:
    if len(gaps) % GAP_BYTES:
        raise MalformedBlocksError(f"{len(gaps)} bytes are not a multiple of {GAP_BYTES}")
    by_significance = np.frombuffer(gaps, np.uint8).reshape(GAP_BYTES, -1)
    gaps_of_blocks = np.ascontiguousarray(by_significance.T).view("<u4").reshape(-1)
    return np.cumsum(gaps_of_blocks, dtype=np.uint32)


def _decode_columns(
    columns: Sequence[bytes],
) -> tuple[NDArray[np.uint32], NDArray[np.uint8]]:
    if len(columns) != 2:
        raise MalformedBlocksError(f"a part has {len(columns)} columns instead of 2")
    starts, homes = _decode_gaps(columns[0]), np.frombuffer(columns[1], np.uint8)
    if len(starts) != len(homes):
        raise MalformedBlocksError(f"{len(starts)} starts do not match {len(homes)} homes")
    return starts, homes


def _compress(columns: list[bytes]) -> bytes:
    encoded: bytes = cbor2.dumps([FORMAT_VERSION, *columns])
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def _decompress(value: bytes) -> list[bytes]:
    try:
        decoded: list[Any] = cbor2.loads(zlib.decompress(value))
        version, *columns = decoded
    except (zlib.error, ValueError, TypeError, cbor2.CBORDecodeError) as exc:
        raise MalformedBlocksError(f"not a compressed part or delta: {exc}") from exc
    if version != FORMAT_VERSION or not all(isinstance(column, bytes) for column in columns):
        raise MalformedBlocksError(
            f"format {version!r} is not format {FORMAT_VERSION} with binary columns"
        )
    return columns
