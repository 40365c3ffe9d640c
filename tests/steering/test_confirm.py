"""Check confirms in different orders and with injected faults.

Of two competing plans only one is confirmed. A confirm that fails names its cause.
"""

import json
from dataclasses import dataclass, field

import pytest

from chervilmill.coordination import CONFIGURATION_KIND, StoreUnavailableError, WriteUnsureError
from chervilmill.steering import Confirmer, ConfirmRefusal, ConfirmRefusedError, ConfirmRequest
from chervilmill.steering._confirmed import confirmed_plans
from tests.steering.support import Node, steering_node

LINKS = [
    {"between": ["praha", "brno"], "mbit_per_s": 6, "one_way_delay_ms": 55},
    {"between": ["praha", "ostrava"], "mbit_per_s": 6, "one_way_delay_ms": 55},
    {"between": ["brno", "ostrava"], "mbit_per_s": 6, "one_way_delay_ms": 55},
]
ONE = {"name": "one", "service": "souhrny", "shares": {"brno": 48}}
OTHER = {"name": "other", "service": "podklady", "shares": {"brno": 60}}


@dataclass
class OperatorSession:
    """Plans and confirms by two operators; `outcomes` holds the outcome of each confirm."""

    node: Node = field(default_factory=lambda: steering_node(links=LINKS))
    plans: dict[str, ConfirmRequest] = field(default_factory=dict)
    outcomes: list[str] = field(default_factory=list)
    fresh: list[str] = field(default_factory=list)

    def state(self, intent: dict) -> None:
        name = f"intent/{intent['name']}"
        old = self.node.store.get(CONFIGURATION_KIND, name)
        value = json.dumps(intent).encode()
        if old is None:
            self.node.store.create(CONFIGURATION_KIND, name, value)
        else:
            self.node.store.update(CONFIGURATION_KIND, name, value, old.version)
        self.node.receive_configuration()

    def plan(self, name: str) -> None:
        self.node.receive_configuration()
        planned = self.node.model.plan(self.node.configuration.snapshot(), name)
        assert planned is not None
        self.plans[name] = ConfirmRequest(name, planned.plan.plan_id, self.node.wall_s)

    def confirm(self, name: str) -> None:
        confirmer = Confirmer(self.node.store, self.node.model, 600, lambda: self.node.wall_s)
        try:
            confirmer.confirm(self.plans[name])
            self.outcomes.append("confirmed")
        except ConfirmRefusedError as refused:
            self.outcomes.append(refused.cause.value)
            if refused.current_plan is not None:
                self.fresh.extend(r.cause.value for r in refused.current_plan.refusals)
        except StoreUnavailableError:
            self.outcomes.append("unavailable")
        except WriteUnsureError:
            self.outcomes.append("unsure")

    def run_steps(self, *steps: str) -> "OperatorSession":
        for step in steps:
            verb, _, name = step.partition(" ")
            if verb == "plan":
                self.plan(name)
            elif verb == "confirm":
                self.confirm(name)
            else:
                FAULTS[step](self)
        return self

    @property
    def in_store(self) -> list[str]:
        self.node.receive_configuration()
        return sorted(confirmed_plans(self.node.configuration.snapshot()))


def _lose_target(session: OperatorSession) -> None:
    session.node.directory.by_service["souhrny"].pop()


def _let_other_confirm_win(session: OperatorSession) -> None:
    """Run the other confirm between the read and the write of the first confirm."""
    store, original_create = session.node.store, session.node.store.create

    def create(kind: str, name: str, value: bytes) -> int:
        store.create = original_create  # type: ignore[method-assign]
        session.confirm("other")
        return original_create(kind, name, value)

    store.create = create  # type: ignore[method-assign]


FAULTS = {
    "lose one reply": lambda session: setattr(session.node.store, "lose_replies", 1),
    "lose all replies": lambda session: setattr(session.node.store, "lose_replies", 99),
    "store down": lambda session: setattr(session.node.store, "is_down", True),
    "store up": lambda session: setattr(session.node.store, "is_down", False),
    "time passes": lambda session: setattr(session.node, "wall_s", session.node.wall_s + 601),
    "intent replaced": lambda session: session.state({**ONE, "shares": {"brno": 40}}),
    "target lost": _lose_target,
    "race": _let_other_confirm_win,
}

CASES = [
    ("once", ["plan one", "confirm one"], ["confirmed"], ["souhrny"]),
    ("twice", ["plan one", "confirm one", "confirm one"], ["confirmed"] * 2, ["souhrny"]),
    ("reply lost", ["plan one", "lose one reply", "confirm one"], ["confirmed"], ["souhrny"]),
    (
        "reply lost and repeated",
        ["plan one", "lose one reply", "confirm one", "confirm one"],
        ["confirmed"] * 2,
        ["souhrny"],
    ),
    (
        "repeated after it has lapsed",
        ["plan one", "confirm one", "time passes", "confirm one"],
        ["confirmed"] * 2,
        ["souhrny"],
    ),
    ("lapsed", ["plan one", "time passes", "confirm one"], ["plan_lapsed"], []),
    ("intent replaced", ["plan one", "intent replaced", "confirm one"], ["plan_stale"], []),
    ("capacity changed", ["plan one", "target lost", "confirm one"], ["plan_stale"], []),
    ("store down", ["plan one", "store down", "confirm one", "store up"], ["unavailable"], []),
    (
        "one after the other",
        ["plan one", "plan other", "confirm other", "confirm one"],
        ["confirmed", "plan_stale"],
        ["podklady"],
    ),
    (
        "at the same moment",
        ["plan one", "plan other", "race", "confirm one"],
        ["confirmed", "plan_stale"],
        ["podklady"],
    ),
    (
        "planned anew after losing",
        ["plan one", "plan other", "confirm other", "plan one", "confirm one"],
        ["confirmed", "plan_not_allowed"],
        ["podklady"],
    ),
]


@pytest.mark.parametrize(
    ("steps", "outcomes", "in_store"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_confirm(steps: list[str], outcomes: list[str], in_store: list[str]) -> None:
    session = OperatorSession()
    session.state(ONE)
    session.state(OTHER)
    session.run_steps(*steps)
    assert session.outcomes == outcomes
    assert session.in_store == in_store


def test_each_of_two_plans_is_harmless_alone() -> None:
    for intent in (ONE, OTHER):
        session = OperatorSession()
        session.state(ONE)
        session.state(OTHER)
        name = intent["name"]
        assert session.run_steps(f"plan {name}", f"confirm {name}").outcomes == ["confirmed"]


def test_the_loser_gets_the_plan_that_holds_now() -> None:
    session = OperatorSession()
    session.state(ONE)
    session.state(OTHER)
    session.run_steps("plan one", "plan other", "confirm other", "confirm one")
    assert "share_not_possible" in session.fresh


def test_unknown_intent_is_refused() -> None:
    session = OperatorSession()
    session.plans["none"] = ConfirmRequest("none", "x", session.node.wall_s)
    assert session.run_steps("confirm none").outcomes == [ConfirmRefusal.UNKNOWN_INTENT.value]
