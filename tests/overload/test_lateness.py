"""Test how late the event loop is found to have been."""

import pytest

from chervilmill.overload import TICK_S, Lateness


def _ticked(*times_s: float) -> Lateness:
    lateness = Lateness(0.0)
    for at_s in times_s:
        lateness.record_tick(at_s)
    return lateness


def test_tick_returns_how_late_it_ran() -> None:
    lateness = Lateness(0.0)
    assert lateness.record_tick(TICK_S) == 0.0
    assert lateness.record_tick(2 * TICK_S + 1.5) == pytest.approx(1.5)


@pytest.mark.parametrize(
    ("ticks_s", "since_s", "now_s", "longest_s"),
    [
        ((0.1, 0.2, 0.3), 0.0, 0.35, 0.0),
        ((0.1, 2.2, 2.3), 0.0, 2.35, 2.0),  # one tick was late
        ((0.1, 2.2, 2.3), 1.2, 2.35, 1.0),  # only the part that is asked about
        ((0.1, 2.2, 2.3), 2.25, 2.35, 0.0),  # before it
        ((0.1, 0.2), 0.0, 3.3, 3.0),  # the next tick is overdue
        ((0.1, 0.2), 3.0, 3.3, 0.3),
        ((0.1, 1.2, 4.3), 0.0, 4.3, 3.0),  # the longest, not the sum
    ],
)
def test_longest_time_for_which_the_loop_was_late(
    ticks_s: tuple[float, ...], since_s: float, now_s: float, longest_s: float
) -> None:
    assert _ticked(*ticks_s).longest_since(since_s, now_s) == pytest.approx(longest_s)


def test_old_times_are_dropped() -> None:
    lateness = _ticked(*(float(n) for n in range(1, 1000)))
    assert len(lateness._spans) < 40
