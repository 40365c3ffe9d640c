"""Test which entry VMs ask the store for all others, and how news reaches all of them."""

import math
from collections import Counter

import pytest

from chervilmill.peers._ring import READERS, RELAY_DEGREE, WatchRing


@pytest.mark.parametrize(
    ("vms", "domains", "readers", "distinct"),
    [(1, 1, 1, 1), (3, 6, 3, 3), (12, 6, READERS, READERS), (800, 150, READERS, READERS)],
)
def test_store_calls_grow_with_the_fleet(
    vms: int, domains: int, readers: int, distinct: int
) -> None:
    by_key = {number * 7919 % 10007: f"d{number % domains}" for number in range(vms)}
    chosen = WatchRing(by_key).readers()
    assert len(set(chosen)) == len(chosen) == readers
    assert len({by_key[key] for key in chosen}) == distinct


def test_readers_of_one_failure_domain_are_fewer_than_needed() -> None:
    assert len(WatchRing(dict.fromkeys(range(10), "d")).readers()) == READERS


@pytest.mark.parametrize("vms", [1, 2, 3, 13, 14, 61, 195, 800])
def test_what_vms_pass_on_reaches_all_of_them(vms: int) -> None:
    by_key = {number * 7919 % 10007: "d" for number in range(vms)}
    ring = WatchRing(by_key)
    ways = Counter(other for key in by_key for other in ring.relays(key))
    for first in list(by_key)[:10]:
        reached, newest = {first}, {first}
        for _ in range(math.ceil(math.log(vms, RELAY_DEGREE)) + 1):
            newest = {other for key in newest for other in ring.relays(key)} - reached
            reached |= newest
        assert reached == by_key.keys()
    assert all(len(ring.relays(key)) <= RELAY_DEGREE for key in by_key)
    assert vms < 14 or min(ways.values()) >= RELAY_DEGREE - 1
