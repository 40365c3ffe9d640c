"""Act together with the other entry VMs."""

from chervilmill.nodes._service import Freshness, Nodes

__all__ = ["Freshness", "Nodes"]
