"""Choose the neighbours of a node, to which it keeps links, from the membership alone.

Members are arranged in three rings. The first is ordered by region and failure domain, so that the
members of a failure domain or a region stay connected when they are cut off from the rest. The
other two are ordered by hashes and connect each node to random peers. A graph of several random
rings becomes disconnected only if nearly all neighbours of a node fail at once. The Rapid
membership service (Suresh et al., 2018) also chooses observers from several rings.
"""

from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Any

import xxhash

from chervilmill.nodes._messages import Member

RANDOM_RINGS = 2
RELAYS_PER_DOMAIN = 2
MAX_CACHED_NAMES = 65536


@lru_cache(MAX_CACHED_NAMES)
def _position(name: str, ring: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=ring)


def ring_keys(member: Member) -> tuple[Any, ...]:
    """Return the sortable position of a member on each ring."""
    return _ring_keys(member.region, member.failure_domain, member.name)


@lru_cache(MAX_CACHED_NAMES)
def _ring_keys(region: str, failure_domain: str, name: str) -> tuple[Any, ...]:
    local = (region, failure_domain, _position(name, 0), name)
    random_rings = ((_position(name, ring), name) for ring in range(1, RANDOM_RINGS + 1))
    return (local, *random_rings)


def neighbours(own: Member, others: Iterable[Member]) -> frozenset[str]:
    """Return the names of the predecessor and the successor of a member on each ring."""
    own_keys = ring_keys(own)
    keyed = [(ring_keys(other), other.name) for other in others if other.name != own.name]
    if not keyed:
        return frozenset()
    chosen: set[str] = set()
    for ring, own_key in enumerate(own_keys):
        ordered = [(keys[ring], name) for keys, name in keyed]
        after = [item for item in ordered if item[0] > own_key]
        before = [item for item in ordered if item[0] < own_key]
        chosen.add(min(after or ordered)[1])
        chosen.add(max(before or ordered)[1])
    return frozenset(chosen)


def is_relay(own: Member, members: Mapping[str, Member]) -> bool:
    """Return whether a member is a relay, which watches the store for its failure domain."""
    rank = sum(
        other.failure_domain == own.failure_domain
        and (_position(other.name, 0), other.name) < (_position(own.name, 0), own.name)
        for other in members.values()
    )
    return rank < RELAYS_PER_DOMAIN
