"""Measure what an idle node costs itself and the platform."""

import time
from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity._daemon_fleet import DaemonFleet, listed_targets
from bench.capacity._fit import Quantity, fitted_figures
from bench.capacity._target_size import NODES, VMS
from chervilmill.nodes._vm_list import read_interval_s

SETTLE_S = 2.0
MEASUREMENT_S = 6.0
NODE_COUNTS = (6, 12, 18)
VM_COUNTS = (100, 400, 1600)
ROLE = "platform_client"

READS = Quantity(
    ROLE,
    "reads",
    "reads and watches of the store",
    "nodes",
    NODE_COUNTS,
    NODES,
    "calls/s",
    "a few nodes of each failure domain read for their peers",
)
WRITES = Quantity(
    ROLE,
    "writes",
    "writes of the store without orders",
    "nodes",
    NODE_COUNTS,
    NODES,
    "calls/s",
    "leases and status",
)
CPU = Quantity(
    ROLE,
    "cpu",
    "processor time of a node's readings of the list of VMs",
    "VMs in the list",
    VM_COUNTS,
    VMS,
    "% of a core",
    "all nodes together read the list at a fixed rate",
    scale=100.0,
)
BYTES = Quantity(
    ROLE,
    "bytes",
    "bytes between a node and the platform for those readings, as a mean",
    "VMs in the list",
    VM_COUNTS,
    VMS,
    "KB/s",
    "all nodes together read the list at a fixed rate",
    scale=0.001,
)
MEMORY = Quantity(
    ROLE,
    "memory",
    "memory of a node that holds the list",
    "VMs in the list",
    VM_COUNTS,
    VMS,
    "MB",
    "one record for each VM",
    scale=1e-6,
)
QUANTITIES = (READS, WRITES, CPU, BYTES, MEMORY)


def figures() -> Iterator[Figure]:
    """Yield how costs grow with the number of nodes, then with the length of the VM list."""
    calls = [_store_call_rates(nodes) for nodes in NODE_COUNTS]
    yield from fitted_figures(READS, [reads for reads, _ in calls])
    yield from fitted_figures(WRITES, [writes for _, writes in calls])
    costs = [_node_costs(vms) for vms in VM_COUNTS]
    yield from fitted_figures(CPU, [cpu for cpu, _, _ in costs])
    yield from fitted_figures(BYTES, [rate for _, rate, _ in costs])
    yield from fitted_figures(MEMORY, [memory for _, _, memory in costs])


def _store_call_rates(nodes: int) -> tuple[float, float]:
    with DaemonFleet(nodes) as fleet:
        time.sleep(SETTLE_S)
        before = fleet.platform.calls.copy()
        time.sleep(MEASUREMENT_S)
        counted = fleet.platform.calls - before
    return (counted["read"] + counted["watch"]) / MEASUREMENT_S, counted["write"] / MEASUREMENT_S


def _node_costs(vms: int) -> tuple[float, float, float]:
    """Return the processor time and bytes a second at the target size, and the memory, of a node.

    A single node reads the VM list as often as all nodes of a fleet together. Its costs are
    therefore divided by the ratio of the read interval at the target size to its own.
    """
    interval_ratio = read_interval_s(NODES) / read_interval_s(1)
    with DaemonFleet(1, listed_targets(vms - 1)) as fleet:
        (process,) = fleet.processes
        time.sleep(SETTLE_S)
        cpu_before_s, bytes_before = process.cpu_s(), fleet.platform.transferred_bytes
        time.sleep(MEASUREMENT_S)
        cpu = (process.cpu_s() - cpu_before_s) / MEASUREMENT_S
        bytes_per_s = (fleet.platform.transferred_bytes - bytes_before) / MEASUREMENT_S
        return cpu / interval_ratio, bytes_per_s / interval_ratio, float(process.memory_bytes())
