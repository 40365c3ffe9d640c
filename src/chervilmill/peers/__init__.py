"""Gossip membership of the entry VMs, and their copies of the store's objects.

One small datagram protocol carries heartbeats and store revisions. A VM that lacks a revision
fetches the objects from a peer that has them. This package makes no decision that must be made by a
single VM.
"""

from chervilmill.peers._digest import Digest, HeartbeatEntry, MalformedDigestError
from chervilmill.peers._dissemination import TableCursor, UpdateQueue
from chervilmill.peers._endpoint import GossipEndpoint, ReportExchange
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
    "ReportExchange",
    "TableCursor",
    "UpdateQueue",
    "peer_key",
]
