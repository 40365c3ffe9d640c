"""Serve callers of a node although an exchange meets an error that nobody foresaw."""

import pytest

from chervilmill.coordination import Vm
from chervilmill.targets import Answer, HttpTargets, TargetRequest
from tests.callers.harness import running


def _fail_at(monkeypatch: pytest.MonkeyPatch, target: str) -> list[str]:
    """Make exchanges with a target raise an unforeseen error; return the ids of their requests."""
    send = HttpTargets.send
    failed: list[str] = []

    def send_or_fail(targets: HttpTargets, vm: Vm, req: TargetRequest, timeout_s: float) -> Answer:
        if vm.name == target:
            failed.append(req.request_id)
            raise RuntimeError("unforeseen")
        return send(targets, vm, req, timeout_s)

    monkeypatch.setattr(HttpTargets, "send", send_or_fail)
    return failed


# The request got 500 and no other target; the next ones followed it to the same target.
def test_unforeseen_error_leaves_no_mark_against_its_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running(targets=2) as ([entry], _):
        failed = _fail_at(monkeypatch, "target-0")
        statuses = [entry.get(f"/digest/{number}").status for number in range(12)]
        assert statuses == [200] * 12
        assert failed


def test_order_with_an_unforeseen_error_is_sent_again(monkeypatch: pytest.MonkeyPatch) -> None:
    with running(targets=1) as ([entry], [state]):
        failed = _fail_at(monkeypatch, "target-0")
        resp = entry.order("k")
        assert (resp.status, resp.json()["ran"]) == (502, "unknown")
        assert entry.order("k").json()["reason"] == "order_outcome_unknown"
        assert (len(failed), state.orders_run["k"]) == (1, 0)
