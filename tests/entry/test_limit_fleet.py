"""Test that a fleet of entry VMs keeps the limits that targets name, whatever its size.

The bound is the promise: in any window, 1.5 times what the limit allows, and five requests.
"""

import pytest

from chervilmill.entry import _limits
from chervilmill.entry._limits import LimitTracker
from chervilmill.overload import TargetLimits, parse_limit
from chervilmill.requests import Lifetime
from tests.entry.limit_fleet import WINDOW_S, LimitCase, LimitFleet

SIZES = (12, 61, 83)  # entry VMs of the user sites, as they are and grown
MAX_REFUSED_SHARE = 0.1

CASES = {
    "even": {},
    "higher_limit": {"limit_per_s": 4.1},
    "waves": {"waves": True},
    "suspects_of_a_limited_target": {"only_share": 0.1},
    "retries": {"retried_share": 0.3},
    "vms_restart": {"restart_every_s": 1.0},
    "limit_of_nothing": {"limit_per_s": 0.0},
}


@pytest.fixture(autouse=True)
def _silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_limits, "log_event", lambda *_, **__: None)
    monkeypatch.setattr(_limits, "log_problem", lambda *_, **__: None)


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("options", CASES.values(), ids=CASES)
def test_fleet_sends_more_than_a_target_takes(vms: int, options: dict[str, float]) -> None:
    case = LimitCase(vms, duration_s=16.0, **options)  # type: ignore[arg-type]
    fleet = LimitFleet(case, seed=1)
    fleet.run()
    allowed = 1.5 * WINDOW_S * case.limit_per_s + 5
    assert max(fleet.most_in_a_window(name) for name in fleet.limited) <= allowed


@pytest.mark.parametrize("vms", SIZES)
def test_region_that_takes_little_keeps_its_share_of_requests(vms: int) -> None:
    """The other regions have room for nearly all of them, once the shares have moved."""
    case = LimitCase(vms, requests_per_s=200.0, limited_region="a", duration_s=30.0)
    fleet = LimitFleet(case, seed=1)
    fleet.run()
    settled_s = 20.0
    refused = sum(at_s >= settled_s for at_s in fleet.refused)
    assert refused <= MAX_REFUSED_SHARE * case.requests_per_s * (case.duration_s - settled_s)


LIFETIME = Lifetime("t", 1)


def _tracker() -> LimitTracker:
    return LimitTracker(TargetLimits())


def _per_s(tracker: LimitTracker, now_s: float, lifetime: Lifetime = LIFETIME) -> float | None:
    return tracker._limits.per_s(lifetime, now_s)


def test_vms_learn_changes_and_the_end_of_a_limit_from_peers() -> None:
    author, reader = _tracker(), _tracker()
    for now_s, text, per_s in ((0.0, "4.1", 4.1), (5.0, "2", 2.0), (10.0, None, None)):
        stated = parse_limit(text) if text is not None else None
        author.record_answer(LIFETIME, stated, now_s)
        reader.receive_reports(author.next_reports(now_s + 1.0), now_s + 1.0)
        assert _per_s(reader, now_s + 1.0) == per_s


def test_vm_that_missed_the_change_learns_it_from_a_later_round() -> None:
    author, reader = _tracker(), _tracker()
    author.record_answer(LIFETIME, parse_limit("2"), 0.0)
    reader.receive_reports(author.next_reports(0.5), 0.5)
    author.record_answer(LIFETIME, None, 1.0)
    for round_number in range(20):
        author.next_reports(1.0 + round_number / 2)
    assert not author.has_new_reports
    reader.receive_reports(author.next_reports(12.0), 12.0)
    assert _per_s(reader, 12.0) is None


def test_old_report_replaces_nothing() -> None:
    author, reader = _tracker(), _tracker()
    author.record_answer(LIFETIME, parse_limit("2"), 0.0)
    reports = author.next_reports(0.5)
    reader.record_answer(LIFETIME, parse_limit("3"), 0.4)
    reader.receive_reports(reports, 0.5)
    assert _per_s(reader, 0.5) == 3.0


def test_limit_ends_with_the_lifetime_of_its_target() -> None:
    tracker = _tracker()
    tracker.record_answer(LIFETIME, parse_limit("2"), 0.0)
    assert _per_s(tracker, 1.0, Lifetime("t", 2)) is None


def test_malformed_limit_changes_nothing() -> None:
    tracker = _tracker()
    tracker.record_answer(LIFETIME, parse_limit("soon"), 0.0)
    assert _per_s(tracker, 0.0) is None
    tracker.record_answer(LIFETIME, parse_limit("2"), 1.0)
    tracker.record_answer(LIFETIME, parse_limit("-2"), 2.0)
    assert _per_s(tracker, 2.0) == 2.0


def test_newcomer_gets_all_limits() -> None:
    author, newcomer = _tracker(), _tracker()
    lifetimes = [Lifetime(f"t{number}", 1) for number in range(40)]
    for lifetime in lifetimes:
        author.record_answer(lifetime, parse_limit("2"), 0.0)
    newcomer.receive_reports(author.reports_for_newcomer(9.0), 9.0)
    assert {_per_s(newcomer, 9.0, lifetime) for lifetime in lifetimes} == {2.0}


def test_limit_that_nobody_confirms_is_dropped_in_the_end() -> None:
    tracker = _tracker()
    tracker.record_answer(LIFETIME, parse_limit("2"), 0.0)
    assert _per_s(tracker, 60.0) == 2.0
    assert _per_s(tracker, 200.0) is None
