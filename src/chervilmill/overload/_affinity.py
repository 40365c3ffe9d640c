"""Rank the targets of an object in the same order on every entry VM.

Load pattern: steady overload of cold work. A target that has recently handled an object needs a
third of the time for the next request. All requests for an object therefore go to the target that
ranks first for it, whichever entry VM receives them, and overflow to the next targets in the same
order. Ranks come from rendezvous hashing (Thaler and Ravishankar, 1998): a target that joins or
leaves moves only the objects for which it ranks first.
"""

import heapq
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from chervilmill.routing import Target, unit_hash

MAX_CACHED_OBJECTS = 4096  # several times the objects in use at once on the largest site
MAX_RANKS = 16  # targets with a rank of their own; all others are as unlikely to hold the object
MIN_KEPT_RANKS = 8  # after targets left; with fewer, all targets are ranked again
MAX_KEPT_CHANGES = 64  # of a group; after more, all targets are ranked again


@dataclass(frozen=True, slots=True)
class _Change:
    joined: tuple[str, ...]
    left: frozenset[str]


@dataclass(slots=True)
class _Group:
    """The targets of a group, and how they changed since the version `version - len(changes)`."""

    targets: Sequence[Target]
    names: set[str]
    version: int = 0
    changes: list[_Change] = field(default_factory=list)

    def update(self, targets: Sequence[Target]) -> None:
        self.targets = targets
        names = {target.name for target in targets}
        if names == self.names:
            return
        joined = tuple(sorted(names - self.names))
        self.changes.append(_Change(joined, frozenset(self.names - names)))
        del self.changes[:-MAX_KEPT_CHANGES]
        self.names = names
        self.version += 1


@dataclass(slots=True)
class _Ranking:
    """The first targets of an object, as of a version of their group."""

    version: int
    hashes: list[tuple[float, str]]  # the highest first
    ranks: dict[str, int]
    is_complete: bool


class AffinityRanking:
    """A cache of the order of targets for recently requested objects."""

    __slots__ = ("_groups", "_ranking_by_object")

    def __init__(self) -> None:
        self._ranking_by_object: OrderedDict[tuple[str, str], _Ranking] = OrderedDict()
        self._groups: dict[str, _Group] = {}

    def ranks(self, group: str, targets: Sequence[Target], key: str) -> dict[str, int]:
        """Return the ranks of the first MAX_RANKS targets for an object, in order, 0 first.

        `group` names the set of targets. If the set changes, each ranking is updated with the
        targets that joined or left when it is used next. `targets` must not be modified.
        """
        known = self._groups.get(group)
        if known is None:
            known = _Group(targets, {target.name for target in targets})
            self._groups[group] = known
        elif known.targets is not targets:
            known.update(targets)
        ranking = self._ranking_by_object.get((group, key))
        if ranking is None:
            ranking = _ranking(known, _highest(known.names, key))
            self._ranking_by_object[(group, key)] = ranking
            if len(self._ranking_by_object) > MAX_CACHED_OBJECTS:
                self._ranking_by_object.popitem(last=False)
            return ranking.ranks
        self._ranking_by_object.move_to_end((group, key))
        if ranking.version != known.version:
            ranking = _ranking(known, _updated(ranking, known, key))
            self._ranking_by_object[(group, key)] = ranking
        return ranking.ranks


def _ranking(group: _Group, hashes: list[tuple[float, str]]) -> _Ranking:
    ranks = {name: rank for rank, (_, name) in enumerate(hashes)}
    return _Ranking(group.version, hashes, ranks, len(hashes) == len(group.names))


def _updated(ranking: _Ranking, group: _Group, key: str) -> list[tuple[float, str]]:
    """Return the first targets after the changes of their group since a ranking was made."""
    missed = group.version - ranking.version
    if missed > len(group.changes):
        return _highest(group.names, key)
    hashes = ranking.hashes
    is_complete = ranking.is_complete
    for change in group.changes[-missed:]:
        kept = [entry for entry in hashes if entry[1] not in change.left]
        # Between the last ranked target and one below it, others may have been left out.
        last = (-1.0, "") if is_complete else kept[-1] if kept else (2.0, "")
        joined = [entry for entry in _hashes(change.joined, key) if entry > last]
        hashes = sorted([*kept, *joined], reverse=True)
        is_complete = is_complete and len(hashes) <= MAX_RANKS
        hashes = hashes[:MAX_RANKS]
    if len(hashes) < min(MIN_KEPT_RANKS, len(group.names)):
        return _highest(group.names, key)
    return hashes


def _highest(names: Collection[str], key: str) -> list[tuple[float, str]]:
    return heapq.nlargest(MAX_RANKS, _hashes(names, key))


def _hashes(names: Iterable[str], key: str) -> list[tuple[float, str]]:
    return [(unit_hash(name, key), name) for name in names]
