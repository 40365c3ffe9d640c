"""Test that orders run at most once when they are sent through several entry VMs."""

from chervilmill.standins.store import retry_until
from tests.callers.harness import TIMEOUT_S, in_thread, running


def test_resend_gets_the_recorded_answer_through_any_entry_vm() -> None:
    with running(targets=2, entries=2) as (entries, states):
        first = entries[0].order("k")
        assert first.status == 200
        assert retry_until(lambda: entries[0].ledger.pending_records == 0, TIMEOUT_S)
        for entry in entries:
            again = entry.order("k")
            assert (again.status, again.data) == (200, first.data)
            assert again.headers["X-Order-Recorded"] == "true"
        assert sum(state.orders_run["k"] for state in states) == 1


def test_resend_while_the_order_runs_is_told_that_the_outcome_is_unknown() -> None:
    with running(targets=2, entries=2, work_s=0.5) as (entries, states):
        thread, results = in_thread(entries[0].order, "k")
        assert retry_until(lambda: any(state.in_flight for state in states), TIMEOUT_S)
        again = entries[1].order("k")
        thread.join()
        assert (again.status, again.json()["ran"]) == (409, "unknown")
        assert again.headers["Retry-After"] == "1"
        assert results[0].status == 200
        assert sum(state.orders_run["k"] for state in states) == 1


def test_key_with_another_content_is_refused() -> None:
    with running() as ([entry], [state]):
        assert entry.order("k", b"one").status == 200
        resp = entry.order("k", b"two")
        assert (resp.status, resp.json()["reason"]) == (422, "order_key_reused")
        assert state.orders_run["k"] == 1


def test_store_down_refuses_before_sending() -> None:
    with running() as ([entry], [state]):
        entry.ledger._store.is_down = True
        resp = entry.order("k")
        assert (resp.status, resp.json()["ran"]) == (503, "not_run")
        assert resp.headers["Retry-After"] == "1"
        assert state.requests == 0
        entry.ledger._store.is_down = False
        assert entry.order("k").status == 200


def test_shed_order_goes_to_another_target_and_runs_once() -> None:
    with running(targets=2) as ([entry], states):
        for state in states:
            state.behave({"shed_next": 1})
        resp = entry.order("k")
        assert resp.json()["ran"] == "not_run"
        assert retry_until(lambda: entry.ledger.pending_records == 0, TIMEOUT_S)
        assert retry_until(lambda: entry.order("k").status == 200, TIMEOUT_S)
        assert sum(state.orders_run["k"] for state in states) == 1


def test_outcome_that_cannot_be_recorded_yet_is_given_to_the_caller() -> None:
    with running(entries=2, work_s=0.3) as (entries, [state]):
        thread, results = in_thread(entries[0].order, "k")
        assert retry_until(lambda: state.in_flight == 1, TIMEOUT_S)
        store = entries[0].ledger._store
        store.is_down = True
        thread.join()
        assert results[0].status == 200
        store.is_down = False
        assert retry_until(lambda: entries[1].order("k").status == 200, TIMEOUT_S)
        assert state.orders_run["k"] == 1
