"""Check emergency shifts after the loss of a region.

In one case the remaining capacity is too small, in the other services compete for a link.
"""

from collections.abc import Iterator

import numpy as np
import pytest

from chervilmill.steering._loads import link_loads, loads_by_region_and_place
from chervilmill.steering._state import ShiftState, served_share
from tests.steering.support import Console, Node, directory_of, steering_node

LOST = {"name": "lost", "service": "souhrny", "lost": ["praha"], "priority": 90}
LOW = {"name": "low", "service": "podklady", "shares": {"praha": 5}, "priority": 10}
HIGH = {"name": "high", "service": "podklady", "shares": {"praha": 5}, "priority": 95}
FEW_TARGETS = {"souhrny": 24, "podklady": 12}
THIN_LINKS = [
    {"between": ["praha", "brno"], "mbit_per_s": 9, "one_way_delay_ms": 55},
    {"between": ["praha", "ostrava"], "mbit_per_s": 9, "one_way_delay_ms": 55},
    {"between": ["brno", "ostrava"], "mbit_per_s": 9, "one_way_delay_ms": 55},
]
SECONDS_PER_MIN = 60


@pytest.fixture
def make_site(tmp_path, capsys) -> Iterator:
    consoles: list[Console] = []

    def build(targets=None, **changes) -> tuple[Node, Console]:
        node = steering_node(**changes)
        if targets is not None:
            node.directory.by_service = directory_of(node.raw, targets).by_service
        consoles.append(Console(node, tmp_path, capsys))
        return node, consoles[-1]

    yield build
    for console in consoles:
        console.server.stop()


def lose_praha(node: Node) -> None:
    targets = node.directory.by_service["souhrny"]
    node.directory.by_service["souhrny"] = [vm for vm in targets if vm.region != "praha"]


def served_loads(node: Node, service: str, state: ShiftState | None) -> np.ndarray:
    """Return the admitted requests a second by home region and place."""
    service_settings = node.settings.service(service)
    assert service_settings is not None
    topology = node.model.topology(service_settings)
    own = loads_by_region_and_place(
        topology, node.model.current_map(state), node.model.demand(service_settings)
    )
    if state is None:
        return own
    for home, region in enumerate(topology.regions):
        for place, item in enumerate(topology.places):
            own[home, place] *= served_share(state.admitted, region, item.region)
    return own


def link_mbit(node: Node, service: str) -> np.ndarray:
    service_settings = node.settings.service(service)
    assert service_settings is not None
    own = served_loads(node, service, node.table.state(service))
    return link_loads(node.model.topology(service_settings), own, service_settings.kbit_per_request)


def confirm(console: Console, name: str) -> None:
    code, text = console.run("confirm", name, console.json("plan", name)["token"])
    assert code == 0, text


def test_remaining_places_are_never_over_their_limit(make_site) -> None:
    node, console = make_site(FEW_TARGETS)
    lose_praha(node)
    console.state(**LOST)
    plan = console.json("plan", "lost")
    assert plan["is_emergency"]
    assert [item["region"] for item in plan["refused"]] == ["praha"]
    assert plan["refused"][0]["requests_per_s"] == pytest.approx(900 - 16 * 54)
    confirm(console, "lost")
    moved = []
    for _ in range(200):
        node.tick()
        state = node.table.state("souhrny")
        assert state is not None
        moved.append(state.blocks_moved)
        limits = node.model.topology(node.settings.services[0]).capacities()
        loads = served_loads(node, "souhrny", state).sum(axis=0)
        assert np.all(loads[limits > 0] <= limits[limits > 0] + 1e-3)
    assert state.phase.value == "done"
    assert loads[:2].sum() == 0
    assert 0 < state.admitted["praha"] < 1
    cap = state.block_count * node.settings.steering.emergency_percent_per_min // 100
    assert state.cap_blocks_per_min == cap
    for begin in range(len(moved) - SECONDS_PER_MIN):
        assert moved[begin + SECONDS_PER_MIN] - moved[begin] <= cap


@pytest.mark.parametrize(("other", "is_yielding"), [(LOW, True), (HIGH, False)])
def test_lower_priority_yields_the_link(make_site, other: dict, is_yielding: bool) -> None:
    node, console = make_site(links=THIN_LINKS)
    console.state(**other)
    confirm(console, other["name"])
    for _ in range(300):
        node.tick()
    held = link_mbit(node, "podklady")
    lose_praha(node)
    console.state(**LOST)
    plan = console.json("plan", "lost")
    assert bool(plan["yields"]) is is_yielding
    assert plan["refusals"] == []
    confirm(console, "lost")
    for _ in range(300):
        node.tick()
        total = link_mbit(node, "souhrny") + link_mbit(node, "podklady")
        assert total.max() <= 9 + 1e-3
    state = node.table.state("souhrny")
    assert state is not None
    assert state.phase.value == "done"
    kept = link_mbit(node, "podklady")
    assert bool(np.any(kept < held - 1e-3)) is is_yielding
