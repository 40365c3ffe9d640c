"""Measure what a node costs itself and the platform while no caller asks anything."""

import time
from collections.abc import Iterator

from bench._rows import Figure
from bench.capacity._fit import Quantity, figures_of
from bench.capacity._probe import Probe, other_targets
from bench.capacity._target import NODES, VMS
from chervilmill.nodes._vm_list import read_interval_s

SETTLE_S = 2.0
WINDOW_S = 6.0
NODE_SIZES = (6, 12, 18)
VM_SIZES = (100, 400, 1600)
ROLE = "platform_client"

READS = Quantity(
    ROLE,
    "reads",
    "reads and watches of the store",
    "nodes",
    NODE_SIZES,
    NODES,
    "calls/s",
    "a few nodes of each failure domain read for their peers",
)
WRITES = Quantity(
    ROLE,
    "writes",
    "writes of the store without orders",
    "nodes",
    NODE_SIZES,
    NODES,
    "calls/s",
    "leases and status",
)
CPU = Quantity(
    ROLE,
    "cpu",
    "processor time of a node's readings of the list of VMs",
    "VMs in the list",
    VM_SIZES,
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
    VM_SIZES,
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
    VM_SIZES,
    VMS,
    "MB",
    "one record for each VM",
    scale=1e-6,
)
QUANTITIES = (READS, WRITES, CPU, BYTES, MEMORY)


def figures() -> Iterator[Figure]:
    """Yield the slopes by the number of nodes, then by the length of the VM list."""
    calls = [_calls(nodes) for nodes in NODE_SIZES]
    yield from figures_of(READS, [reads for reads, _ in calls])
    yield from figures_of(WRITES, [writes for _, writes in calls])
    costs = [_costs(vms) for vms in VM_SIZES]
    yield from figures_of(CPU, [cpu for cpu, _, _ in costs])
    yield from figures_of(BYTES, [sent for _, sent, _ in costs])
    yield from figures_of(MEMORY, [memory for _, _, memory in costs])


def _calls(nodes: int) -> tuple[float, float]:
    with Probe(nodes) as probe:
        time.sleep(SETTLE_S)
        before = probe.platform.calls.copy()
        time.sleep(WINDOW_S)
        made = probe.platform.calls - before
    return (made["read"] + made["watch"]) / WINDOW_S, made["write"] / WINDOW_S


def _costs(vms: int) -> tuple[float, float, float]:
    """Return the processor time and bytes per second at the target, and the memory, of a node.

    A node alone reads the list as often as a whole fleet does. Its costs are therefore divided by
    how much more rarely one node of the target's fleet reads it.
    """
    rarer = read_interval_s(NODES) / read_interval_s(1)
    with Probe(1, other_targets(vms - 1)) as probe:
        (process,) = probe.processes
        time.sleep(SETTLE_S)
        cpu_s, sent = process.cpu_s(), probe.platform.bytes
        time.sleep(WINDOW_S)
        cpu = (process.cpu_s() - cpu_s) / WINDOW_S
        rate = (probe.platform.bytes - sent) / WINDOW_S
        return cpu / rarer, rate / rarer, float(process.memory_bytes())
