"""Test that targets get no more requests than they name as their limit."""

import time

import cbor2
import pytest

from chervilmill.callers import publish_limit, receive_limits
from chervilmill.callers._target_limits import LIMIT_TOPIC, ServiceLimits
from chervilmill.overload import LimitReport
from chervilmill.requests import Lifetime
from chervilmill.standins.target_server import TargetState
from tests.callers.harness import Entry, LoopbackChannel, running

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


def test_two_entry_vms_send_more_than_the_limit_together() -> None:
    with running(targets=2, entries=2) as (entries, states):
        states[0].limit = "2.0"
        _ask_for(entries[0], 1.0)
        for report in entries[0].limit_reports:
            entries[1].services["souhrny"].receive_limit(report)
        before = _requests(states[0])
        until_s = time.monotonic() + WINDOW_S
        while time.monotonic() < until_s:
            assert {entry.get("/digest").status for entry in entries} == {200}
            time.sleep(PAUSE_S)
        assert _requests(states[0]) - before <= ALLOWED


def test_request_that_no_target_takes_is_told_when_to_return() -> None:
    with running(targets=1) as ([entry], states):
        states[0].limit = "4.0"
        entry.get("/digest")
        started_s = time.monotonic()
        refused = [entry.get("/digest", X_Deadline_Ms="3000") for _ in range(3)][-1]
        assert time.monotonic() - started_s < 1.0, "it is refused at once"
        assert refused.status == 503
        assert 100 <= refused.json()["retry_after_ms"] <= 250


def test_limit_ends_when_answers_name_none() -> None:
    with running(targets=1) as ([entry], states):
        states[0].limit = "2.0"
        entry.get("/digest")
        states[0].limit = None
        time.sleep(0.6)
        assert [entry.get("/digest").status for _ in range(10)] == [200] * 10


def test_malformed_limit_changes_nothing() -> None:
    with running(targets=1) as ([entry], states):
        states[0].limit = "soon"
        assert [entry.get("/digest").status for _ in range(10)] == [200] * 10


def test_limit_that_holds_for_long_is_forgotten_by_vms_that_do_not_send() -> None:
    """They get no answers of the target, so others must tell them again that it still holds."""
    sender, other = (ServiceLimits("souhrny", name, "praha") for name in ("vm-0", "vm-1"))
    for now_s in range(300):
        report = sender.record_answer("t1", "2", float(now_s))
        if report is not None:
            other.receive(report, float(now_s))
    other.set_fleet([], [])
    assert other.retry_after_s(["t1"], 299.0) is not None


@pytest.mark.parametrize("per_s", [2.0, None])
def test_limit_travels_as_a_broadcast_item(per_s: float | None) -> None:
    class Receiver:
        def __init__(self) -> None:
            self.received: list[LimitReport] = []

        def receive_limit(self, report: LimitReport) -> None:
            self.received.append(report)

    receiver, channel = Receiver(), LoopbackChannel()
    receive_limits(channel, {"souhrny": receiver})
    report = LimitReport(Lifetime("t1"), per_s, 0.0)
    publish_limit(channel, "souhrny", report)
    publish_limit(channel, "unknown", report)
    for value in (b"", cbor2.dumps("2"), cbor2.dumps(-2.0), cbor2.dumps(float("nan"))):
        channel.publish(LIMIT_TOPIC, "souhrny/t1", value, 10.0)
    assert receiver.received == [report]


def test_target_that_asked_for_a_pause_gets_requests_in_it() -> None:
    """The stand-in turns requests away with `Retry-After: 1`."""
    with running(targets=2) as ([entry], states):
        states[0].shed_next = 100
        assert _ask_for(entry, 0.8) == {200}
        assert states[0].shed <= 1
        states[0].shed_next = 0
        time.sleep(0.3)
        _ask_for(entry, 0.5)
        assert _requests(states[0]) > states[0].shed, "the pause has ended"


def test_node_without_another_target_tells_when_the_pause_ends() -> None:
    with running(targets=1) as ([entry], states):
        states[0].shed_next = 1
        entry.get("/digest")
        refused = entry.get("/digest")
        assert refused.status == 503
        assert 0.3 <= float(refused.headers["retry-after"]) <= 1.0
        assert states[0].shed == 1
