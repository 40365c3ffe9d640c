"""Divide the slots of targets among entry VMs that do not see each other's choices.

All slots of a service in a region form one sequence, in the order of the targets' hashes. The
sequence is divided into contiguous parts of equal size, one for each entry VM: its home slots.
Every entry VM computes the same division from the same lists. As long as the other entry VMs have
free home slots too, a request at a free home slot does not meet a request of another entry VM.
"""

from collections.abc import Mapping, Sequence

import xxhash

ENTRIES_PER_TARGET = 40


def home_slots(entry: str, entries: Sequence[str], slots: Mapping[str, int]) -> dict[str, int]:
    """Return the number of home slots that an entry VM has at each target."""
    ordered_entries = sorted(set(entries) | {entry})
    index, count = ordered_entries.index(entry), len(ordered_entries)
    total = sum(slots.values())
    first, end = index * total // count, (index + 1) * total // count
    shares: dict[str, int] = {}
    start = 0
    for target in sorted(slots, key=_position_hash):
        share = min(end, start + slots[target]) - max(first, start)
        if share > 0:
            shares[target] = share
        start += slots[target]
    return shares


def reachable_targets(
    entry: str,
    entries: Sequence[str],
    targets: Sequence[str],
    entries_per_target: int = ENTRIES_PER_TARGET,
) -> tuple[str, ...]:
    """Return the targets that an entry VM may connect to, sorted by name.

    Each target is assigned to the entry VMs with the highest rendezvous hashes for it. If an entry
    VM joins or leaves, only its own assignments move.
    """
    if len(entries) <= entries_per_target:
        return tuple(sorted(targets))
    return tuple(
        target
        for target in sorted(targets)
        if _has_top_hash(entry, entries, target, entries_per_target)
    )


def connection_share(
    connections: int, entries: int, entries_per_target: int = ENTRIES_PER_TARGET
) -> int:
    """Return the number of connections that an entry VM may open to each of its targets."""
    return max(1, connections // max(1, min(entries, entries_per_target)))


def _has_top_hash(entry: str, entries: Sequence[str], target: str, count: int) -> bool:
    own_hash = _rendezvous_hash(entry, target)
    return sum(_rendezvous_hash(other, target) > own_hash for other in entries) < count


def _rendezvous_hash(entry: str, target: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{entry}\n{target}".encode())


def _position_hash(target: str) -> int:
    return xxhash.xxh3_64_intdigest(target.encode())
