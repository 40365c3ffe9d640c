"""Test which entry VMs ask the store for all others."""

import pytest

from chervilmill.peers._ring import READERS, WatchRing


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
