"""Test that broadcast items, such as crash reports, reach nodes that start later."""

from bench.nodes_network import Network, member, running_network
from chervilmill.nodes import BroadcastItem

ARRIVAL_S = 5.0


def _has_item(network: Network, node: str) -> bool:
    broadcaster = network.nodes[node].machine.broadcaster
    return [item.key for item in broadcaster.current("crash", network.now)] == ["request"]


def test_newcomer_gets_the_items_in_force() -> None:
    network = running_network(12, seed=6)
    author = network.nodes["entry-3"]
    author.machine.broadcaster.publish(
        BroadcastItem("crash", "request", 1, 600_000, b"value"), network.now
    )
    network.act(author)
    assert network.run(ARRIVAL_S, lambda: all(_has_item(network, name) for name in network.nodes))
    network.run(60.0)
    newcomer = member(12, 3, 2)
    network.add(newcomer, [member(5, 3, 2).nodes])
    assert network.run(ARRIVAL_S, lambda: _has_item(network, newcomer.name))
