"""Gossip membership of the entry VMs, and their copies of the store's objects.

One small datagram protocol carries heartbeats and store revisions. A VM that lacks a revision
fetches the objects from a peer that has them. This package makes no decision that must be made by a
single VM.
"""

from chervilmill.peers._allowance_messages import (
    decode_allowance,
    encode_allowance,
)
from chervilmill.peers._crash_reports import decode_reports, encode_reports
from chervilmill.peers._datagrams import MalformedDigestError
from chervilmill.peers._digest import Digest, HeartbeatEntry
from chervilmill.peers._dissemination import TableCursor, UpdateQueue
from chervilmill.peers._endpoint import GossipEndpoint, ReportChannel, ReportExchange
from chervilmill.peers._leaving_reports import decode_leaving, encode_leaving
from chervilmill.peers._limit_reports import decode_limits, encode_limits
from chervilmill.peers._membership import (
    DEAD_AFTER_S,
    ROUND_S,
    SUSPECT_AFTER_S,
    Membership,
    MemberState,
    Peer,
    peer_key,
)
from chervilmill.peers._replica import CopyProof, KindReplica, ReplicaChange

__all__ = [
    "CopyProof",
    "DEAD_AFTER_S",
    "Digest",
    "GossipEndpoint",
    "HeartbeatEntry",
    "KindReplica",
    "MalformedDigestError",
    "MemberState",
    "Membership",
    "Peer",
    "ROUND_S",
    "ReplicaChange",
    "ReportChannel",
    "ReportExchange",
    "SUSPECT_AFTER_S",
    "TableCursor",
    "UpdateQueue",
    "decode_allowance",
    "decode_leaving",
    "decode_limits",
    "decode_reports",
    "encode_allowance",
    "encode_leaving",
    "encode_limits",
    "encode_reports",
    "peer_key",
]
