"""Test that targets get no more requests than they name as their limit."""

import time

from chervilmill.standins.target_server import TargetState
from tests.callers.harness import Entry, running

STABLE_S = 4.0
WINDOW_S = 4.0
LIMIT_PER_S = 2.0
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5
PAUSE_S = 0.05


def _ask_for(entry: Entry, duration_s: float) -> set[int]:
    """Send one request after another and return the statuses of the answers."""
    statuses = set()
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        statuses.add(entry.get("/digest").status)
        time.sleep(PAUSE_S)
    return statuses


def _requests(state: TargetState) -> int:
    with state.lock:
        return state.requests


def test_target_gets_more_requests_than_the_limit_that_it_names() -> None:
    with running(targets=2) as ([entry], states):
        states[0].limit = "2.0"
        _ask_for(entry, STABLE_S)
        before = _requests(states[0])
        assert _ask_for(entry, WINDOW_S) == {200}, "the other target has room"
        assert _requests(states[0]) - before <= ALLOWED
