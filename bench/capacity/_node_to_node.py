"""Count the messages between entry VMs, with the product's state machines on a virtual clock."""

import time
from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity._fit import Quantity, fitted_figures
from bench.capacity._target_size import CHANGES_PER_DAY, NODES, REPLACEMENTS_PER_DAY
from bench.nodes_network import Network, running_network
from chervilmill.coordination import CONFIGURATION_KIND, StoredObject, WatchResult

ROLE = "node_to_node"
NODE_COUNTS = (50, 100, 200)
IDLE_S = 20.0
PROPAGATION_S = 5.0
CHANGE_OBJECT_BYTES = 400
S_PER_DAY = 86_400
DRIVER = "nodes"

BYTES = Quantity(
    ROLE,
    "bytes",
    "bytes sent by a node in quiet times",
    DRIVER,
    NODE_COUNTS,
    NODES,
    "KB/s",
    "heartbeats over links whose number does not grow with the fleet",
    scale=0.001,
)
MESSAGES = Quantity(
    ROLE,
    "messages",
    "messages sent by a node in quiet times",
    DRIVER,
    NODE_COUNTS,
    NODES,
    "messages/s",
    "heartbeats",
)
CPU = Quantity(
    ROLE,
    "cpu",
    "processor time of a node's state machine and the fake network in quiet times",
    DRIVER,
    NODE_COUNTS,
    NODES,
    "% of a core",
    "state machine of a node",
    scale=100.0,
)
BYTES_OF_CHANGES = Quantity(
    ROLE,
    "change_bytes",
    f"bytes sent by a node for {CHANGES_PER_DAY} changes and {REPLACEMENTS_PER_DAY} "
    "replacements a day",
    DRIVER,
    NODE_COUNTS,
    NODES,
    "KB/s",
    "news passed on over the same links",
    scale=0.001 * (CHANGES_PER_DAY + REPLACEMENTS_PER_DAY) / S_PER_DAY,
)
QUANTITIES = (BYTES, MESSAGES, CPU, BYTES_OF_CHANGES)


def figures(seed: int) -> Iterator[Figure]:
    """Yield how the costs grow with the number of nodes."""
    costs = [_costs(nodes, seed) for nodes in NODE_COUNTS]
    for index, quantity in enumerate(QUANTITIES):
        yield from fitted_figures(quantity, [cost[index] for cost in costs])


def _costs(nodes: int, seed: int) -> tuple[float, float, float, float]:
    network = running_network(nodes, seed, regions=6, domains_per_region=3)
    started_s = time.process_time()
    network.run(IDLE_S)
    cpu_s = (time.process_time() - started_s) / IDLE_S / nodes
    idle_bytes_per_s = _sent_bytes(network) / IDLE_S / nodes
    messages = sum(sum(node.messages.values()) for node in network.nodes.values())
    change_bytes = _change_bytes(network, idle_bytes_per_s * nodes)
    return idle_bytes_per_s, messages / IDLE_S / nodes, cpu_s, change_bytes / nodes


def _change_bytes(network: Network, fleet_idle_bytes_per_s: float) -> float:
    """Return the bytes that all nodes send for one change, beyond their idle traffic.

    Raise RuntimeError if the change does not reach every node in time.
    """
    network.reset_counts()
    first = next(iter(network.nodes.values()))
    stored = StoredObject(CONFIGURATION_KIND, "intent/bench", 1, bytes(CHANGE_OBJECT_BYTES))
    first.machine.receive_configuration(WatchResult(1, (stored,), ()), network.now)
    network.act(first)
    network.run(PROPAGATION_S)
    if any(node.held.snapshot().revision != 1 for node in network.nodes.values()):
        raise RuntimeError(f"a change did not reach every node within {PROPAGATION_S} s")
    return _sent_bytes(network) - fleet_idle_bytes_per_s * PROPAGATION_S


def _sent_bytes(network: Network) -> float:
    return float(sum(node.sent_bytes for node in network.nodes.values()))
