"""Test the time that a slow peer is allowed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from chervilmill.http import Pace

GRACE_S = 10.0
BYTES_PER_S = 100.0
TOLERANCE_S = 1e-6


def test_grace_is_used_up_by_waiting() -> None:
    pace = Pace(GRACE_S, BYTES_PER_S)
    pace.note(4.0, 0)
    assert pace.allowed_s == 6.0
    pace.note(6.0, 0)
    assert pace.allowed_s == 0.0
    pace.restart()
    assert pace.allowed_s == GRACE_S


def test_bytes_earn_time_but_never_a_longer_wait_than_the_grace() -> None:
    pace = Pace(GRACE_S, BYTES_PER_S)
    pace.note(9.0, 500)
    assert pace.allowed_s == 6.0
    pace.note(0.0, 10_000)
    assert pace.allowed_s == GRACE_S


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.floats(0, GRACE_S), st.integers(0, 5_000)), max_size=50))
def test_total_wait_is_bounded_by_the_bytes(reads: list[tuple[float, int]]) -> None:
    pace = Pace(GRACE_S, BYTES_PER_S)
    waited_s, received = 0.0, 0
    for wanted_s, size in reads:
        if pace.allowed_s <= 0:
            break
        wait_s = min(wanted_s, pace.allowed_s)
        waited_s, received = waited_s + wait_s, received + size
        pace.note(wait_s, size)
    assert waited_s <= GRACE_S + received / BYTES_PER_S + TOLERANCE_S
