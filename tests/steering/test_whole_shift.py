"""Run intents from plan and confirm to the last step, by commands and with a manual clock."""

from collections.abc import Iterator

import pytest

from chervilmill.coordination import StoreUnavailableError
from chervilmill.steering._executor import MAX_MEASUREMENT_AGE_S
from tests.steering.support import Console, Node, steering_node
from tests.support import free_address, target_vm

CAP = {"percent_of_blocks_per_min": 20, "mbit_per_s": 500}
MOVE = {"name": "to-brno", "service": "souhrny", "shares": {"brno": 45}, "cap": CAP}
LEAVE = {"name": "leave", "service": "souhrny", "leaving": ["ostrava"], "cap": CAP}
OVERLOAD = {"name": "all", "service": "souhrny", "shares": {"brno-a": 80}, "cap": CAP}
LOST = {"name": "lost", "service": "souhrny", "lost": ["praha"], "cap": CAP}
SECONDS_PER_MIN = 60


@pytest.fixture
def node() -> Node:
    return steering_node()


@pytest.fixture
def console(node: Node, tmp_path, capsys) -> Iterator[Console]:
    running = Console(node, tmp_path, capsys)
    yield running
    running.server.stop()


@pytest.mark.parametrize("intent", [MOVE, LEAVE, OVERLOAD, LOST], ids=lambda item: item["name"])
def test_plan_is_the_same_text_every_time(console: Console, intent: dict, snapshot) -> None:
    assert console.state(**intent)[0] == 0
    code, text = console.run("plan", intent["name"])
    assert (code, text) == console.run("plan", intent["name"])
    assert code == int(intent is OVERLOAD)
    assert text == snapshot


def confirm(console: Console, name: str) -> tuple[int, str]:
    return console.run("confirm", name, console.json("plan", name)["token"])


def test_shift_is_carried_out_within_its_cap(node: Node, console: Console) -> None:
    assert console.state(**MOVE)[0] == 0
    before = node.table.places_for("souhrny", "10.1.0.1")
    assert confirm(console, "to-brno")[0] == 0
    moved: list[int] = []
    for _ in range(300):
        node.tick()
        state = node.table.state("souhrny")
        moved.append(0 if state is None else state.blocks_moved)
    assert state is not None
    assert state.is_settled
    assert moved[-1] == state.blocks_to_move > 0
    for begin in range(len(moved) - SECONDS_PER_MIN):
        assert moved[begin + SECONDS_PER_MIN] - moved[begin] <= state.cap_blocks_per_min
    assert "done" in console.run("shifts")[1]
    shares = node.model.current_map(state).shares(6)
    demand = node.model.demand(node.settings.services[0])
    brno = (shares * demand[:, None])[:, 2:4].sum() / demand.sum()
    assert brno == pytest.approx(0.45, abs=1e-6)
    assert before[0].failure_domain.startswith("praha")


def test_explain_names_intent_and_plan(node: Node, console: Console) -> None:
    assert "no plan was ever carried out" in console.run("explain", "souhrny", "10.1.3.4")[1]
    console.state(**LEAVE)
    plan = console.json("plan", "leave")["plan"]
    confirm(console, "leave")
    for _ in range(300):
        node.tick()
    moved = console.json("explain", "souhrny", "10.3.7.7")
    assert moved["home"].startswith("ostrava")
    assert not moved["place"].startswith("ostrava")
    assert (moved["intent"], moved["plan"], moved["block"]) == ("leave", plan, "10.3.7.0")
    assert console.run("explain", "nothing", "10.3.7.7")[0] == 1
    assert console.run("explain", "souhrny", "10.3.7")[0] == 1


def _raise_unavailable() -> tuple:
    raise StoreUnavailableError("down", step="list VMs", peer="platform")


def test_list_is_read_for_a_shift_where_others_read_it(node: Node, console: Console) -> None:
    console.state(**MOVE)
    confirm(console, "to-brno")
    for _ in range(30):
        node.now_s += 1
        node.runner.step()
        node.receive_configuration()
    state = node.table.state("souhrny")
    assert state is not None
    assert state.phase.value == "moving"
    assert state.blocks_moved > 0


def test_shift_pauses_while_measurements_stop(node: Node, console: Console) -> None:
    console.state(**MOVE)
    confirm(console, "to-brno")
    for _ in range(20):
        node.tick()
    moved = []
    stopped_s = node.now_s
    vms, node.store.vms = node.store.vms, _raise_unavailable
    for _ in range(30):
        node.now_s += 1
        node.runner.step()
        node.receive_configuration()
        paused = node.table.state("souhrny")
        assert paused is not None
        moved.append(paused.blocks_moved)
    assert (paused.phase.value, paused.reason) == ("paused", "measurements_lag")
    assert set(moved[int(MAX_MEASUREMENT_AGE_S) :]) == {paused.blocks_moved}
    assert node.now_s - stopped_s > MAX_MEASUREMENT_AGE_S
    node.store.vms = vms
    for _ in range(10):
        node.tick()
    resumed = node.table.state("souhrny")
    assert resumed is not None
    assert resumed.blocks_moved > paused.blocks_moved


def test_shift_goes_back_where_a_place_fails(node: Node, console: Console) -> None:
    console.state(**MOVE)
    confirm(console, "to-brno")
    for _ in range(40):
        node.tick()
    vms = node.directory.by_service["souhrny"]
    node.directory.by_service["souhrny"] = [vm for vm in vms if vm.region != "brno"]
    moved = []
    for _ in range(120):
        node.tick()
        state = node.table.state("souhrny")
        assert state is not None
        moved.append(state.blocks_moved)
    assert state.phase.value == "returned"
    assert moved == sorted(moved, reverse=True)
    assert moved[0] - moved[-1] > 0 == moved[-1]


def test_shift_waits_for_new_targets_to_warm(node: Node, console: Console) -> None:
    console.state(**MOVE)
    confirm(console, "to-brno")
    for _ in range(12):
        node.tick()
    vms = node.directory.by_service["souhrny"]
    vms.append(target_vm("new", free_address(), "souhrny", "brno-a"))
    node.tick()
    node.tick()
    state = node.table.state("souhrny")
    assert state is not None
    assert (state.phase.value, state.reason) == ("paused", "targets_cold")
    for _ in range(10):
        node.tick()
    later = node.table.state("souhrny")
    assert later is not None
    assert later.blocks_moved > state.blocks_moved


def test_every_fault_of_an_intent_is_reported_at_once(console: Console) -> None:
    code, text = console.state(
        name="x", service="none", shares={"brno": 70, "mars": 50}, leaving=["brno"], colour=1
    )
    assert code == 1
    for fault in ("colour", "service", "shares.mars", "shares.brno"):
        assert fault in text


def test_one_service_has_one_intent(console: Console) -> None:
    assert console.state(**MOVE)[0] == 0
    assert console.state(**MOVE)[0] == 0
    code, text = console.state(**LEAVE)
    assert code == 1
    assert "to-brno" in text
