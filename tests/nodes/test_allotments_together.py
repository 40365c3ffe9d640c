"""Test the sum of shares with complete nodes (heads, root) under loss, deaths and partition."""

import pytest

from bench.nodes_network import Network, running_network
from chervilmill.nodes._allotments import FLOOR_PERCENT, NEW_ALLOTTER_WAIT_S, Caps
from chervilmill.nodes._divider import Divider

CAP = 100_000
LINK = "link/a/b"
CAPS = Caps({LINK: CAP}, max_nodes=16)


def in_use(network: Network) -> int:
    return sum(
        node.machine.allotments.units(LINK, network.now)
        for node in network.nodes.values()
        if node.is_running
    )


def set_demand(network: Network, *names: str) -> None:
    for name, node in network.nodes.items():
        node.machine.allotments.set_demand(LINK, 2 * CAP if name in names else 0)


def most_in_use(network: Network, seconds: float) -> int:
    most = [0]

    def note() -> bool:
        most[0] = max(most[0], in_use(network))
        return False

    network.run(seconds, note)
    return most[0]


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_unused_units_move_to_skewed_demand(loss: float) -> None:
    network = running_network(12, seed=1, loss=loss, caps=CAPS)
    set_demand(network, "entry-0", "entry-10")
    network.run(5.0)
    assert in_use(network) >= 0.9 * CAP
    set_demand(network, "entry-3")
    assert most_in_use(network, 5.0) <= CAP
    assert in_use(network) >= 0.9 * CAP


def run_faults(seed: int) -> int:
    """Return the most units in use while nodes die, pause or are cut off and demand moves."""
    network = running_network(12, seed=seed, loss=0.2, caps=CAPS)
    most = 0
    for step in range(8):
        set_demand(
            network, *(f"entry-{(seed + step * 5 + index) % 12}" for index in range(step + 1))
        )
        most = max(most, most_in_use(network, 3.0))
        if step == 1:
            network.stop(network.nodes["entry-0"].machine.roles.root)
        if step == 2:
            network.pause(network.nodes["entry-1"].machine.roles.head, 7.0)
        if step == 3:
            network.cut_off_regions = {"region-1"}
        if step == 4:
            network.cut_off_regions = set()
        most = max(most, most_in_use(network, 4.0))
    return most


@pytest.mark.parametrize("seed", range(8))
def test_sum_stays_within_the_cap_under_faults(seed: int) -> None:
    assert run_faults(seed) <= CAP


def test_broken_divider_is_caught(monkeypatch) -> None:
    monkeypatch.setattr(
        Divider, "_acknowledge", lambda self, holder, *_: holder.allocations.clear()
    )
    assert max(run_faults(seed) for seed in range(8)) > CAP


def test_nodes_fall_back_to_their_floors_without_an_allotter() -> None:
    network = running_network(12, seed=2, caps=CAPS)
    set_demand(network, "entry-0")
    network.run(5.0)
    network.is_store_up = False
    network.stop(network.nodes["entry-0"].machine.roles.root)
    network.run(NEW_ALLOTTER_WAIT_S)
    floor = CAP * FLOOR_PERCENT // 100 // CAPS.max_nodes
    assert in_use(network) == 11 * floor
    network.is_store_up = True
    network.run(NEW_ALLOTTER_WAIT_S + 5.0)
    assert in_use(network) >= 0.9 * CAP
