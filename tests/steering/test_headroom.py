"""Test the headroom that operators see."""

import pytest

from chervilmill.coordination import EMPTY_CONFIGURATION
from chervilmill.settings import check_settings
from chervilmill.steering import Headroom, SteeringModel, headroom
from tests.steering.support import FakeDirectory
from tests.support import free_address, raw_settings, target_vm

DOMAINS = ("praha-a", "praha-b", "brno-a", "brno-b", "ostrava-a", "ostrava-b")
CAPACITY_PER_TARGET = 6 * 10 * 0.9


def headroom_with(targets_per_domain: dict[str, int], requests_per_s: int) -> Headroom:
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
    model = SteeringModel(settings, directory)
    return headroom(model, EMPTY_CONFIGURATION, settings.services[0])


def test_half_used_regions_can_take_the_load_of_a_lost_region() -> None:
    result = headroom_with(dict.fromkeys(DOMAINS, 6), requests_per_s=972)
    assert list(result.by_place) == list(DOMAINS)
    for first, second in zip(DOMAINS[::2], DOMAINS[1::2], strict=True):
        assert result.by_place[first] + result.by_place[second] == pytest.approx(1.0)
    remaining_capacity = 24 * CAPACITY_PER_TARGET
    assert result.after_region_loss == pytest.approx(1 - 972 / remaining_capacity, abs=1e-6)
    assert result.after_region_loss < result.after_domain_loss < 0.5


def test_overload_and_missing_targets_give_negative_headroom() -> None:
    counts = {**dict.fromkeys(DOMAINS, 6), "praha-a": 2, "praha-b": 0}
    result = headroom_with(counts, requests_per_s=972)
    assert result.by_place["praha-a"] < 0
    assert result.by_place["praha-b"] == -1.0


def test_headroom_is_zero_if_a_loss_leaves_too_little_capacity() -> None:
    result = headroom_with(dict.fromkeys(DOMAINS, 6), requests_per_s=1_400)
    assert result.by_place["brno-a"] > 0
    assert result.after_region_loss == 0
