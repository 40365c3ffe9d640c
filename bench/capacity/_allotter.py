"""Count what sharing the caps of links costs the allotter and the other nodes."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity._fit import Quantity, figures_of
from bench.capacity._target import FAILURE_DOMAINS, NODES, REGIONS
from bench.nodes_network import Network, Node, running_network
from chervilmill.nodes._allotments import Caps

ROLE = "allotter"
BY = "nodes"
NODE_SIZES = (50, 100, 200)
MEASURED_S = 20.0
CAP_KBIT_PER_S = 4_000_000

HOLDER = Quantity(
    ROLE,
    "holder_bytes",
    "bytes sent and received by the busiest node while all nodes want a share of every link",
    BY,
    NODE_SIZES,
    NODES,
    "KB/s",
    "one head of each failure domain asks the holder of the lease, nodes ask their head",
    scale=0.001,
)
MEAN = Quantity(
    ROLE,
    "mean_bytes",
    "bytes sent and received by a node on the average",
    BY,
    NODE_SIZES,
    NODES,
    "KB/s",
    "requests and grants beside heartbeats",
    scale=0.001,
)
QUANTITIES = (HOLDER, MEAN)


def figures(seed: int) -> Iterator[Figure]:
    """Yield the slopes by the number of nodes."""
    costs = [_costs(nodes, seed) for nodes in NODE_SIZES]
    yield from figures_of(HOLDER, [busiest for busiest, _ in costs])
    yield from figures_of(MEAN, [mean for _, mean in costs])


def _costs(nodes: int, seed: int) -> tuple[float, float]:
    network = _sharing_network(nodes, seed)
    network.reset_counts()
    network.run(MEASURED_S)
    rates = [_bytes(node) / MEASURED_S for node in network.nodes.values()]
    return max(rates), sum(rates) / nodes


def _sharing_network(nodes: int, seed: int) -> Network:
    names = [f"link/{one}/{other}" for one in range(REGIONS) for other in range(REGIONS)]
    caps = Caps(dict.fromkeys(names, CAP_KBIT_PER_S), max_nodes=nodes)
    domains = FAILURE_DOMAINS // REGIONS
    network = running_network(nodes, seed, regions=REGIONS, domains_per_region=domains, caps=caps)
    for node in network.nodes.values():
        for name in names:
            node.machine.allotments.set_demand(name, CAP_KBIT_PER_S // nodes)
    network.run(MEASURED_S)
    return network


def _bytes(node: Node) -> int:
    return node.sent_bytes + node.received_bytes
