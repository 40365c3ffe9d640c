"""Plant a fault for each check of the soak and see it caught."""

from collections.abc import Callable

import pytest

from soak.checks import CHECKS, breaches
from soak.records import History, Left, Ran, Sent, Start


def _sent(request_id: str, kind: str = "unsafe", status: int | None = 200) -> Sent:
    body = f"t1 ran {request_id} d".encode() if status == 200 else b""
    sent = Sent(request_id, kind, "POST", "/order/1", "d", 10.0, "vm", status, body, 10.5)
    sent.is_read = True
    return sent


def _ran(request_id: str, at_s: float = 10.2, **change: str) -> Ran:
    facts = {
        "method": "POST",
        "path": "/order/1",
        "body_digest": "d",
        "target": "t1",
        "failure_domain": "a",
    } | change
    return Ran(request_id, at_s=at_s, **facts)


def _history(sent: list[Sent], runs: list[Ran]) -> History:
    history = History(runs=runs, calm_from_s=1e9)
    history.sent = {one.request_id: one for one in sent}
    return history


def _good() -> History:
    return _history([_sent("r1"), _sent("r2", status=503)], [_ran("r1")])


def _twice() -> History:
    return _history([_sent("r1")], [_ran("r1"), _ran("r1", 10.3)])


def _refused_and_ran() -> History:
    return _history([_sent("r1", status=503)], [_ran("r1")])


def _anothers_answer() -> History:
    sent = _sent("r1")
    sent.body = b"t1 ran r2 d"
    return _history([sent], [_ran("r1")])


def _unasked() -> History:
    return _history([_sent("r1")], [_ran("r1"), _ran("smuggled")])


def _changed() -> History:
    return _history([_sent("r1")], [_ran("r1", body_digest="other")])


def _after_drain() -> History:
    history = _history([_sent("r1")], [_ran("r1")])
    history.left = [Left("t1", 5.0, float("inf"), False)]
    return history


def _after_evacuation() -> History:
    history = _history([_sent("r1")], [_ran("r1")])
    history.left = [Left("a", 5.0, 20.0, True)]
    return history


def _cut_by_planned_work() -> History:
    return _history([_sent("r1", status=None)], [_ran("r1")])


def _not_recovered() -> History:
    history = _history([_sent("r1"), _sent("r2", status=503)], [_ran("r1")])
    history.calm_from_s = 0.0
    return history


def _never_ready() -> History:
    history = _good()
    history.starts = [Start("vm-1", 0.9), Start("vm-2", 16.0)]
    return history


PLANTED = {
    _twice: "runs_at_most_once",
    _refused_and_ran: "refused_is_not_run",
    _anothers_answer: "answers_are_own_and_whole",
    _unasked: "nothing_runs_unasked",
    _changed: "nothing_runs_unasked",
    _after_drain: "leaving_gets_nothing",
    _after_evacuation: "leaving_gets_nothing",
    _cut_by_planned_work: "planned_stop_cuts_nothing",
    _not_recovered: "all_is_served_again",
    _never_ready: "started_vm_is_ready",
}


def test_nothing_is_found_where_nothing_is_wrong() -> None:
    assert breaches(_good()) == []


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__)
def test_planted_fault_is_caught(plant: Callable[[], History]) -> None:
    assert {breach.promise for breach in breaches(plant())} == {PLANTED[plant]}


def test_each_check_has_a_planted_fault() -> None:
    assert {check.__name__ for check in CHECKS} == set(PLANTED.values())


def test_disruption_excuses_only_what_it_may() -> None:
    history = _after_drain()
    history.disrupted = [(9.0, 11.0)]
    assert breaches(history) == []
    history = _twice()
    history.disrupted = [(9.0, 11.0)]
    assert breaches(history)
