"""Count what membership by gossip costs an entry VM and how soon it notices a loss.

The memberships of the product run on a virtual clock over a network that loses a datagram in fifty.
Processor time is that of digests, encoding and decoding, without sockets.
"""

import time
from collections.abc import Iterator

from bench._gossip_fleet import GossipFleet
from bench._rows import Figure
from chervilmill.peers._membership import ROUND_S

SIZES = (12, 83, 300, 800)
LOSS = 0.02
SETTLE_S = 8.0
QUIET_S = 5.0
NOTICE_S = 12.0


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures at each size."""
    for size in SIZES:
        yield from _at(size, seed)


def _at(size: int, seed: int) -> Iterator[Figure]:
    fleet = GossipFleet(size, seed, loss=LOSS)
    fleet.play(SETTLE_S)
    fleet.bytes_sent = 0
    began_s = time.process_time()
    fleet.play(QUIET_S)
    busy_s = time.process_time() - began_s
    name = f"at_{size}"
    yield Figure(f"{name}.bytes", fleet.bytes_sent / QUIET_S / size / 1000, "KB/s")
    yield Figure(f"{name}.cpu", 100 * busy_s / QUIET_S / size, "% of a core")
    watched = [f"vm-{n}" for n in range(1, size, max(1, size // 20))]
    dead = sum(_missing(fleet, one) for one in watched) / len(watched) / (size - 1)
    yield Figure(f"{name}.thought_dead", 100 * dead, "% of views")
    fleet.kill("vm-1")
    noticed_s = 0.0
    while noticed_s < NOTICE_S and fleet.views("vm-1"):
        fleet.play(ROUND_S)
        noticed_s += ROUND_S
    yield Figure(f"{name}.death_known", noticed_s, "s")


def _missing(fleet: GossipFleet, name: str) -> int:
    """Return how many VMs do not name a VM as serving."""
    return len(fleet.up) - 1 - len(fleet.views(name))
