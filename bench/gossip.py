"""Count what membership by gossip costs an entry VM and how soon it notices a loss.

The memberships of the product run on a virtual clock over a network that loses a datagram in fifty.
Processor time is that of digests, encoding and decoding, without sockets.
"""

import random
import time
from collections.abc import Iterator

from bench._rows import Figure
from chervilmill.peers import Membership, Peer
from chervilmill.peers._digest import decode_digest
from chervilmill.peers._membership import ROUND_S

SIZES = (12, 83, 300, 800)
LOSS = 0.02
SETTLE_S = 8.0
QUIET_S = 5.0
NOTICE_S = 12.0


class _Fleet:
    """Hold the memberships of a fleet, and what they have sent and taken."""

    def __init__(self, size: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._peers = [Peer(f"vm-{n}", f"host-{n}", "a") for n in range(size)]
        self.up = {peer.name: self._member(peer) for peer in self._peers}
        self.now_s = 0.0
        self.sent_bytes = 0
        self.busy_s = 0.0
        self.wrongly_dead = 0

    def play(self, seconds: float) -> None:
        """Play rounds of all VMs."""
        for _ in range(int(seconds / ROUND_S)):
            self.now_s += ROUND_S
            began_s = time.process_time()
            for membership in self.up.values():
                self._round(membership)
            self.busy_s += time.process_time() - began_s

    def missing(self, name: str) -> int:
        """Return how many VMs do not name a VM as serving."""
        return sum(
            all(peer.name != name for peer in membership.live(self.now_s))
            for other, membership in self.up.items()
            if other != name
        )

    def _member(self, peer: Peer) -> Membership:
        membership = Membership(peer.name, 1, random.Random(peer.name), peer.failure_domain)
        membership.register(self._peers)
        membership.serve(True)
        return membership

    def _round(self, membership: Membership) -> None:
        membership.beat(self.now_s)
        data = membership.digest({}, self.now_s).encode()
        for peer in membership.receivers(self.now_s):
            self._send(data, self.up.get(peer.name), membership)

    def _send(self, data: bytes, to: Membership | None, sender: Membership) -> None:
        self.sent_bytes += len(data)
        if to is None or self._rng.random() < LOSS:
            return
        for answer in to.receive(decode_digest(data, "digest"), self.now_s):
            encoded = answer.encode()
            self.sent_bytes += len(encoded)
            if self._rng.random() >= LOSS:
                sender.receive(decode_digest(encoded, "answer"), self.now_s)


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures at each size."""
    for size in SIZES:
        yield from _at(size, seed)


def _at(size: int, seed: int) -> Iterator[Figure]:
    fleet = _Fleet(size, seed)
    fleet.play(SETTLE_S)
    fleet.sent_bytes, fleet.busy_s = 0, 0.0
    fleet.play(QUIET_S)
    name = f"at_{size}"
    yield Figure(f"{name}.bytes", fleet.sent_bytes / QUIET_S / size / 1000, "KB/s")
    yield Figure(f"{name}.cpu", 100 * fleet.busy_s / QUIET_S / size, "% of a core")
    watched = [f"vm-{n}" for n in range(1, size, max(1, size // 20))]
    dead = sum(fleet.missing(one) for one in watched) / len(watched) / (size - 1)
    yield Figure(f"{name}.thought_dead", 100 * dead, "% of views")
    del fleet.up["vm-1"]
    noticed_s = 0.0
    while noticed_s < NOTICE_S and fleet.missing("vm-1") < len(fleet.up):
        fleet.play(ROUND_S)
        noticed_s += ROUND_S
    yield Figure(f"{name}.death_known", noticed_s, "s")
