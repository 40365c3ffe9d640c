"""Give a popular object as many targets as its requests fill.

Load pattern: a hot object. One target cannot run all of its requests, and entry VMs that send them
by reports that are a moment old all choose the same target at once. The number of targets follows
from the rate of the object's requests: each VM counts its own, and takes them for those of an
average VM of its region. VMs exchange no messages for this. If their counts differ, the targets of
one VM contain those of the other, because they are the first of the object's ranking.

Of these targets, two are drawn at random and evaluated (Mitzenmacher, 2001). The drawing keeps the
VMs from choosing the same target at once.

An object that one target can run keeps its ranking. So does every object for which this VM has sent
too few requests lately to tell.
"""

import copy
import math
import random
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilmill.overload._target_groups import RegionTargets
from chervilmill.overload._target_record import TargetRecord
from chervilmill.routing import unit_hash

MAX_COUNTED_OBJECTS = 4096  # several times the objects in use at once on the largest site
# One of 70 VMs sends a request for a popular object every second or two. A longer half-life keeps
# targets for an object after its popularity ends.
COUNT_HALF_LIFE_S = 6.0
MAX_WHOLE_ORDERS = 64  # objects that need more targets than a ranking has; few can
MIN_AGE_S = 0.5  # of all counts; a shorter time would overestimate the rates
MIN_COUNT = 1.5  # with fewer, hundreds of unpopular objects were taken for popular by chance
UNCERTAINTY = 0.7  # standard deviations that are taken off a count, as it may be high by chance
USED_SHARE = 0.5  # of a target's slots that one object may fill; the rest is for other objects
CHOICES = 2  # of the targets of an object, evaluated for each request


@dataclass(frozen=True, slots=True)
class HotRanks:
    """The targets of a popular object.

    `drawn` are to be evaluated in place of all of its targets. `ranks` has rank 0 for each of its
    targets, because all are expected to hold it, and further ranks for the next of its ranking.
    """

    drawn: tuple[TargetRecord, ...]
    ranks: Mapping[str, int]

    def choose(self, listed: Iterable[TargetRecord]) -> tuple[TargetRecord, ...]:
        """Return the drawn targets and those of a list that are not the object's."""
        others = (record for record in listed if self.ranks.get(record.target.name) != 0)
        return (*self.drawn, *others)


@dataclass(slots=True)
class _Count:
    total: float
    at_s: float

    def decayed(self, now_s: float) -> float:
        return self.total * math.exp2(-max(0.0, now_s - self.at_s) / COUNT_HALF_LIFE_S)


@dataclass(frozen=True, slots=True)
class _WholeOrder:
    """All targets of a group in the order of an object; a new group replaces a changed one."""

    group: RegionTargets
    names: list[str]


class HotObjects:
    """The decayed counts of this VM's requests for each object in each group of targets."""

    __slots__ = ("_counts", "_rng", "_since_s", "_whole_orders")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._since_s: float | None = None
        self._counts: OrderedDict[tuple[str, str], _Count] = OrderedDict()
        self._whole_orders: OrderedDict[tuple[str, str], _WholeOrder] = OrderedDict()

    def copy_with(self, rng: random.Random) -> "HotObjects":
        """Return a copy for one choice with another random source; it shares the counts."""
        copied = copy.copy(self)
        copied._rng = rng
        return copied

    def record_sent(self, group: str, key: str, now_s: float) -> None:
        """Record a request for an object that was sent to a target of a group."""
        if self._since_s is None:
            self._since_s = now_s
        count = self._counts.setdefault((group, key), _Count(0.0, now_s))
        count.total = count.decayed(now_s) + 1.0
        count.at_s = now_s
        self._counts.move_to_end((group, key))
        if len(self._counts) > MAX_COUNTED_OBJECTS:
            self._counts.popitem(last=False)

    def target_count(
        self, group: RegionTargets, key: str, work_s: float, vms: int, now_s: float
    ) -> int:
        """Return how many targets of a group the requests for an object fill, at least 1.

        `work_s` is the work of a target that holds the object, and `vms` the number of entry VMs
        that send to the group.
        """
        count = self._counts.get((group.name, key))
        total = count.decayed(now_s) if count is not None else 0.0
        if total < MIN_COUNT or self._since_s is None:
            return 1
        age_s = max(MIN_AGE_S, now_s - self._since_s)
        counted_s = COUNT_HALF_LIFE_S / math.log(2) * (1 - math.exp2(-age_s / COUNT_HALF_LIFE_S))
        rate_per_s = (total - UNCERTAINTY * math.sqrt(total)) / counted_s * vms
        usable_slots = USED_SHARE * group.slots / len(group.records)
        return max(1, min(len(group.records), math.ceil(rate_per_s * work_s / usable_slots)))

    def ranks(
        self, group: RegionTargets, key: str, ranks: Mapping[str, int], count: int
    ) -> HotRanks | None:
        """Return the first `count` targets of an object's ranking, or None if one is enough."""
        if count <= 1:
            return None
        names = list(ranks) if count <= len(ranks) else self._whole_order(group, key)
        hot, rest = names[:count], names[count : len(ranks)]
        drawn = tuple(group.by_name[name] for name in self._rng.sample(hot, CHOICES))
        further = {name: rank for rank, name in enumerate(rest, 1)}
        return HotRanks(drawn, dict.fromkeys(hot, 0) | further)

    def _whole_order(self, group: RegionTargets, key: str) -> list[str]:
        order = self._whole_orders.get((group.name, key))
        if order is None or order.group is not group:
            names = sorted(group.by_name, key=lambda name: (unit_hash(name, key), name))
            order = _WholeOrder(group, names[::-1])
            self._whole_orders[(group.name, key)] = order
        self._whole_orders.move_to_end((group.name, key))
        if len(self._whole_orders) > MAX_WHOLE_ORDERS:
            self._whole_orders.popitem(last=False)
        return order.names
