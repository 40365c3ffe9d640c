"""Rank the targets of an object in the same order on every entry VM.

Load pattern: steady overload of cold work. A target that has recently handled an object needs a
third of the time for the next request. All requests for an object therefore go to the target that
ranks first for it, whichever entry VM receives them, and overflow to the next targets in the same
order. Ranks come from rendezvous hashing (Thaler and Ravishankar, 1998): a target that joins or
leaves moves only the objects for which it ranks first.
"""

from collections import OrderedDict
from collections.abc import Sequence

from chervilmill.routing import Target, unit_hash

MAX_CACHED_OBJECTS = 4096  # several times the objects in use at once on the largest site


class AffinityRanking:
    """A cache of the order of targets for recently requested objects."""

    __slots__ = ("_ranks_by_object", "_names_by_group")

    def __init__(self) -> None:
        self._ranks_by_object: OrderedDict[tuple[str, str], dict[str, int]] = OrderedDict()
        self._names_by_group: dict[str, tuple[str, ...]] = {}

    def ranks(self, group: str, targets: Sequence[Target], key: str) -> dict[str, int]:
        """Return the rank of each target for an object, 0 first.

        `group` names the set of targets. Its cached ranks are dropped when the set changes.
        """
        names = tuple(sorted(target.name for target in targets))
        if self._names_by_group.get(group) != names:
            self._names_by_group[group] = names
            for stale in [entry for entry in self._ranks_by_object if entry[0] == group]:
                del self._ranks_by_object[stale]
        ranks = self._ranks_by_object.get((group, key))
        if ranks is None:
            ranks = _rank(names, key)
            self._ranks_by_object[(group, key)] = ranks
            if len(self._ranks_by_object) > MAX_CACHED_OBJECTS:
                self._ranks_by_object.popitem(last=False)
        else:
            self._ranks_by_object.move_to_end((group, key))
        return ranks


def _rank(names: Sequence[str], key: str) -> dict[str, int]:
    ordered = sorted(names, key=lambda name: unit_hash(name, key), reverse=True)
    return {name: rank for rank, name in enumerate(ordered)}
