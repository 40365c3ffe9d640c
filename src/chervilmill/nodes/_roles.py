"""Choose the head of each failure domain and the root of all nodes from the membership alone.

The root is a node that is not a head, if there is such a node, so that no node serves both levels.

Heads and the root reduce the number of messages. Correctness does not depend on their being
unique: if two nodes both act as the head of one failure domain, each divides only its own grant.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from chervilmill.nodes._messages import Member, MemberState

MAX_CACHED_NAMES = 65536


@dataclass(frozen=True, slots=True)
class Roles:
    """The head of this node's failure domain, the root, and the nodes that this node serves."""

    head: str
    root: str
    served_nodes: frozenset[str]
    served_heads: frozenset[str]

    def upstream_peers(self, own_name: str) -> frozenset[str]:
        """Return the head, or for a head the root, to which this node keeps a link."""
        upward = {self.head} | ({self.root} if self.head == own_name else set())
        return frozenset(upward - {own_name, ""})

    def served_peers(self, own_name: str) -> frozenset[str]:
        """Return the other nodes that report to this node."""
        return (self.served_nodes | self.served_heads) - {own_name}


NO_ROLES = Roles("", "", frozenset(), frozenset())


@lru_cache(MAX_CACHED_NAMES)
def _rank(name: str) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(name.encode(), seed=99), name)


def choose_roles(own: Member, members: Iterable[Member]) -> Roles:
    """Return the roles among the members; members that are leaving get no role."""
    live = [m for m in members if m.state is MemberState.LIVE]
    heads: dict[str, str] = {}
    for member in live:
        head = heads.get(member.failure_domain)
        if head is None or _rank(member.name) < _rank(head):
            heads[member.failure_domain] = member.name
    if not heads:
        return NO_ROLES
    others = {member.name for member in live} - set(heads.values())
    root = min(others or heads.values(), key=_rank)
    head = heads.get(own.failure_domain, "")
    domain = (m.name for m in live if m.failure_domain == own.failure_domain)
    return Roles(
        head=head,
        root=root,
        served_nodes=frozenset(domain) if head == own.name else frozenset(),
        served_heads=frozenset(heads.values()) if root == own.name else frozenset(),
    )
