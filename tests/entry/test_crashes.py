"""Test that the logs show each step from a lost request to its quarantine."""

import pytest

from chervilmill.entry import _crashes
from chervilmill.entry._crashes import CrashTracker
from chervilmill.requests import Lifetime

TARGETS = {"t1": "north-a", "t2": "north-b"}


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, str]]:
    """Return the logged events, each with the fingerprint that it names."""
    logged: list[tuple[str, str]] = []
    monkeypatch.setattr(
        _crashes,
        "log_problem",
        lambda event, **fields: logged.append((event, fields["fingerprint"])),
    )
    return logged


def _tracker() -> CrashTracker:
    tracker = CrashTracker()
    tracker.set_targets(TARGETS)
    return tracker


def test_each_step_of_a_suspicion_is_logged_once(events: list[tuple[str, str]]) -> None:
    author, reader = _tracker(), _tracker()
    for target, now_s in (("t1", 0.0), ("t2", 5.0)):
        author.record_loss(b"f", Lifetime(target), now_s, now_s)
        author.record_crash(target, now_s + 1.0)
        for later_s in (1.5, 2.0):
            reader.receive_reports(author.next_reports(now_s + later_s), now_s + later_s)
    steps = [event for event, _ in events]
    assert steps == ["request suspected", "request suspected"] + 2 * ["request quarantined"]
