"""Test what refusals of the store excuse: a little more time, and for a draining target all."""

import pytest

from soak.checks import breaches
from soak.records import Attempt, ConfigurationWrite, ExclusionSpan, History, TargetRun
from soak.routes import Routing

SENT_S = 20.0
REFUSALS = (0.0, 17.0)


def _old_route_is_used(acknowledged_s: float) -> History:
    """Return a run by the service of before a version that moved the orders."""
    history = _answered_request()
    history.configurations = [
        ConfigurationWrite(0.0, Routing()),
        ConfigurationWrite(acknowledged_s, Routing("desk")),
    ]
    return history


def _leaving_is_used(name: str, acknowledged_s: float) -> History:
    """Return a run at a target or in a failure domain after it began to leave."""
    history = _answered_request()
    span = ExclusionSpan(name, acknowledged_s, 30.0, is_domain=name != "t1")
    history.exclusions = [span]
    return history


def _answered_request() -> History:
    body = b"t1 ran r1 d"
    attempt = Attempt("r1", "unsafe", "POST", "/order/1", "d", SENT_S, "vm", 200, body, SENT_S + 1)
    run = TargetRun("r1", "POST", "/order/1", "d", "t1", "north-a", SENT_S)
    return History(attempts={"r1": attempt}, runs=[run], recovered_from_s=1e9)


@pytest.mark.parametrize(
    ("history", "is_excused"),
    [
        (_old_route_is_used(SENT_S - 8.4), True),
        (_old_route_is_used(SENT_S - 8.6), False),
        (_leaving_is_used("north-a", SENT_S - 10.9), True),
        (_leaving_is_used("north-a", SENT_S - 11.1), False),
        (_leaving_is_used("t1", SENT_S - 11.1), True),
    ],
)
def test_refusals_of_the_store_stretch_bounds_and_lift_the_one_for_a_target(
    history: History, is_excused: bool
) -> None:
    assert breaches(history)
    history.store_refusals = [REFUSALS]
    assert (breaches(history) == []) is is_excused


def test_refusals_excuse_nothing_once_the_store_is_stable_again() -> None:
    history = _old_route_is_used(SENT_S - 3.0)
    history.store_refusals = [(0.0, SENT_S - 4.1)]
    assert breaches(history)
