"""Confirm plans in every order and with every fault: one winner or a clear refusal."""

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
class Desk:
    """Plan and confirm as two operators would; `log` holds what came of each confirm."""

    node: Node = field(default_factory=lambda: steering_node(links=LINKS))
    plans: dict[str, ConfirmRequest] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)
    fresh: list[str] = field(default_factory=list)

    def state(self, intent: dict) -> None:
        name = f"intent/{intent['name']}"
        old = self.node.store.get(CONFIGURATION_KIND, name)
        value = json.dumps(intent).encode()
        if old is None:
            self.node.store.create(CONFIGURATION_KIND, name, value)
        else:
            self.node.store.update(CONFIGURATION_KIND, name, value, old.version)
        self.node.hear()

    def plan(self, name: str) -> None:
        self.node.hear()
        planned = self.node.world.plan(self.node.configuration.snapshot(), name)
        assert planned is not None
        self.plans[name] = ConfirmRequest(name, planned.plan.plan_id, self.node.wall_s)

    def confirm(self, name: str) -> None:
        confirmer = Confirmer(self.node.store, self.node.world, 600, lambda: self.node.wall_s)
        try:
            confirmer.confirm(self.plans[name])
            self.log.append("confirmed")
        except ConfirmRefusedError as refused:
            self.log.append(refused.cause.value)
            if refused.fresh is not None:
                self.fresh.extend(r.cause.value for r in refused.fresh.refusals)
        except StoreUnavailableError:
            self.log.append("unavailable")
        except WriteUnsureError:
            self.log.append("unsure")

    def do(self, *steps: str) -> "Desk":
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
        self.node.hear()
        return sorted(confirmed_plans(self.node.configuration.snapshot()))


def _lose_target(desk: Desk) -> None:
    desk.node.directory.by_service["souhrny"].pop()


def _race(desk: Desk) -> None:
    """Let the other confirm win between the first one's read and its write."""
    store, update = desk.node.store, desk.node.store.create

    def create(kind: str, name: str, value: bytes) -> int:
        store.create = update  # type: ignore[method-assign]
        desk.confirm("other")
        return update(kind, name, value)

    store.create = create  # type: ignore[method-assign]


FAULTS = {
    "lose one reply": lambda desk: setattr(desk.node.store, "lose_replies", 1),
    "lose all replies": lambda desk: setattr(desk.node.store, "lose_replies", 99),
    "store down": lambda desk: setattr(desk.node.store, "is_down", True),
    "store up": lambda desk: setattr(desk.node.store, "is_down", False),
    "time passes": lambda desk: setattr(desk.node, "wall_s", desk.node.wall_s + 601),
    "intent replaced": lambda desk: desk.state({**ONE, "shares": {"brno": 40}}),
    "target lost": _lose_target,
    "race": _race,
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
    ("steps", "log", "in_store"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_confirm(steps: list[str], log: list[str], in_store: list[str]) -> None:
    desk = Desk()
    desk.state(ONE)
    desk.state(OTHER)
    desk.do(*steps)
    assert desk.log == log
    assert desk.in_store == in_store


def test_each_of_two_plans_is_harmless_alone() -> None:
    for intent in (ONE, OTHER):
        desk = Desk()
        desk.state(ONE)
        desk.state(OTHER)
        name = intent["name"]
        assert desk.do(f"plan {name}", f"confirm {name}").log == ["confirmed"]


def test_the_loser_gets_the_plan_that_holds_now() -> None:
    desk = Desk()
    desk.state(ONE)
    desk.state(OTHER)
    desk.do("plan one", "plan other", "confirm other", "confirm one")
    assert "share_not_possible" in desk.fresh


def test_unknown_intent_is_refused() -> None:
    desk = Desk()
    desk.plans["none"] = ConfirmRequest("none", "x", desk.node.wall_s)
    assert desk.do("confirm none").log == [ConfirmRefusal.UNKNOWN_INTENT.value]
