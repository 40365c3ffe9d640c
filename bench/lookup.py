"""Measure look-ups at the required size, in this process and over HTTP from one daemon process."""

import ipaddress
import json
import random
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import numpy as np

from bench._lookup_load import run_load
from bench._lookup_node import LookupNode
from bench._rows import Figure
from bench._steering_fleet import FleetSize, block_table
from chervilmill.standins.store import MemoryStore
from chervilmill.steering import BlockTable, ShareMap
from chervilmill.steering._block_codec import BlockDelta, apply_delta, encode_delta
from chervilmill.steering._block_store import BlockLoader, store_table
from chervilmill.steering._hashing import position

SIZE = FleetSize()
RATE_PER_S = 600
LOAD_S = 10.0
IN_PROCESS_LOOKUPS = 100_000
ORDINARY_CHANGE_SHARE = 0.01
KB = 1000
MB = 1000**2


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures for look-ups and for the table of client blocks."""
    table = block_table(seed, SIZE)
    yield Figure("table_bytes_per_block", table.size_bytes / SIZE.blocks, "bytes")
    yield Figure("pure_per_s", in_process_lookups_per_s(seed, table), "1/s")
    yield from _storage_figures(seed, table)
    del table
    yield from _http_figures(seed)


def in_process_lookups_per_s(seed: int, table: BlockTable) -> float:
    """Return the rate of look-ups in this process, each from an address as text to a place."""
    rng = random.Random(seed)
    shares = ShareMap.identity(SIZE.places)
    addresses = [
        str(ipaddress.IPv4Address(rng.randrange(2**32))) for _ in range(IN_PROCESS_LOOKUPS)
    ]
    started_s = time.perf_counter()
    for address in addresses:
        block = table.find(address)
        if block is not None:
            shares.place_of(block.home, position(block.key, seed))
    return IN_PROCESS_LOOKUPS / (time.perf_counter() - started_s)


def _storage_figures(seed: int, table: BlockTable) -> Iterator[Figure]:
    store = MemoryStore()
    manifest = store_table(store, table)
    sizes = [len(stored.value) for stored in store.list("blocks")]
    yield Figure("base_objects", len(sizes), "objects")
    yield Figure("largest_object_kb", max(sizes) / KB, "kB")
    started_s = time.perf_counter()
    BlockLoader(store).load(manifest)
    yield Figure("base_load_s", time.perf_counter() - started_s, "s")
    delta = ordinary_delta(seed, table)
    yield Figure("delta_kb", len(encode_delta(delta)) / KB, "kB")
    started_s = time.perf_counter()
    apply_delta(table, delta)
    yield Figure("delta_apply_s", time.perf_counter() - started_s, "s")


def ordinary_delta(seed: int, table: BlockTable) -> BlockDelta:
    """Return a delta that changes the home of one block in a hundred."""
    rng = np.random.default_rng(seed)
    count = int(len(table.starts) * ORDINARY_CHANGE_SHARE)
    chosen = np.sort(rng.choice(len(table.starts), count, replace=False))
    homes = rng.integers(0, SIZE.places, count, dtype=np.uint8)
    return BlockDelta(table.starts[chosen], homes, np.empty(0, np.uint32))


def _http_figures(seed: int) -> Iterator[Figure]:
    with tempfile.TemporaryDirectory() as folder, LookupNode(Path(folder)) as node:
        yield Figure("start_s", node.start_s, "s")
        cpu_before_s = node.process.cpu_s()
        result = run_load(node.caller_address, RATE_PER_S, LOAD_S, seed)
        cpu_s = node.process.cpu_s() - cpu_before_s
        yield Figure("http_per_s", result.answered / result.elapsed_s, "1/s")
        yield Figure("http_failed", result.failed, "requests")
        yield Figure("http_p50_ms", result.latency_ms(50.0), "ms")
        yield Figure("http_p99_ms", result.latency_ms(99.0), "ms")
        yield Figure("http_core_share", cpu_s / result.elapsed_s, "cores")
        yield Figure("resident_mb", node.process.memory_bytes() / MB, "MB")
        _post_intent(node)
        started_s = time.perf_counter()
        blocks = node.get("/plans?intent=bench")["blocks"]
        yield Figure("node_blocks", blocks, "blocks")
        yield Figure("node_plan_s", time.perf_counter() - started_s, "s")
        yield Figure("peak_resident_mb", node.process.peak_memory_bytes() / MB, "MB")


def _post_intent(node: LookupNode) -> None:
    intent: dict[str, Any] = {"name": "bench", "service": "souhrny", "shares": {"brno": 40}}
    node.post("/intents", json.dumps(intent).encode())
