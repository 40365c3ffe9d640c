"""Test block hashing, the look-up of blocks and the memory use of the block table."""

import ipaddress
import random

import numpy as np
import pytest
import xxhash

from bench._steering_fleet import FleetSize, block_table
from chervilmill.steering import BlockTable, ClientNetwork, blocks_of_networks
from chervilmill.steering._hashing import hash_seed, position, positions

SMALL = FleetSize(places=12, domains=6, regions=3, blocks=5_000)


@pytest.mark.parametrize("seed", [0, 1, 2**32 - 1, hash_seed("souhrny")])
def test_vectorised_hash_equals_the_xxhash_library(seed: int) -> None:
    starts = np.random.default_rng(seed).integers(0, 2**32, 500, dtype=np.uint32)
    expected = [xxhash.xxh32_intdigest(int(s).to_bytes(4, "little"), seed) for s in starts]
    assert positions(starts, seed).tolist() == expected
    assert position(int(starts[0]), seed) == expected[0]


def test_binary_search_agrees_with_a_linear_scan() -> None:
    table = block_table(3, SMALL)
    rng = random.Random(3)
    edges = [int(start) + offset for start in table.starts[1:50] for offset in (-1, 0, 1)]
    for number in [*edges, *(rng.randrange(int(table.starts[0]), 2**32) for _ in range(200))]:
        index = int(np.flatnonzero(table.starts <= number)[-1])
        block = table.find(str(ipaddress.IPv4Address(number)))
        assert block is not None
        assert (block.key, block.home) == (table.starts[index], table.homes[index])


def table_of_networks(*items: tuple[str, tuple[int, ...]]) -> BlockTable:
    return blocks_of_networks(
        ClientNetwork(ipaddress.ip_network(text), 24, homes) for text, homes in items
    )


@pytest.mark.parametrize(
    ("address", "first", "homes"),
    [
        ("10.1.7.9", "10.1.7.0", {0, 1}),
        ("10.1.255.255", "10.1.255.0", {0, 1}),
        ("10.2.0.0", None, set()),
        ("10.0.255.255", None, set()),
        ("10.3.0.1", "10.3.0.0", {2}),
        ("::ffff:10.3.0.1", "10.3.0.0", {2}),
        ("2001:db8:1:2::9", "2001:db8:1::", {3}),
        ("2001:db8:2::", None, set()),
        ("255.255.255.255", None, set()),
    ],
)
def test_block_of_declared_networks(address: str, first: str | None, homes: set[int]) -> None:
    table = table_of_networks(
        ("10.3.0.0/16", (2,)), ("10.1.0.0/16", (0, 1)), ("2001:db8:1::/48", (3,))
    )
    block = table.find(address)
    assert (None if block is None else block.first_address) == first
    assert block is None or block.home in homes


def test_no_clients_give_no_block() -> None:
    assert table_of_networks().find("10.1.1.1") is None


def test_blocks_take_five_bytes_each() -> None:
    table = block_table(1, SMALL)
    assert table.size_bytes == 5 * SMALL.blocks
