"""Tell which entry VMs are alive, and repeat to each other what the store last said.

One small datagram protocol carries heartbeats and revisions; what a VM lacks it fetches from a peer
that has it. Nothing is decided here that only one VM may decide.
"""

from chervilmill.peers._digest import Digest, HeartbeatEntry, MalformedDigestError
from chervilmill.peers._endpoint import GossipEndpoint
from chervilmill.peers._membership import Membership, MemberState, Peer, peer_key
from chervilmill.peers._replica import KindReplica, ReplicaChange

__all__ = [
    "Digest",
    "GossipEndpoint",
    "HeartbeatEntry",
    "KindReplica",
    "MalformedDigestError",
    "MemberState",
    "Membership",
    "Peer",
    "ReplicaChange",
    "peer_key",
]
