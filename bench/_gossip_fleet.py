"""Run the memberships of a fleet on a virtual clock, over a network that drops datagrams."""

import random
from collections.abc import Callable

from chervilmill.peers import Membership, MemberState, Peer
from chervilmill.peers._digest import decode_digest
from chervilmill.peers._membership import ROUND_S

LinkCheck = Callable[[str, str], bool]


class GossipFleet:
    """The memberships of the running VMs, in failure domains of equal size.

    `link_works` decides by sender and receiver whether their link works. Datagrams on working
    links are lost with the probability `loss_share`.
    """

    def __init__(
        self, vm_count: int, seed: int, *, domain_count: int = 1, loss_share: float = 0.0
    ) -> None:
        self.now_s = 0.0
        self.bytes_sent = 0
        self.largest_datagram_bytes = 0
        self.link_works: LinkCheck = lambda _, __: True
        self._loss_share = loss_share
        self._rng = random.Random(seed)
        self.peers = [
            Peer(f"vm-{n}", f"10.0.0.{n}", f"d{n % domain_count}") for n in range(vm_count)
        ]
        self.memberships = {peer.name: self.new_membership(peer, 1) for peer in self.peers}

    def new_membership(self, peer: Peer, incarnation: int) -> Membership:
        """Return the membership of a VM that has just started and is serving."""
        membership = Membership(
            peer.name, incarnation, random.Random(peer.name), peer.failure_domain
        )
        membership.set_peers(self.peers)
        membership.set_serving(True)
        return membership

    def kill(self, *names: str) -> None:
        """Stop VMs without notice to their peers."""
        for name in names:
            del self.memberships[name]

    def run(self, duration_s: float) -> None:
        """Run gossip rounds of all VMs for a duration."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += ROUND_S
            for name, membership in list(self.memberships.items()):
                membership.begin_round(self.now_s)
                data = membership.digest({}, self.now_s).encode()
                for peer in membership.receivers(self.now_s):
                    self._send(data, name, peer.name)

    def serving_peers(self, name: str) -> set[str]:
        """Return the names of the VMs that a VM sees as serving."""
        return {peer.name for peer in self.memberships[name].serving_peers(self.now_s)}

    def observers_of(self, name: str) -> list[str]:
        """Return the names of the VMs that see a VM as serving."""
        return [
            observer
            for observer, membership in self.memberships.items()
            if observer != name and membership.state(name, self.now_s) is MemberState.SERVING
        ]

    def _send(self, data: bytes, sender: str, receiver: str) -> None:
        if not self._arrives(data, sender, receiver):
            return
        for answer in self.memberships[receiver].receive(decode_digest(data, sender), self.now_s):
            encoded = answer.encode()
            if self._arrives(encoded, receiver, sender):
                self.memberships[sender].receive(decode_digest(encoded, receiver), self.now_s)

    def _arrives(self, data: bytes, sender: str, receiver: str) -> bool:
        self.bytes_sent += len(data)
        self.largest_datagram_bytes = max(self.largest_datagram_bytes, len(data))
        is_reachable = receiver in self.memberships and self.link_works(sender, receiver)
        return is_reachable and self._rng.random() >= self._loss_share
