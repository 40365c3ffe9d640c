"""Test that each check of the soak detects a planted fault."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from soak.checks import CHECKS, breaches
from soak.records import (
    Attempt,
    ConfigurationWrite,
    ExclusionSpan,
    History,
    LimitSpan,
    TargetRun,
    VmStart,
)
from soak.routes import Routing


def _attempt(request_id: str, kind: str = "unsafe", status: int | None = 200) -> Attempt:
    body = f"t1 ran {request_id} d".encode() if status == 200 else b""
    attempt = Attempt(request_id, kind, "POST", "/order/1", "d", 10.0, "vm", status, body, 10.5)
    attempt.must_be_answered = True
    return attempt


def _run(request_id: str, at_s: float = 10.2, **change: str) -> TargetRun:
    facts = {
        "method": "POST",
        "path": "/order/1",
        "body_digest": "d",
        "target": "t1",
        "failure_domain": "a",
    } | change
    return TargetRun(request_id, at_s=at_s, **facts)


def _history(attempts: list[Attempt], runs: list[TargetRun]) -> History:
    history = History(runs=runs, recovered_from_s=1e9)
    history.attempts = {attempt.request_id: attempt for attempt in attempts}
    return history


def _good() -> History:
    return _history([_attempt("r1"), _attempt("r2", status=503)], [_run("r1")])


def _twice() -> History:
    return _history([_attempt("r1")], [_run("r1"), _run("r1", 10.3)])


def _refused_and_ran() -> History:
    return _history([_attempt("r1", status=503)], [_run("r1")])


def _anothers_answer() -> History:
    attempt = _attempt("r1")
    attempt.body = b"t1 ran r2 d"
    return _history([attempt], [_run("r1")])


def _unasked() -> History:
    return _history([_attempt("r1")], [_run("r1"), _run("smuggled")])


def _changed() -> History:
    return _history([_attempt("r1")], [_run("r1", body_digest="other")])


def _after_drain() -> History:
    history = _history([_attempt("r1")], [_run("r1")])
    history.exclusions = [ExclusionSpan("t1", 5.0, float("inf"), False)]
    return history


def _after_evacuation() -> History:
    history = _history([_attempt("r1")], [_run("r1")])
    history.exclusions = [ExclusionSpan("a", 5.0, 20.0, True)]
    return history


def _cut_by_planned_work() -> History:
    return _history([_attempt("r1", status=None)], [_run("r1")])


def _not_recovered() -> History:
    history = _history([_attempt("r1"), _attempt("r2", status=503)], [_run("r1")])
    history.recovered_from_s = 0.0
    return history


def _crashing(late_runs: int) -> History:
    """Return three crashes in a row, and then more of them after the stable window."""
    times_s = [10.0, 10.1, 10.2, *(15.0 + number for number in range(late_runs))]
    attempts, runs = [], []
    for number, at_s in enumerate(times_s):
        attempt = _attempt(f"r{number}", status=502)
        attempt.path = "/order/crash"
        attempts.append(attempt)
        runs.append(_run(attempt.request_id, at_s, path=attempt.path))
    return _history(attempts, runs)


def _crashes_on() -> History:
    return _crashing(late_runs=4)


def _over_the_limit() -> History:
    """Return 24 runs in 4 s at a limit of 3 a second, which allows 23."""
    attempts = [_attempt(f"r{number}") for number in range(24)]
    runs = [_run(f"r{number}", 20.0 + number / 10) for number in range(24)]
    history = _history(attempts, runs)
    history.limits = [LimitSpan("t1", 3.0, 10.0, 30.0)]
    return history


def _never_ready() -> History:
    history = _good()
    history.vm_starts = [VmStart("vm-1", 0.9), VmStart("vm-2", 16.0)]
    return history


def _moved(request_id: str, path: str, run: TargetRun | None, *writes: Routing) -> History:
    """Return a request that is sent at 10 s; its routing was written at 0, 5 and 9 s."""
    attempt = _attempt(request_id, status=404 if run is None else 200)
    attempt.path = path
    history = _history([attempt], [] if run is None else [run])
    history.configurations = [
        ConfigurationWrite(at_s, routing)
        for at_s, routing in zip((0.0, 5.0, 9.0), writes, strict=False)
    ]
    return history


def _run_by_the_old_service() -> History:
    run = _run("r1", failure_domain="north-a")
    return _moved("r1", "/order/1", run, Routing(), Routing("desk"))


def _run_by_the_service_before_last() -> History:
    run = _run("r1", failure_domain="north-a")
    return _moved("r1", "/order/1", run, Routing(), Routing("desk"), Routing("desk", added=(1,)))


def _added_route_is_unknown() -> History:
    return _moved("r1", "/added-4/1", None, Routing(), Routing(added=(4,)))


def _run_away_from_home() -> History:
    run = _run("r1", path="/home/1", failure_domain="south-a")
    return _moved("r1", "/home/1", run, Routing())


def _configuration_goes_back() -> History:
    """Return a request that the old service runs within the bound, after the new one ran others."""
    history = _run_by_the_old_service()
    history.configurations[1] = ConfigurationWrite(9.0, Routing("desk"))
    earlier = _attempt("r0")
    earlier.sent_s = 9.3
    history.attempts["r0"] = earlier
    history.runs.insert(0, _run("r0", 9.4, failure_domain="north-a"))
    history.runs[0] = replace(history.runs[0], service="desk")
    return history


def _many_denied() -> History:
    attempts = [_attempt(f"r{number}", status=400) for number in range(6)]
    return _history(attempts, [])


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
    _crashes_on: "crashing_request_is_stopped",
    _over_the_limit: "limits_are_kept",
    _never_ready: "started_vm_is_ready",
    _run_by_the_old_service: "configuration_is_in_force",
    _run_by_the_service_before_last: "configuration_is_in_force",
    _added_route_is_unknown: "configuration_is_in_force",
    _run_away_from_home: "runs_at_home",
    _configuration_goes_back: "configuration_never_goes_back",
    _many_denied: "proper_requests_are_not_denied",
}


def _vm_was_frozen(history: History) -> None:
    history.vm_disruptions = [("vm", 1.0, 6.5)]


def _store_was_down(history: History) -> None:
    history.store_disruptions = [(1.0, 6.5)]


def _another_vm_was_frozen(history: History) -> None:
    history.vm_disruptions = [("vm-2", 1.0, 6.5)]


def _vm_was_frozen_long_before(history: History) -> None:
    history.vm_disruptions = [("vm", 1.0, 5.5)]


@pytest.mark.parametrize(
    "plant",
    [_run_by_the_old_service, _added_route_is_unknown, _after_drain],
    ids=lambda f: f.__name__,
)
@pytest.mark.parametrize(
    ("disturb", "is_excused"),
    [
        (_vm_was_frozen, True),
        (_store_was_down, True),
        (_another_vm_was_frozen, False),
        (_vm_was_frozen_long_before, False),
    ],
)
def test_only_a_vm_out_of_touch_is_excused(
    plant: Callable[[], History], disturb: Callable[[History], None], is_excused: bool
) -> None:
    history = plant()
    disturb(history)
    assert (breaches(history) == []) is is_excused


def test_nothing_is_found_where_nothing_is_wrong() -> None:
    assert breaches(_good()) == []


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__)
def test_planted_fault_is_caught(plant: Callable[[], History]) -> None:
    assert {breach.promise for breach in breaches(plant())} == {PLANTED[plant]}


def test_each_check_has_a_planted_fault() -> None:
    assert {check.__name__ for check in CHECKS} == set(PLANTED.values())


def test_disruption_excuses_only_what_it_may() -> None:
    history = _cut_by_planned_work()
    history.disruptions = [(9.0, 11.0)]
    assert breaches(history) == []
    for plant in (_after_drain, _run_by_the_old_service, _twice):
        history = plant()
        history.disruptions = [(9.0, 11.0)]  # of another VM, or of a target
        assert breaches(history)


def test_target_whose_link_was_disturbed_may_be_reached_late() -> None:
    history = _after_drain()
    history.link_disruptions = [("t1", 6.0, 7.0)]
    assert breaches(history) == []
    history.link_disruptions = [("t2", 6.0, 7.0), ("t1", 5.0, 6.0)]
    assert breaches(history)


def test_crashing_request_may_reach_few_targets_late() -> None:
    assert breaches(_crashing(late_runs=3)) == []


def test_crashing_request_sent_by_a_vm_that_was_disturbed_is_excused() -> None:
    history = _crashes_on()
    history.vm_disruptions = [("vm", 14.0, 14.5)]
    assert breaches(history) == []
    history.vm_disruptions = [("another vm", 14.0, 14.5)]
    assert breaches(history)
