"""Check the headroom that operators see."""

import pytest

from chervilmill.coordination import EMPTY_CONFIGURATION
from chervilmill.settings import check_settings
from chervilmill.steering import Headroom, SteeringWorld, headroom
from tests.steering.support import FakeDirectory
from tests.support import free_address, raw_settings, target_vm

DOMAINS = ("praha-a", "praha-b", "brno-a", "brno-b", "ostrava-a", "ostrava-b")
CAPACITY_PER_TARGET = 6 * 10 * 0.9


def seen(targets_per_domain: dict[str, int], requests_per_s: int) -> Headroom:
    raw = raw_settings("entry-1", free_address())
    raw["services"][0]["requests_per_s"] = requests_per_s
    settings = check_settings(raw)
    directory = FakeDirectory()
    address = free_address()
    directory.by_service["souhrny"] = [
        target_vm(f"{domain}-{number}", address, domain=domain)
        for domain, count in targets_per_domain.items()
        for number in range(count)
    ]
    world = SteeringWorld(settings, directory)
    return headroom(world, EMPTY_CONFIGURATION, settings.services[0])


def test_half_used_regions_have_room_for_the_loss_of_one() -> None:
    found = seen(dict.fromkeys(DOMAINS, 6), requests_per_s=972)
    assert list(found.by_place) == list(DOMAINS)
    for first, second in zip(DOMAINS[::2], DOMAINS[1::2], strict=True):
        assert found.by_place[first] + found.by_place[second] == pytest.approx(1.0)
    left = 24 * CAPACITY_PER_TARGET
    assert found.after_region_loss == pytest.approx(1 - 972 / left, abs=1e-6)
    assert found.after_region_loss < found.after_domain_loss < 0.5


def test_overload_and_missing_targets_show_below_zero() -> None:
    counts = {**dict.fromkeys(DOMAINS, 6), "praha-a": 2, "praha-b": 0}
    found = seen(counts, requests_per_s=972)
    assert found.by_place["praha-a"] < 0
    assert found.by_place["praha-b"] == -1.0


def test_loss_that_leaves_too_little_room_shows_none() -> None:
    found = seen(dict.fromkeys(DOMAINS, 6), requests_per_s=1_400)
    assert found.by_place["brno-a"] > 0
    assert found.after_region_loss == 0
