"""Store the membership table of a node.

The records of a member are ordered by incarnation and then by state, so that merging records in
any order gives the same table.
"""

from collections.abc import Iterable, Iterator
from dataclasses import replace

import xxhash

from chervilmill.nodes._messages import Member, MemberState, MemberStatus

BUCKET_COUNT = 64
DEAD_RETENTION_S = 600.0


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT


def _fingerprint(member: Member) -> int:
    if member.state is MemberState.DEAD:
        return 0
    text = f"{member.name}:{member.incarnation}:{int(member.state)}"
    return xxhash.xxh32_intdigest(text.encode())


class Members:
    """The newest record of every member, with hashes for the comparison with peers."""

    def __init__(self) -> None:
        self._records: dict[str, Member] = {}
        self._died_s: dict[str, float] = {}
        self._names_by_address: dict[str, set[str]] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        self.generation = 0

    def get(self, name: str) -> Member | None:
        """Return the record of a member, even if the member is dead, or None."""
        return self._records.get(name)

    def present(self) -> Iterator[Member]:
        """Yield the members that are not dead."""
        return (m for m in self._records.values() if m.state is not MemberState.DEAD)

    def dead(self) -> list[Member]:
        """Return the dead members that have not been removed from the table yet."""
        return [self._records[name] for name in self._died_s]

    def merge(self, member: Member, now: float) -> bool:
        """Store a record if it is newer than the stored one, and return whether it was."""
        held = self._records.get(member.name)
        if held is not None and not _is_newer(member.incarnation, member.state, held):
            return False
        bucket = _bucket(member.name)
        if held is not None:
            self._bucket_hashes[bucket] ^= _fingerprint(held)
        self._bucket_hashes[bucket] ^= _fingerprint(member)
        if held is not None:
            self._names_by_address[held.nodes].discard(member.name)
        self._names_by_address.setdefault(member.nodes, set()).add(member.name)
        self._records[member.name] = member
        self._died_s.pop(member.name, None)
        if member.state is MemberState.DEAD:
            self._died_s[member.name] = now
        self.generation += 1
        return True

    def merge_status(self, status: MemberStatus, now: float) -> bool:
        """Apply a status to a known member, and return whether the status was newer."""
        held = self._records.get(status.name)
        if held is None:
            return False
        changed = replace(held, incarnation=status.incarnation, state=status.state)
        return self.merge(changed, now)

    def forget_dead(self, now: float) -> None:
        """Remove members that have been dead for DEAD_RETENTION_S."""
        due = [name for name, died_s in self._died_s.items() if now - died_s > DEAD_RETENTION_S]
        for name in due:
            del self._died_s[name]
            record = self._records.pop(name)
            self._names_by_address[record.nodes].discard(name)
            if not self._names_by_address[record.nodes]:
                del self._names_by_address[record.nodes]

    def others_at_address(self, member: Member) -> list[Member]:
        """Return the other members that are not dead and have the same address."""
        names = self._names_by_address.get(member.nodes, set()) - {member.name}
        others = (self._records[name] for name in sorted(names))
        return [other for other in others if other.state is not MemberState.DEAD]

    @property
    def hash(self) -> int:
        """Return a 32-bit hash of all members that are not dead."""
        return xxhash.xxh32_intdigest(str(self._bucket_hashes).encode())

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Return the hash of each bucket of members that are not dead."""
        return tuple(self._bucket_hashes)

    def in_differing_buckets(self, bucket_hashes: tuple[int, ...]) -> list[Member]:
        """Return the records in the buckets whose hash differs from that of a peer."""
        if len(bucket_hashes) != BUCKET_COUNT:
            return list(self._records.values())
        wanted = {i for i in range(BUCKET_COUNT) if bucket_hashes[i] != self._bucket_hashes[i]}
        return [m for m in self._records.values() if _bucket(m.name) in wanted]


def _is_newer(incarnation: int, state: MemberState, held: Member) -> bool:
    return (incarnation, state) > (held.incarnation, held.state)


def statuses(members: Iterable[Member]) -> tuple[MemberStatus, ...]:
    """Return the states of members without their addresses."""
    return tuple(MemberStatus(m.name, m.incarnation, m.state) for m in members)
