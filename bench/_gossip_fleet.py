"""Run the memberships of a fleet on a virtual clock, over a network that loses datagrams."""

import random
from collections.abc import Callable

from chervilmill.peers import Membership, MemberState, Peer
from chervilmill.peers._digest import decode_digest
from chervilmill.peers._membership import ROUND_S

Link = Callable[[str, str], bool]


class GossipFleet:
    """Hold the memberships of the VMs that are up, in failure domains of equal size.

    `carries` tells which links work, by sender and receiver.
    """

    def __init__(self, count: int, seed: int, *, domains: int = 1, loss: float = 0.0) -> None:
        self.now_s = 0.0
        self.bytes_sent = 0
        self.largest = 0
        self.carries: Link = lambda _, __: True
        self._loss = loss
        self._rng = random.Random(seed)
        self.peers = [Peer(f"vm-{n}", f"10.0.0.{n}", f"d{n % domains}") for n in range(count)]
        self.up = {peer.name: self.make(peer, 1) for peer in self.peers}

    def make(self, peer: Peer, incarnation: int) -> Membership:
        """Return the membership of a VM that has just started and serves."""
        membership = Membership(
            peer.name, incarnation, random.Random(peer.name), peer.failure_domain
        )
        membership.set_peers(self.peers)
        membership.set_serving(True)
        return membership

    def kill(self, *names: str) -> None:
        """End VMs without a word."""
        for name in names:
            del self.up[name]

    def play(self, seconds: float) -> None:
        """Play rounds of all VMs."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += ROUND_S
            for name, membership in list(self.up.items()):
                membership.begin_round(self.now_s)
                data = membership.digest({}, self.now_s).encode()
                for peer in membership.receivers(self.now_s):
                    self._send(data, name, peer.name)

    def serving_peers(self, name: str) -> set[str]:
        """Return the VMs that a VM names as serving."""
        return {peer.name for peer in self.up[name].serving_peers(self.now_s)}

    def views(self, name: str) -> list[str]:
        """Return the VMs that name a VM as serving."""
        return [
            other
            for other, membership in self.up.items()
            if other != name and membership.state(name, self.now_s) is MemberState.SERVING
        ]

    def _send(self, data: bytes, sender: str, to: str) -> None:
        if not self._arrives(data, sender, to):
            return
        for answer in self.up[to].receive(decode_digest(data, sender), self.now_s):
            encoded = answer.encode()
            if self._arrives(encoded, to, sender):
                self.up[sender].receive(decode_digest(encoded, to), self.now_s)

    def _arrives(self, data: bytes, sender: str, to: str) -> bool:
        self.bytes_sent += len(data)
        self.largest = max(self.largest, len(data))
        is_carried = to in self.up and self.carries(sender, to)
        return is_carried and self._rng.random() >= self._loss
