"""Choose the entry VM that writes the order records of a shard.

Having one owner only avoids conflicts between entry VMs that write the same shard at once. The
conditional write alone prevents an order from running twice, so entry VMs may disagree on the owner
for a while.
"""

from collections.abc import Sequence

import xxhash


def owner_of(shard: int, entries: Sequence[str]) -> str | None:
    """Return the entry VM with the highest rendezvous hash for a shard, or None without any."""
    return max(entries, key=lambda entry: _rendezvous_hash(shard, entry), default=None)


def _rendezvous_hash(shard: int, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{shard}\n{entry}".encode())
