"""Test that the logs tell apart how a crash is, or is not, attributed to a request."""

import pytest

from chervilmill.entry import _crashes
from chervilmill.entry._crashes import CrashTracker

TARGETS = {"t1": "north-a", "t2": "north-b"}


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, str]]:
    """Return the logged events, each with the fingerprint that it names."""
    logged: list[tuple[str, str]] = []
    for name in ("log_event", "log_problem"):
        monkeypatch.setattr(
            _crashes, name, lambda event, **fields: logged.append((event, fields["fingerprint"]))
        )
    return logged


def _tracker() -> CrashTracker:
    tracker = CrashTracker()
    tracker.set_targets(TARGETS)
    return tracker


def test_crash_seen_too_late_is_logged(events: list[tuple[str, str]]) -> None:
    tracker = _tracker()
    tracker.record_loss(b"f", "t1", 0.0)
    tracker.record_crash("t1", 60.0)
    assert events == [("loss not attributed", b"f".hex())]


def test_suspicion_of_a_peer_is_logged_once(events: list[tuple[str, str]]) -> None:
    author, reader = _tracker(), _tracker()
    author.record_loss(b"f", "t1", 0.0)
    author.record_crash("t1", 1.0)
    reports = author.next_reports()
    reader.receive_reports(reports, 1.5)
    reader.receive_reports(reports, 2.0)
    assert [event for event, _ in events] == ["request suspected", "suspicion received"]
