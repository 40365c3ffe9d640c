"""Choose the few targets that are evaluated for a request, in place of all of a region.

Load pattern: a service with hundreds of targets. To evaluate all of them for each request takes
most of an entry VM's processor time. The short list has the targets that can be the best choice:
those that rank first for the object, those to which this VM has sent the object, and those that
lately reported free slots. A few others are drawn at random (Mitzenmacher, 2001), so that this VM
also learns of targets to which it has sent nothing.
"""

import random
from collections import OrderedDict
from collections.abc import Mapping
from itertools import islice

from chervilmill.overload._target_groups import RegionTargets
from chervilmill.overload._target_record import TargetRecord

MAX_ALL_EVALUATED = 16  # targets; up to this number, a short list would save nothing
RANKED = 8  # targets of an object, first ranks first
HOLDERS = 4  # targets to which this VM sent the object last
FREE = 4  # targets that reported free slots last
FREE_WITHOUT_OBJECT = 8
SAMPLED = 4
SAMPLED_WITHOUT_OBJECT = 8
MAX_KNOWN_FREE = 32  # in each region
MAX_KNOWN_OBJECTS = 4096  # several times the objects in use at once on the largest site
MAX_KNOWN_HOLDERS = 8  # of each object


class ShortLists:
    """What this VM knows of all targets' free slots and objects, to choose a few of them."""

    __slots__ = ("_free_by_group", "_holders_by_object", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._free_by_group: dict[str, OrderedDict[str, None]] = {}
        self._holders_by_object: OrderedDict[str, OrderedDict[str, None]] = OrderedDict()

    def copy_with(self, rng: random.Random) -> "ShortLists":
        """Return a copy for one choice with another random source; it shares the known objects."""
        copied = ShortLists(rng)
        copied._free_by_group = {group: free.copy() for group, free in self._free_by_group.items()}
        copied._holders_by_object = self._holders_by_object
        return copied

    def record_sent(self, name: str, key: str) -> None:
        """Record that a target was sent an object."""
        holders = self._holders_by_object.setdefault(key, OrderedDict())
        self._holders_by_object.move_to_end(key)
        _add_last(holders, name, MAX_KNOWN_HOLDERS)
        if len(self._holders_by_object) > MAX_KNOWN_OBJECTS:
            self._holders_by_object.popitem(last=False)

    def record_room(self, group: str, name: str, *, has_room: bool) -> None:
        """Record whether a target of a group has free slots."""
        free = self._free_by_group.setdefault(group, OrderedDict())
        if has_room:
            _add_last(free, name, MAX_KNOWN_FREE)
        else:
            free.pop(name, None)

    def choose(
        self, group: RegionTargets, key: str, ranks: Mapping[str, int]
    ) -> tuple[TargetRecord, ...]:
        """Return the records to evaluate, which are all if there are only a few."""
        if len(group.records) <= MAX_ALL_EVALUATED:
            return group.records
        names = dict.fromkeys(islice(ranks, RANKED))
        if key:
            names |= dict.fromkeys(islice(reversed(self._holders_by_object.get(key, {})), HOLDERS))
        free_count = FREE if key else FREE_WITHOUT_OBJECT
        free = reversed(self._free_by_group.get(group.name, {}))
        names |= dict.fromkeys(islice(free, free_count))
        chosen = {name: group.by_name[name] for name in names if name in group.by_name}
        for _ in range(SAMPLED if key else SAMPLED_WITHOUT_OBJECT):
            record = group.records[int(self._rng.random() * len(group.records))]
            chosen[record.target.name] = record
        return tuple(chosen.values())


def _add_last(names: OrderedDict[str, None], name: str, max_count: int) -> None:
    names[name] = None
    names.move_to_end(name)
    if len(names) > max_count:
        names.popitem(last=False)
