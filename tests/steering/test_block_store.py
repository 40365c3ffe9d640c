"""Test the encoding of parts and deltas, and the loading of block tables from the store."""

import numpy as np
import pytest

from bench._steering_fleet import FleetSize, block_table
from chervilmill.coordination import StoreUnavailableError
from chervilmill.standins.store import MemoryStore
from chervilmill.steering import BlockTable
from chervilmill.steering._block_codec import (
    BlockDelta,
    MalformedBlocksError,
    apply_delta,
    decode_delta,
    decode_parts,
    encode_delta,
    encode_parts,
)
from chervilmill.steering._block_store import (
    MAX_DELTA_BYTES,
    BlockLoader,
    BlockManifest,
    decode_manifest,
    store_delta,
    store_table,
)

SIZE = FleetSize(places=12, domains=6, regions=3, blocks=3_000)


def are_equal(first: BlockTable, second: BlockTable) -> bool:
    return bool(
        np.array_equal(first.starts, second.starts) and np.array_equal(first.homes, second.homes)
    )


def delta_of(table: BlockTable) -> BlockDelta:
    """Return a delta that sets the home of ten blocks, splits a block and removes two blocks."""
    starts = np.sort(np.append(table.starts[10:60:5], table.starts[200] + np.uint32(1)))
    homes = np.full(len(starts), 3, np.uint8)
    return BlockDelta(starts, homes, table.starts[[300, 301]])


def test_parts_decode_to_the_whole_table(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("chervilmill.steering._block_codec.PART_BLOCKS", 700)
    table = block_table(1, SIZE)
    parts = list(encode_parts(table))
    assert len(parts) == 5
    assert are_equal(decode_parts(parts), table)
    with pytest.raises(MalformedBlocksError, match="rise"):
        decode_parts(parts[::-1])


def test_delta_changes_only_its_own_blocks_and_is_idempotent() -> None:
    table = block_table(1, SIZE)
    delta = decode_delta(encode_delta(delta_of(table)))
    changed = apply_delta(table, delta)
    expected = dict(zip(table.starts.tolist(), table.homes.tolist(), strict=True))
    for start in delta.removed.tolist():
        del expected[start]
    expected.update(zip(delta.starts.tolist(), delta.homes.tolist(), strict=True))
    assert dict(zip(changed.starts.tolist(), changed.homes.tolist(), strict=True)) == expected
    assert np.all(np.diff(changed.starts.astype(np.int64)) > 0)
    assert are_equal(apply_delta(changed, delta), changed)


@pytest.mark.parametrize("value", [b"", b"zz", encode_delta(delta_of(block_table(1, SIZE)))])
def test_malformed_part_is_refused(value: bytes) -> None:
    with pytest.raises(MalformedBlocksError):
        decode_parts([value])


def test_loader_reads_each_object_once_and_keeps_its_table_on_failure() -> None:
    store = MemoryStore()
    table = block_table(1, SIZE)
    manifest = store_table(store, table)
    loader = BlockLoader(store)
    assert are_equal(loader.load(manifest), table)
    calls_after_base = store.calls
    extended = store_delta(store, manifest, delta_of(table))
    calls_after_delta = store.calls
    assert are_equal(loader.load(extended), apply_delta(table, delta_of(table)))
    assert store.calls == calls_after_delta + 1
    assert calls_after_base > 0
    store.is_down = True
    with pytest.raises(StoreUnavailableError):
        loader.load(BlockManifest((), ("missing",)))
    store.is_down = False
    assert are_equal(loader.load(extended), apply_delta(table, delta_of(table)))
    assert store.calls == calls_after_delta + 2
    assert decode_manifest(extended.encode()) == extended


def test_delta_that_is_too_large_is_refused() -> None:
    rng = np.random.default_rng(1)
    starts = np.sort(rng.choice(2**32, 400_000, replace=True).astype(np.uint32))
    homes = rng.integers(0, 150, len(starts), dtype=np.uint8)
    delta = BlockDelta(starts, homes, np.empty(0, np.uint32))
    assert len(encode_delta(delta)) > MAX_DELTA_BYTES
    with pytest.raises(ValueError, match="more than"):
        store_delta(MemoryStore(), BlockManifest((), ()), delta)
