"""Test how one entry VM chooses targets by what it knows about them."""

import random

import pytest

from chervilmill.requests import (
    AttemptEnd,
    ReportedLoad,
    TargetCondition,
    TargetInfo,
    TargetPolicy,
    connection_share,
    home_slots,
    reachable_targets,
)

NAMES = [f"target-{number}" for number in range(6)]
ENTRIES = [f"entry-{number}" for number in range(12)]


def make_policy(entry: str = "entry-0", far: int = 0, entries: list[str] = ENTRIES) -> TargetPolicy:
    policy = TargetPolicy(entry)
    infos = [TargetInfo(name, 6, index >= far) for index, name in enumerate(NAMES)]
    policy.update(infos, entries, 0.0)
    return policy


def take_and_cancel(policy: TargetPolicy, now_s: float, count: int) -> list[str | None]:
    rng = random.Random(3)
    taken = []
    for _ in range(count):
        name = policy.start_attempt(now_s, rng)
        taken.append(name)
        if name is not None:
            policy.end_attempt(name, AttemptEnd.CANCELLED, now_s)
    return taken


@pytest.mark.parametrize(
    ("ends", "after_s", "is_chosen"),
    [
        ([AttemptEnd.UNREACHABLE], 0.0, False),
        ([AttemptEnd.UNREACHABLE], 60.0, False),
        ([AttemptEnd.FAILED], 0.0, True),
        ([AttemptEnd.FAILED] * 3, 0.5, False),
        ([AttemptEnd.FAILED] * 3, 1.5, True),
        ([AttemptEnd.FAILED, AttemptEnd.ANSWERED] * 3, 0.0, True),
        ([AttemptEnd.SHED], 0.01, False),
        ([AttemptEnd.SHED], 0.2, True),
        ([AttemptEnd.CANCELLED] * 9, 0.0, True),
    ],
)
def test_attempt_ends_decide_whether_a_target_is_chosen(
    ends: list[AttemptEnd], after_s: float, is_chosen: bool
) -> None:
    policy = make_policy(entries=["entry-0"])
    rng = random.Random(1)
    for end in ends:
        assert policy.start_attempt(10.0, rng, excluded=NAMES[1:]) in (NAMES[0], None)
        policy.end_attempt(NAMES[0], end, 10.0, 0.05)
    assert (NAMES[0] in take_and_cancel(policy, 10.0 + after_s, 200)) is is_chosen


def test_unreachable_target_comes_back_by_a_probe() -> None:
    policy = make_policy()
    policy.start_attempt(0.0, random.Random(1), excluded=NAMES[1:])
    policy.end_attempt(NAMES[0], AttemptEnd.UNREACHABLE, 0.0)
    assert policy.probes_due(0.0) == [NAMES[0]]
    policy.record_probe(NAMES[0], False, 0.0)
    assert policy.probes_due(0.5) == []
    assert policy.probes_due(1.1) == [NAMES[0]]
    policy.record_probe(NAMES[0], True, 1.1)
    assert NAMES[0] in take_and_cancel(policy, 1.2, 200)


def test_ejection_is_ignored_where_most_targets_are_ejected() -> None:
    policy = make_policy()
    for name in NAMES[:4]:
        others = [other for other in NAMES if other != name]
        for _ in range(3):
            policy.start_attempt(0.0, random.Random(1), excluded=others)
            policy.end_attempt(name, AttemptEnd.FAILED, 0.0)
    assert set(take_and_cancel(policy, 0.1, 300)) >= {NAMES[4], NAMES[5]}
    assert None not in take_and_cancel(policy, 0.1, 300)


def test_failures_of_the_whole_fleet_eject_nobody() -> None:
    policy, rng = make_policy(), random.Random(1)
    for _ in range(200):
        name = policy.start_attempt(0.0, rng)
        assert name is not None
        policy.end_attempt(name, AttemptEnd.FAILED, 0.0)
    assert policy.start_attempt(100.0, rng) is not None


def test_leaving_target_is_probed_and_not_chosen() -> None:
    policy = make_policy()
    policy.set_condition(NAMES[0], TargetCondition.LEAVING, 0.0)
    assert NAMES[0] not in take_and_cancel(policy, 100.0, 200)
    assert policy.probes_due(1.0) == []
    assert NAMES[0] in policy.probes_due(6.0)
    policy.set_condition(NAMES[0], TargetCondition.LIVE, 6.0)
    assert NAMES[0] in take_and_cancel(policy, 6.0, 200)


def test_cold_target_ramps_from_a_third_of_its_slots() -> None:
    policy, rng = make_policy(entries=["entry-0"]), random.Random(1)
    policy.set_condition(NAMES[0], TargetCondition.COLD, 0.0)
    others = NAMES[1:]
    assert sum(policy.start_attempt(0.0, rng, others) is not None for _ in range(9)) == 2
    assert sum(policy.start_attempt(5.0, rng, others) is not None for _ in range(9)) == 2
    assert sum(policy.start_attempt(20.0, rng, others) is not None for _ in range(9)) == 2


def test_shed_lowers_what_a_target_gets_and_time_brings_it_back() -> None:
    policy, rng = make_policy(entries=["entry-0"]), random.Random(1)
    others = NAMES[1:]
    for _ in range(6):
        assert policy.start_attempt(0.0, rng, others) == NAMES[0]
    for _ in range(6):
        policy.end_attempt(NAMES[0], AttemptEnd.SHED, 0.0)
    assert sum(policy.start_attempt(0.1, rng, others) is not None for _ in range(9)) == 1
    assert sum(policy.start_attempt(2.6, rng, others) is not None for _ in range(9)) == 2


def test_far_targets_are_taken_only_where_no_near_one_takes_work() -> None:
    policy, rng = make_policy(far=3), random.Random(1)
    assert set(take_and_cancel(policy, 0.0, 100)) <= set(NAMES[3:])
    for name in NAMES[3:]:
        policy.start_attempt(0.0, rng, [other for other in NAMES if other != name])
        policy.end_attempt(name, AttemptEnd.UNREACHABLE, 0.0)
    assert set(take_and_cancel(policy, 0.0, 100)) == set(NAMES[:3])


def test_full_readings_keep_requests_away_until_they_are_old() -> None:
    policy, rng = make_policy(), random.Random(1)
    home = home_slots("entry-0", ENTRIES, dict.fromkeys(NAMES, 6))
    assert sum(home.values()) == 3
    for name in NAMES:
        policy.record_load(name, ReportedLoad(9, 6), 0.0)
    taken = [policy.start_attempt(0.01, rng) for _ in range(12)]
    assert [name for name in taken if name is not None] == [
        name for name in taken[:3] if name in home
    ]


@pytest.mark.parametrize("entries", [1, 2, 5, 12, 37])
def test_home_slots_cover_every_slot_once(entries: int) -> None:
    slots = {f"target-{number}": 3 + 3 * (number % 2) for number in range(35)}
    names = [f"entry-{number}" for number in range(entries)]
    shares = [home_slots(name, names, slots) for name in names]
    for target, count in slots.items():
        assert sum(share.get(target, 0) for share in shares) == count
    sizes = [sum(share.values()) for share in shares]
    assert max(sizes) - min(sizes) <= 1


def test_subsets_are_even_and_move_little_under_churn() -> None:
    entries = [f"entry-{number}" for number in range(120)]
    targets = [f"target-{number}" for number in range(150)]
    shares = {name: reachable_targets(name, entries, targets) for name in entries}
    by_target = [sum(target in share for share in shares.values()) for target in targets]
    assert set(by_target) == {40}
    mean = 150 * 40 / 120
    assert max(len(share) for share in shares.values()) <= 1.5 * mean
    for name in entries[1:]:
        assert set(shares[name]) <= set(reachable_targets(name, entries[1:], targets))


@pytest.mark.parametrize(("entries", "share"), [(1, 400), (12, 33), (40, 10), (800, 10)])
def test_connections_of_all_entry_vms_stay_within_the_limit_of_a_target(
    entries: int, share: int
) -> None:
    assert connection_share(400, entries) == share
    assert share * min(entries, 40) <= 400


def test_leaving_target_is_believed_to_stay_after_three_probes() -> None:
    policy = make_policy()
    policy.set_condition(NAMES[0], TargetCondition.LEAVING, 0.0)
    for number in range(3):
        assert NAMES[0] not in take_and_cancel(policy, 10.0 * number, 200)
        policy.set_probed_condition(NAMES[0], TargetCondition.LIVE, 10.0 * number)
    assert NAMES[0] in take_and_cancel(policy, 30.0, 200)


def test_each_silent_target_is_probed_by_the_entry_vms_of_its_home_slots() -> None:
    due = [make_policy(entry).probes_due(3.0) for entry in ENTRIES]
    assert {name for names in due for name in names} == set(NAMES)
    assert max(len(names) for names in due) <= 2
    policy = make_policy()
    for name in policy.probes_due(3.0):
        policy.record_probe(name, True, 3.0)
    assert policy.probes_due(4.0) == []
