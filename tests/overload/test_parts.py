"""Check the components of the overload decisions one by one."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chervilmill.addresses import Address
from chervilmill.overload import (
    AffinityRanking,
    CallerAgeEstimator,
    RatedTarget,
    RegionShares,
    RetryBudgetShare,
    ServiceTimes,
    SharedRateLimiter,
    TargetRates,
    TargetRecord,
    Workload,
    cold_rate,
    desired_region_shares,
)
from chervilmill.requests import Lifetime
from chervilmill.routing import Target, unit_hash

DEMAND = {"north": 2.0, "south": 2.0, "west": 2.0}


def _target(name: str, slots: int = 6) -> Target:
    return Target(name, 1, "app", Address("127.0.0.1", 1), "a", slots, False, 0.0)


@given(st.dictionaries(st.sampled_from(sorted(DEMAND)), st.floats(1.0, 500.0), min_size=1))
@settings(derandomize=True)
def test_shares_load_no_region_above_its_capacity_share(capacity: dict[str, float]) -> None:
    filled = dict.fromkeys(capacity, 0.0)
    for region in DEMAND:
        shares = desired_region_shares(region, DEMAND, capacity)
        assert sum(shares.values()) == pytest.approx(1.0)
        for name, share in shares.items():
            filled[name] += share / len(DEMAND)
    total = sum(capacity.values())
    if set(capacity) == set(DEMAND):
        assert all(filled[name] <= capacity[name] / total * 1.01 for name in capacity)


def test_shares_move_under_the_cap() -> None:
    shares = RegionShares()
    shares.advance({"north": 1.0}, 0.0)
    after = shares.advance({"north": 1.0}, 0.0)
    for step in range(1, 100):
        before = dict(after)
        after = shares.advance({"north": 0.2, "south": 0.8}, 2.0 * step)
        assert abs(after["north"] - before["north"]) <= 0.15
    assert after["north"] == pytest.approx(0.2)


def test_lost_region_loses_its_share_at_once() -> None:
    shares = RegionShares()
    shares.advance({"north": 0.5, "south": 0.5}, 0.0)
    assert shares.advance({"south": 1.0}, 0.01) == {"south": 1.0}


def test_target_that_joins_moves_only_the_objects_it_ranks_first_for() -> None:
    old = [_target(f"t{number}") for number in range(10)]
    ranking, grown = AffinityRanking(), AffinityRanking()
    keys = [str(number) for number in range(500)]

    def first(of: AffinityRanking, targets: list[Target], key: str) -> str:
        ranks = of.ranks("group", targets, key)
        return min(ranks, key=ranks.__getitem__)

    before = {key: first(ranking, old, key) for key in keys}
    after = {key: first(grown, [*old, _target("new")], key) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(after[key] == "new" for key in moved)
    assert 20 <= len(moved) <= 90


def test_age_is_derived_from_the_time_left() -> None:
    ages = CallerAgeEstimator()
    assert ages.age_s("reads", 3.0) == 0.0
    assert ages.age_s("reads", 2.99) == 0.0
    assert ages.age_s("reads", 2.5) == pytest.approx(0.5)
    assert ages.age_s("orders", 2.5) == 0.0


@pytest.mark.parametrize("vms", [1, 2, 3, 5, 28])
def test_cold_rate_holds_over_all_vms(vms: int) -> None:
    names = [f"vm-{number}" for number in range(vms)]
    limiters = [SharedRateLimiter(name) for name in names]
    sent: list[float] = []
    for tick in range(400):
        now_s = tick / 100
        for limiter in limiters:
            if limiter.wait_s("t", 1, cold_rate(6.9), names, now_s) <= 0:
                limiter.count("t", 1, now_s)
                sent.append(now_s)
    busiest = max(sum(a <= b < a + 1.0 for b in sent) for a in sent)
    assert busiest <= 6.9 * 1.5 + 5
    assert len(sent) >= 0.5 * 6.9 * 4


def test_caller_is_told_when_a_limited_target_has_room_not_that_another_has() -> None:
    """The other target may be down, or in a region to which no more requests may go."""
    rates = TargetRates("vm-0", "north")
    limited = RatedTarget(Lifetime("t1", 1), "north")
    rates.limits.record(limited.lifetime, 2.0, 0.0)
    assert rates.room_in_s(limited, 0.0) == 0.0
    rates.count(limited.lifetime, 0.0)
    other = RatedTarget(Lifetime("t2", 1), "south")
    assert rates.retry_after_s([limited, other], 0.0) == pytest.approx(0.5)
    assert rates.retry_after_s([other], 0.0) is None
    rates.vms_by_region = {"north": ["vm-1"], "south": ["vm-0"]}
    assert rates.retry_after_s([limited, other], 0.0) == 1.0


@pytest.mark.parametrize(("vms", "requests_per_s"), [(1, 30), (12, 30), (12, 1), (83, 20)])
def test_retries_of_all_vms_stay_within_the_budget(vms: int, requests_per_s: int) -> None:
    """Every request fails and asks for a retry; any ten seconds stay within the budget."""
    shares = [RetryBudgetShare(0.2, 64, 10.0) for _ in range(vms)]
    taken: list[float] = []
    ticks = 30 * requests_per_s
    for tick in range(ticks):
        now_s = tick / requests_per_s
        for share in shares:
            share.count_request()
            if share.try_spend(vms, now_s):
                taken.append(now_s)
    requests = 10 * requests_per_s * vms
    for begin_s in range(20):
        in_window = sum(begin_s <= at_s < begin_s + 10 for at_s in taken)
        assert in_window <= 0.2 * requests + 64


def test_median_work_is_robust_against_answers_that_queued() -> None:
    times = ServiceTimes()
    work = Workload("app", "reads", 0.5)
    for number in range(400):
        times.record_answer(work, 0.9 if number % 3 == 0 else 0.2, None, number / 10)
    assert times.expected_s(work, None) == pytest.approx(0.2, rel=0.2)


def test_route_without_answers_uses_its_service() -> None:
    times = ServiceTimes()
    for number in range(200):
        times.record_answer(Workload("app", "reads", 0.5), 0.1, None, number / 10)
    new = Workload("app", "new", 1.0)
    assert times.expected_s(new, None) == pytest.approx(0.1, rel=0.2)
    assert not times.is_trusted(new, 20.0)


def test_overdue_request_shows_a_slow_target() -> None:
    record = TargetRecord(_target("t"), 0.0)
    serial = record.start("key", 0.2, 0.0)
    assert record.slowness(0.3) == 1.0
    assert record.slowness(1.2) == pytest.approx(6.0)
    record.end(serial)
    assert record.slowness(1.2) == 1.0


def test_load_report_decays_to_the_load_of_others_elsewhere() -> None:
    record = TargetRecord(_target("t"), 0.0)
    record.record_load(12, 0.0)
    assert record.load(0.0, others_per_slot=0.5) == pytest.approx(12.0)
    assert record.load(5.0, others_per_slot=0.5) == pytest.approx(3.0, abs=0.01)


def test_ejection_of_an_unreachable_target_doubles_up_to_a_limit() -> None:
    record = TargetRecord(_target("t"), 0.0)
    terms = []
    now_s = 0.0
    for _ in range(5):
        record.eject(now_s)
        terms.append(record.ejected_until_s - now_s)
        now_s = record.ejected_until_s
    assert terms == [0.5, 1.0, 2.0, 4.0, 4.0]
    record.record_result(now_s, has_failed=False)
    record.eject(now_s)
    assert record.ejected_until_s - now_s == 0.5


def test_hash_is_the_same_everywhere() -> None:
    assert unit_hash("a", "b") == unit_hash("a", "b")
    assert unit_hash("a", "b") != unit_hash("ab")
    assert 0 <= unit_hash("x") < 1
