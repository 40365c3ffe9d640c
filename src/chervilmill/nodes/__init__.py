"""Coordinate this entry VM with the other entry VMs.

The package keeps the membership, replicates the configuration and the list of VMs, divides the
caps that all entry VMs share, and distributes load figures and broadcast items.
"""

from chervilmill.nodes._broadcast import BroadcastListener
from chervilmill.nodes._messages import BroadcastItem, DomainLoad
from chervilmill.nodes._service import Freshness, NodeService, link_resource

__all__ = [
    "BroadcastItem",
    "BroadcastListener",
    "DomainLoad",
    "Freshness",
    "NodeService",
    "link_resource",
]
