"""Test which places serve a caller, how a node paces a shift, and the spill to other places."""

from dataclasses import replace

import numpy as np
import pytest

from chervilmill.steering import ShareMap
from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._model import VersionedState
from chervilmill.steering._pacing import Pacer
from chervilmill.steering._shares import place_changes
from chervilmill.steering._state import Phase, ShiftState
from tests.steering.support import Node, steering_node

HOMES = 6
BLOCK_SHARE_BY_HOME = np.full(HOMES, 1 / HOMES)
CAP_SHARE_PER_MIN = 0.1
AT_HOME = ShareMap.identity(HOMES)
ALL_AT_2 = ShareMap.from_lists([[[HASH_SPAN, 2]]] * HOMES)


def moved_share(base: ShareMap, goal: ShareMap) -> float:
    return sum((c.high - c.low) / HASH_SPAN / HOMES for c in place_changes(base, goal))


def test_pacer_follows_a_jump_within_the_cap() -> None:
    pacer = Pacer(BLOCK_SHARE_BY_HOME)
    assert pacer.advance_towards(0.0, AT_HOME, CAP_SHARE_PER_MIN)
    maps = {0: AT_HOME}
    for second in range(1, 700):
        is_reached = pacer.advance_towards(float(second), ALL_AT_2, CAP_SHARE_PER_MIN)
        assert pacer.map is not None
        maps[second] = pacer.map
        if is_reached:
            break
    assert maps[second] == ALL_AT_2
    for begin in range(second - 60):
        assert moved_share(maps[begin], maps[begin + 60]) <= CAP_SHARE_PER_MIN + 1e-6
    assert second >= 60 * (5 / 6 / CAP_SHARE_PER_MIN - 1)


def test_first_map_is_applied_at_once() -> None:
    pacer = Pacer(BLOCK_SHARE_BY_HOME)
    assert pacer.advance_towards(0.0, ALL_AT_2, CAP_SHARE_PER_MIN)
    assert pacer.map == ALL_AT_2


def apply_state(node: Node, **changed) -> ShiftState:
    """Set the received steering of a node to one state and let the node apply it."""
    state = ShiftState(
        "p", "i", 1, 1, node.model.place_names, AT_HOME, ALL_AT_2, HASH_SPAN, (), 768, 768,
        Phase.DONE, "", 1, True, {},
    )  # fmt: skip
    state = replace(state, **changed)
    node.table._received_states = {"souhrny": VersionedState(state, 9)}
    node.table.tick()
    return state


@pytest.mark.parametrize(
    ("client", "home"),
    [("10.1.9.9", "praha"), ("10.2.9.9", "brno"), ("192.0.2.9", "praha"), ("::1", "praha")],
)
def test_blocks_are_served_at_home_before_any_plan(client: str, home: str) -> None:
    node = steering_node()
    choices = node.table.places_for("souhrny", client)
    assert choices[0].failure_domain.startswith(home)
    assert choices[0].weight == 1
    assert choices[1].region == choices[0].region
    assert {choice.region for choice in choices[2:]} == {"praha", "brno", "ostrava"} - {home}
    assert node.table.placement("souhrny", client).revision == 0


def test_steering_in_force_places_every_block() -> None:
    node = steering_node()
    apply_state(node)
    for client in ("10.1.9.9", "10.3.9.9", "192.0.2.9"):
        assert node.table.places_for("souhrny", client)[0].failure_domain == "brno-a"
        assert node.table.placement("souhrny", client).to_json()["revision"] == 9
        assert node.table.places_for("podklady", client)[0].failure_domain != "brno-a"


def test_full_places_and_links_are_left_out() -> None:
    links = [{"between": ["praha", "brno"], "mbit_per_s": 1, "one_way_delay_ms": 55}]
    node = steering_node(links=links)
    choices = node.table.places_for("souhrny", "10.1.9.9")
    assert "ostrava" not in {choice.region for choice in choices}
    by_region = {choice.region: choice.weight for choice in choices[1:]}
    assert by_region["brno"] < 0.1 < by_region["praha"]
    node.directory.by_service["souhrny"] = []
    node.now_s += 2
    assert len(node.table.places_for("souhrny", "10.1.9.9")) == 1


def test_share_of_a_region_is_refused_when_capacity_is_short() -> None:
    node = steering_node()
    apply_state(node, admitted={"praha": 0.25})
    draws = [number / 100 for number in range(100)]
    admitted = [
        sum(node.table.admits("souhrny", c, d) for d in draws) for c in ("10.1.1.1", "10.2.1.1")
    ]
    assert admitted == [25, 100]


def test_state_of_other_places_is_not_applied() -> None:
    node = steering_node()
    apply_state(node, places=("elsewhere",))
    assert node.table.applied_version("souhrny") == 0
    assert node.table.places_for("souhrny", "10.1.9.9")[0].region == "praha"
