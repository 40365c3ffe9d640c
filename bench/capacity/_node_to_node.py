"""Count what entry VMs tell each other, by the product's state machines on a virtual clock."""

import time
from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity._fit import Quantity, figures_of
from bench.capacity._target import CHANGES_PER_DAY, NODES, REPLACEMENTS_PER_DAY
from bench.nodes_network import Network, running_network
from chervilmill.coordination import CONFIGURATION_KIND, StoredObject, WatchResult

ROLE = "node_to_node"
NODE_SIZES = (50, 100, 200)
QUIET_S = 20.0
SPREAD_S = 5.0
CHANGE_BYTES = 400
S_PER_DAY = 86_400
BY = "nodes"

BYTES = Quantity(
    ROLE,
    "bytes",
    "bytes sent by a node in quiet times",
    BY,
    NODE_SIZES,
    NODES,
    "KB/s",
    "heartbeats over links whose number does not grow with the fleet",
    scale=0.001,
)
MESSAGES = Quantity(
    ROLE,
    "messages",
    "messages sent by a node in quiet times",
    BY,
    NODE_SIZES,
    NODES,
    "messages/s",
    "heartbeats",
)
CPU = Quantity(
    ROLE,
    "cpu",
    "processor time of a node's state machine and the fake network in quiet times",
    BY,
    NODE_SIZES,
    NODES,
    "% of a core",
    "state machine of a node",
    scale=100.0,
)
CHANGE_BYTES_SENT = Quantity(
    ROLE,
    "change_bytes",
    f"bytes sent by a node for {CHANGES_PER_DAY} changes and {REPLACEMENTS_PER_DAY} "
    "replacements a day",
    BY,
    NODE_SIZES,
    NODES,
    "KB/s",
    "news passed on over the same links",
    scale=0.001 * (CHANGES_PER_DAY + REPLACEMENTS_PER_DAY) / S_PER_DAY,
)
QUANTITIES = (BYTES, MESSAGES, CPU, CHANGE_BYTES_SENT)


def figures(seed: int) -> Iterator[Figure]:
    """Yield the slopes by the number of nodes."""
    costs = [_costs(nodes, seed) for nodes in NODE_SIZES]
    for index, quantity in enumerate(QUANTITIES):
        yield from figures_of(quantity, [cost[index] for cost in costs])


def _costs(nodes: int, seed: int) -> tuple[float, float, float, float]:
    network = running_network(nodes, seed, regions=6, domains_per_region=3)
    started_s = time.process_time()
    network.run(QUIET_S)
    cpu_s = (time.process_time() - started_s) / QUIET_S / nodes
    quiet_bytes = _sent_bytes(network) / QUIET_S / nodes
    messages = sum(sum(node.messages.values()) for node in network.nodes.values())
    change = _change_bytes(network, quiet_bytes * nodes)
    return quiet_bytes, messages / QUIET_S / nodes, cpu_s, change / nodes


def _change_bytes(network: Network, quiet_bytes_per_s: float) -> float:
    """Return the bytes that one change costs all nodes beyond those of quiet times.

    Raise RuntimeError where the change does not reach every node.
    """
    network.reset_counts()
    node = next(iter(network.nodes.values()))
    stored = StoredObject(CONFIGURATION_KIND, "intent/bench", 1, bytes(CHANGE_BYTES))
    node.machine.receive_configuration(WatchResult(1, (stored,), ()), network.now)
    network.act(node)
    network.run(SPREAD_S)
    if any(one.held.snapshot().revision != 1 for one in network.nodes.values()):
        raise RuntimeError(f"a change did not reach every node within {SPREAD_S} s")
    return _sent_bytes(network) - quiet_bytes_per_s * SPREAD_S


def _sent_bytes(network: Network) -> float:
    return float(sum(node.sent_bytes for node in network.nodes.values()))
