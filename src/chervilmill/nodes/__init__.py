"""Coordinate this entry VM with the other entry VMs.

The package keeps the membership, replicates the configuration and the list of VMs, divides the
caps that all entry VMs share, and distributes load figures and short-lived news.
"""

from chervilmill.nodes._messages import DomainLoad, NewsItem
from chervilmill.nodes._news import NewsListener
from chervilmill.nodes._service import Freshness, Nodes, link_resource

__all__ = ["DomainLoad", "Freshness", "NewsItem", "NewsListener", "Nodes", "link_resource"]
