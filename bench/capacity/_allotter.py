"""Count the bytes that dividing link caps costs the allotter and the other nodes."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity._fit import Quantity, fitted_figures
from bench.capacity._target_size import FAILURE_DOMAINS, NODES, REGIONS
from bench.nodes_network import Network, Node, running_network
from chervilmill.nodes._allotments import Caps

ROLE = "allotter"
DRIVER = "nodes"
NODE_COUNTS = (50, 100, 200)
MEASUREMENT_S = 20.0
CAP_KBIT_PER_S = 4_000_000

HOLDER_BYTES = Quantity(
    ROLE,
    "holder_bytes",
    "bytes sent and received by the busiest node while all nodes want a share of every link",
    DRIVER,
    NODE_COUNTS,
    NODES,
    "KB/s",
    "one head of each failure domain asks the holder of the lease, nodes ask their head",
    scale=0.001,
)
MEAN_BYTES = Quantity(
    ROLE,
    "mean_bytes",
    "bytes sent and received by a node on the average",
    DRIVER,
    NODE_COUNTS,
    NODES,
    "KB/s",
    "requests and grants beside heartbeats",
    scale=0.001,
)
QUANTITIES = (HOLDER_BYTES, MEAN_BYTES)


def figures(seed: int) -> Iterator[Figure]:
    """Yield how the traffic grows with the number of nodes."""
    rates = [_byte_rates(nodes, seed) for nodes in NODE_COUNTS]
    yield from fitted_figures(HOLDER_BYTES, [busiest for busiest, _ in rates])
    yield from fitted_figures(MEAN_BYTES, [mean for _, mean in rates])


def _byte_rates(nodes: int, seed: int) -> tuple[float, float]:
    network = _network_under_demand(nodes, seed)
    network.reset_counts()
    network.run(MEASUREMENT_S)
    rates_by_node = [_transferred_bytes(node) / MEASUREMENT_S for node in network.nodes.values()]
    return max(rates_by_node), sum(rates_by_node) / nodes


def _network_under_demand(nodes: int, seed: int) -> Network:
    links = [
        f"link/{source}/{destination}"
        for source in range(REGIONS)
        for destination in range(REGIONS)
    ]
    caps = Caps(dict.fromkeys(links, CAP_KBIT_PER_S), max_nodes=nodes)
    domains_per_region = FAILURE_DOMAINS // REGIONS
    network = running_network(
        nodes, seed, regions=REGIONS, domains_per_region=domains_per_region, caps=caps
    )
    for node in network.nodes.values():
        for link in links:
            node.machine.allotments.set_demand(link, CAP_KBIT_PER_S // nodes)
    network.run(MEASUREMENT_S)
    return network


def _transferred_bytes(node: Node) -> int:
    return node.sent_bytes + node.received_bytes
