"""Test retries within the budget, hedges of late requests, and waiting for slots."""

import time

import pytest

from chervilmill.reasons import RetryReason
from chervilmill.standins.store import retry_until
from chervilmill.standins.target_server import AnswerFault
from tests.callers.harness import (
    SERVICE,
    TIMEOUT_S,
    Entry,
    in_thread,
    running,
)

USUAL_S = 0.5  # more than a busy machine adds to an answer, far less than a late answer takes
MAX_BURSTS = 20  # a busy machine may start the threads of a burst too far apart to overlap


def retries(entry: Entry, reason: RetryReason) -> float:
    return entry.metrics.retries.labels(SERVICE, reason.value)._value.get()


def test_shed_digest_is_answered_by_another_target() -> None:
    with running(targets=3) as ([entry], states):
        states[0].behave({"shed_next": 100})
        answers = [entry.get(f"/digest/{number}").status for number in range(12)]
        assert answers == [200] * 12
        assert 1 <= retries(entry, RetryReason.TARGET_SHED) == states[0].shed


def test_target_that_is_away_costs_no_request() -> None:
    with running(targets=3, crash_away_s=3.0) as ([entry], states):
        crashed = entry.get("/crash/1", X_Deadline_Ms="2000")
        assert crashed.status == 503 or crashed.status == 502
        answers = [entry.get(f"/digest/{number}").status for number in range(12)]
        assert answers == [200] * 12


@pytest.mark.parametrize("targets", [1, 2])
def test_refusal_tells_of_an_earlier_attempt_that_may_have_run(targets: int) -> None:
    with running(targets=targets, crash_away_s=3.0) as ([entry], states):
        for state in states[1:]:
            state.behave({"shed_next": 100})
        resp = entry.get("/crash/1", X_Deadline_Ms="2000")
        assert sum(state.crashes for state in states) == 1
        assert resp.json()["ran"] == "unknown"


def test_failures_everywhere_send_a_tenth_more_at_most() -> None:
    with running(targets=3) as ([entry], states):
        budget = entry.services[SERVICE].retry_state.budget
        for state in states:
            state.behave({"shed_next": 10_000})
        statuses = [entry.get(f"/digest/{number}").status for number in range(150)]
        assert set(statuses) == {503}
        assert budget.extra <= 10 + 0.1 * budget.received


def test_marked_retry_of_a_caller_is_charged() -> None:
    with running() as ([entry], _):
        budget = entry.services[SERVICE].retry_state.budget
        for _ in range(12):
            entry.get("/digest", X_Attempt="2")
        assert not budget.try_spend()


def test_upload_is_never_sent_twice_once_its_body_was_read() -> None:
    with running(targets=2) as ([entry], states):
        for state in states:
            state.faults.append(AnswerFault.LOST)
        resp = entry.http.request("PUT", f"/s/{SERVICE}/scan", body=b"x" * 1000, retries=False)
        assert (resp.status, resp.json()["ran"]) == (502, "unknown")
        assert sum(state.requests for state in states) == 1


def test_late_digest_is_hedged_and_the_loser_cancelled() -> None:
    with running(targets=2) as ([entry], states):
        hedge = entry.services[SERVICE].retry_state.hedge
        for _ in range(60):
            hedge.observe(USUAL_S)
        entry.get("/digest/0")
        for state in states:
            state.behave({"late_s": 20.0})
        first = states[0] if entry.services[SERVICE].slots else states[1]
        first.faults.append(AnswerFault.LATE)
        states[1].faults.clear()
        started_s = time.monotonic()
        answers = [entry.get(f"/digest/{number}") for number in range(6)]
        assert [resp.status for resp in answers] == [200] * 6
        assert time.monotonic() - started_s < 15.0
        assert retries(entry, RetryReason.HEDGE) == 1
        assert retry_until(lambda: first.cancelled == 1, TIMEOUT_S)


def test_full_targets_make_requests_wait_for_a_slot() -> None:
    """Every request of a burst is answered within the slots, and some burst fills them all."""
    with running(slots=6, work_s=0.03, queue_limit=0) as ([entry], [state]):
        for _ in range(MAX_BURSTS):
            calls = [in_thread(entry.get, f"/digest/{number}") for number in range(10)]
            for thread, _ in calls:
                thread.join()
            assert [results[0].status for _, results in calls] == [200] * 10
            assert state.shed == 0
            assert state.most_in_flight <= 6
            if state.most_in_flight == 6:
                return
        pytest.fail(f"no burst filled the slots: {state.most_in_flight} of 6 at most")


def test_request_that_cannot_get_a_slot_is_refused_early() -> None:
    with running(slots=6, work_s=3.0) as ([entry], [state]):
        calls = [in_thread(entry.get, f"/digest/{number}") for number in range(6)]
        assert retry_until(lambda: state.in_flight == 6, TIMEOUT_S)
        resp = entry.get("/digest/late")
        assert (resp.status, resp.json()["reason"]) == (503, "targets_busy")
        assert resp.json()["ran"] == "not_run"
        assert resp.headers["Retry-After"]
        assert state.requests == 6
        for thread, _ in calls:
            thread.join()


def test_leaving_target_gets_no_further_request() -> None:
    with running(targets=2) as ([entry], states):
        states[0].behave({"is_leaving": True})
        for number in range(20):
            assert entry.get(f"/digest/{number}").status == 200
        assert states[0].requests <= 1


def test_leaving_target_is_noticed_without_a_request() -> None:
    with running(targets=2) as ([entry], states):
        assert entry.get("/digest").status == 200
        states[1].behave({"is_leaving": True})
        requests = states[1].requests
        assert retry_until(lambda: entry.directory.reported == ["target-1"], TIMEOUT_S)
        assert [entry.get(f"/digest/{number}").status for number in range(12)] == [200] * 12
        assert states[1].requests == requests
