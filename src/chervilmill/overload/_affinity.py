"""Send the same object to the same few targets from every entry VM.

Load pattern: steady overload of cold work. A target that has just handled an object needs a third
of the time, so an object's requests meet at the target that ranks first for it, whichever entry VM
they came to, and overflow in the same order. Ranks are by rendezvous hashing (Thaler and
Ravishankar, 1998): a target that comes or goes moves only the objects for which it ranks first.
"""

from collections import OrderedDict
from collections.abc import Sequence

from chervilmill.routing import Target, unit_hash

MAX_CACHED = 4096  # objects in use at once on the largest site, several times over


class AffinityRanking:
    """Hold the order of targets for the objects asked for of late."""

    __slots__ = ("_cached", "_names")

    def __init__(self) -> None:
        self._cached: OrderedDict[tuple[str, str], dict[str, int]] = OrderedDict()
        self._names: dict[str, tuple[str, ...]] = {}

    def ranks(self, group: str, targets: Sequence[Target], key: str) -> dict[str, int]:
        """Return the rank of each target for an object, 0 first.

        `group` names the set that the targets make up; its cached ranks lapse when the set changes.
        """
        names = tuple(sorted(target.name for target in targets))
        if self._names.get(group) != names:
            self._names[group] = names
            for stale in [entry for entry in self._cached if entry[0] == group]:
                del self._cached[stale]
        found = self._cached.get((group, key))
        if found is None:
            found = _rank(names, key)
            self._cached[(group, key)] = found
            if len(self._cached) > MAX_CACHED:
                self._cached.popitem(last=False)
        else:
            self._cached.move_to_end((group, key))
        return found


def _rank(names: Sequence[str], key: str) -> dict[str, int]:
    ordered = sorted(names, key=lambda name: unit_hash(name, key), reverse=True)
    return {name: rank for rank, name in enumerate(ordered)}
