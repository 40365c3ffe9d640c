"""Test the limits on the requests that a node sends over links."""

import random

import pytest

from chervilmill.nodes import link_resource
from chervilmill.settings import check_settings
from chervilmill.steering import LinkBudget, RegionLinks, SharedRates
from chervilmill.steering._links import DEMAND_MARGIN
from tests.support import free_address, raw_settings

KBIT = 60
REQUEST_RATE_KBIT_PER_S = 6_000
NODE_SHARE_KBIT_PER_S = 12_000


class FakeRates:
    """Link rates that allow a node the value of `rate`, and record the stated needs."""

    def __init__(self) -> None:
        self.rate = NODE_SHARE_KBIT_PER_S
        self.wanted: list[int] = []

    def set_demand(self, resource: str, units: int) -> None:
        assert resource == link_resource("praha", "brno")
        self.wanted.append(units)

    def granted_units(self, _resource: str) -> int:
        return self.rate


@pytest.mark.parametrize("seed", range(5))
def test_requests_over_a_link_stay_within_the_share_of_this_node(seed: int) -> None:
    rng = random.Random(seed)
    rates, now = FakeRates(), [100.0]
    budget = LinkBudget(rates, link_resource, lambda: now[0])
    sent: list[tuple[float, int]] = []
    for _ in range(20_000):
        now[0] += rng.expovariate(400)
        if budget.may_cross("praha", "brno", KBIT):
            budget.charge("praha", "brno", KBIT)
            sent.append((now[0], KBIT))
    duration_s = now[0] - 100
    total = sum(kbit for _, kbit in sent)
    assert total <= REQUEST_RATE_KBIT_PER_S * (duration_s + 1) + KBIT
    assert total >= 0.95 * REQUEST_RATE_KBIT_PER_S * duration_s
    for begin in range(101, int(now[0]) - 1):
        within = sum(kbit for at_s, kbit in sent if begin <= at_s < begin + 1)
        assert within <= 2 * REQUEST_RATE_KBIT_PER_S + KBIT
    assert max(rates.wanted[1:]) == pytest.approx(DEMAND_MARGIN * 400 * KBIT, rel=0.3)


def test_no_request_crosses_without_a_share_of_the_link() -> None:
    rates, now = FakeRates(), [100.0]
    rates.rate = 0
    budget = LinkBudget(rates, link_resource, lambda: now[0])
    for _ in range(100):
        now[0] += 1
        assert not budget.may_cross("praha", "brno", KBIT)
    assert min(rates.wanted) > 0


def test_only_requests_to_other_regions_are_charged() -> None:
    settings = check_settings(raw_settings("entry-1", free_address()))
    rates, now = FakeRates(), [100.0]
    links = RegionLinks(settings, LinkBudget(rates, link_resource, lambda: now[0]))
    assert links.is_open("souhrny", "praha")
    assert not links.is_open("souhrny", "brno")
    now[0] += 0.5
    for _ in range(100):
        links.charge_request("souhrny", "praha")
    assert links.is_open("souhrny", "brno")
    for _ in range(REQUEST_RATE_KBIT_PER_S // 2 // KBIT):
        links.charge_request("souhrny", "brno")
    assert not links.is_open("souhrny", "brno")


def test_unused_share_is_given_up() -> None:
    rates, now = FakeRates(), [100.0]
    budget = LinkBudget(rates, link_resource, lambda: now[0])
    budget.may_cross("praha", "brno", KBIT)
    budget.may_cross("praha", "brno", KBIT)
    for _ in range(20):
        now[0] += 1
        budget.tick()
    assert rates.wanted[-1] == 0
    assert rates.wanted.count(0) == 1
    budget.may_cross("praha", "brno", KBIT)
    assert rates.wanted[-1] > 0


def test_needs_of_the_users_of_a_link_are_added_up() -> None:
    rates = FakeRates()
    shared = SharedRates(rates)
    uploads, requests = shared.for_user("uploads"), shared.for_user("requests")
    link = link_resource("praha", "brno")
    uploads.set_demand(link, 20_000)
    requests.set_demand(link, 1_000)
    requests.set_demand(link, 3_000)
    uploads.set_demand(link, 0)
    assert rates.wanted == [20_000, 21_000, 23_000, 3_000]
    assert uploads.granted_units(link) == requests.granted_units(link) == NODE_SHARE_KBIT_PER_S
