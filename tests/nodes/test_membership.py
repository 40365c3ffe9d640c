"""Test the membership with the real state machines on a virtual clock."""

import pytest

from bench.nodes_network import Network, live_views, member, running_network

JOIN_S = 3.0
DEATH_S = 5.0
MEAN_BYTES_PER_S = 3_000


def views_agree(network: Network) -> bool:
    running = {name for name, node in network.nodes.items() if node.is_running}
    return all(view == running for view in live_views(network).values())


@pytest.mark.parametrize("loss", [0.0, 0.01, 0.05])
@pytest.mark.parametrize("count", [3, 12, 60])
def test_join_and_death_are_known_in_time(count: int, loss: float) -> None:
    network = running_network(count, seed=count, loss=loss)
    assert views_agree(network)
    network.add(member(count, 3, 2), [member(0, 3, 2).nodes])
    assert network.run(JOIN_S, lambda: views_agree(network))
    network.run(10.0)
    network.stop("entry-1")
    assert network.run(DEATH_S, lambda: views_agree(network))


def test_restarted_process_replaces_the_old_one() -> None:
    network = running_network(12, seed=1)
    network.stop("entry-3")
    network.add(member(3, 3, 2, incarnation=2), [member(0, 3, 2).nodes])

    def is_replaced() -> bool:
        tables = [node.machine.membership.members for node in network.nodes.values()]
        held = [table.get("entry-3") for table in tables]
        return all(record is not None and record.incarnation >= 2 for record in held)

    assert network.run(JOIN_S, lambda: is_replaced() and views_agree(network))


def test_new_name_at_an_address_replaces_the_old_member() -> None:
    network = running_network(12, seed=1)
    old = network.nodes["entry-3"].own
    network.stop("entry-3")
    new_node = member(99, 3, 2, incarnation=2)
    replaced = type(new_node)(
        "entry-99", old.region, old.failure_domain, old.nodes, old.callers, 2, new_node.state
    )
    network.add(replaced, [member(0, 3, 2).nodes])
    assert network.run(JOIN_S, lambda: views_agree(network))


def test_single_observer_declares_no_member_dead() -> None:
    network = running_network(12, seed=2)
    names = sorted(network.nodes)
    network.cut_off_links = {frozenset(("entry-0", name)) for name in names[1:2]}
    ever_lost = []

    def note() -> bool:
        ever_lost.extend(n for n, view in live_views(network).items() if len(view) < 12)
        return False

    network.run(60.0, note)
    assert ever_lost == []


@pytest.mark.parametrize("pause_s", [1.5, 2.0])
def test_paused_node_is_not_declared_dead(pause_s: float) -> None:
    network = running_network(12, seed=3)
    ever_lost = []

    def note() -> bool:
        ever_lost.extend(n for n, view in live_views(network).items() if len(view) < 12)
        return False

    for _ in range(5):
        network.pause("entry-4", pause_s)
        network.run(10.0, note)
    assert ever_lost == []


def test_node_rejoins_after_a_long_pause() -> None:
    network = running_network(12, seed=4)
    network.pause("entry-4", 20.0)
    network.run(8.0)
    assert "entry-4" not in live_views(network)["entry-0"]
    network.run(12.0)
    assert network.run(10.0, lambda: views_agree(network))


def test_lost_failure_domain_is_removed_without_message_storm() -> None:
    network = running_network(60, seed=5)
    for name, node in network.nodes.items():
        if node.own.failure_domain == "region-1-1":
            network.stop(name)
    started_s = network.now
    assert network.run(DEATH_S, lambda: views_agree(network))
    network.run(10.0 - (network.now - started_s))
    running = [node for node in network.nodes.values() if node.is_running]
    per_s = sum(node.sent_bytes for node in running) / len(running) / 10.0
    assert per_s <= MEAN_BYTES_PER_S


def test_partitioned_region_rejoins() -> None:
    network = running_network(60, seed=6)
    network.cut_off_regions = {"region-0"}
    network.run(60.0)
    assert len(live_views(network)["entry-1"]) == 40
    network.cut_off_regions = set()
    assert network.run(30.0, lambda: views_agree(network))


def test_links_stay_open_while_nothing_changes() -> None:
    network = running_network(60, seed=8)
    network.run(20.0)
    dialled = network.dialled
    network.run(60.0)
    assert network.dialled == dialled


def test_leaving_and_stopping_nodes_are_announced_at_once() -> None:
    network = running_network(12, seed=7)
    leaving = network.nodes["entry-2"]
    leaving.machine.membership.leave(network.now)
    network.run(1.0)
    held = network.nodes["entry-9"].machine.membership.members.get("entry-2")
    assert held is not None
    assert held.state.name == "LEAVING"
    leaving.machine.membership.announce_end(network.now)
    network.run(0.5)
    network.stop("entry-2")
    assert network.run(0.5, lambda: views_agree(network))
