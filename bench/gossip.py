"""Measure the cost of gossip membership for an entry VM and the time to detect a lost VM.

The memberships of chervilmill run on a virtual clock over a network that loses one datagram in
fifty. Processor time covers digests, encoding and decoding, but no sockets.
"""

import time
from collections.abc import Iterator

from bench._gossip_fleet import GossipFleet
from bench._rows import Figure
from chervilmill.peers._membership import ROUND_S

FLEET_SIZES = (12, 83, 300, 800)
LOSS_SHARE = 0.02
SETTLE_S = 8.0
UNDISTURBED_S = 5.0
MAX_DETECTION_S = 12.0


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures for each fleet size."""
    for size in FLEET_SIZES:
        yield from _figures_at_size(size, seed)


def _figures_at_size(size: int, seed: int) -> Iterator[Figure]:
    fleet = GossipFleet(size, seed, loss_share=LOSS_SHARE)
    fleet.run(SETTLE_S)
    fleet.bytes_sent = 0
    cpu_before_s = time.process_time()
    fleet.run(UNDISTURBED_S)
    cpu_s = time.process_time() - cpu_before_s
    name = f"at_{size}"
    yield Figure(f"{name}.bytes", fleet.bytes_sent / UNDISTURBED_S / size / 1000, "KB/s")
    yield Figure(f"{name}.cpu", 100 * cpu_s / UNDISTURBED_S / size, "% of a core")
    watched = [f"vm-{n}" for n in range(1, size, max(1, size // 20))]
    falsely_dead_share = (
        sum(_count_not_seeing(fleet, vm) for vm in watched) / len(watched) / (size - 1)
    )
    yield Figure(f"{name}.thought_dead", 100 * falsely_dead_share, "% of views")
    fleet.kill("vm-1")
    detection_s = 0.0
    while detection_s < MAX_DETECTION_S and fleet.observers_of("vm-1"):
        fleet.run(ROUND_S)
        detection_s += ROUND_S
    yield Figure(f"{name}.death_known", detection_s, "s")


def _count_not_seeing(fleet: GossipFleet, name: str) -> int:
    """Return how many of the other VMs do not see a VM as serving."""
    return len(fleet.memberships) - 1 - len(fleet.observers_of(name))
