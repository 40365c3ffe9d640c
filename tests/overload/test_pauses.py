"""Test the pauses that targets ask for."""

import pytest

from chervilmill.overload import RatedTarget, TargetRates, parse_pause
from chervilmill.overload._target_pauses import MAX_KNOWN_PAUSES, MAX_PAUSE_S, TargetPauses
from chervilmill.requests import Lifetime

TARGET = Lifetime("t1", 1)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("2", 2.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("3.", 3.0),
        ("9" * 400, MAX_PAUSE_S),
        ("-1", None),
        ("1e3", None),
        ("inf", None),
        ("nan", None),
        ("", None),
        ("soon", None),
        ("1, 2", None),
        ("Fri, 04 Dec 2026 12:00:00 GMT", None),
    ],
)
def test_stated_pause(text: str, expected: float | None) -> None:
    assert parse_pause(text).pause_s == expected


def test_shorter_pause_does_not_end_a_longer_one() -> None:
    pauses = TargetPauses()
    pauses.record(TARGET, 5.0, 0.0)
    pauses.record(TARGET, 1.0, 1.0)
    assert pauses.left_s(TARGET, 2.0) == 3.0
    assert pauses.left_s(TARGET, 5.0) == 0.0
    assert pauses.is_empty


def test_later_lifetime_has_no_pause() -> None:
    pauses = TargetPauses()
    pauses.record(TARGET, 5.0, 0.0)
    assert pauses.left_s(Lifetime("t1", 2), 1.0) == 0.0


def test_pauses_are_bounded_and_the_first_to_end_go_first() -> None:
    pauses = TargetPauses()
    for number in range(MAX_KNOWN_PAUSES + 10):
        pauses.record(Lifetime(f"t{number}"), 1.0 + number, 0.0)
    assert pauses.left_s(Lifetime("t9"), 0.0) == 0.0
    assert pauses.left_s(Lifetime("t10"), 0.0) == 11.0


def test_return_is_told_as_the_end_of_the_first_pause_or_the_room_of_a_rate() -> None:
    rates = TargetRates("vm", "north")
    other = RatedTarget(Lifetime("t2", 1), "north")
    paused = RatedTarget(TARGET, "north")
    rates.pauses.record(TARGET, 30.0, 0.0)
    assert rates.room_in_s(paused, 0.0) == 30.0
    assert rates.retry_after_s([paused], 0.0) == 30.0
    assert rates.retry_after_s([other], 0.0) is None
    rates.limits.record(other.lifetime, 2.0, 0.0)
    rates.count(other.lifetime, 0.0)
    assert rates.retry_after_s([paused, other], 0.0) == 0.5
