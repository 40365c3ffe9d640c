"""Turn the loads of failure domains into a share map over places, while moving few blocks."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._shares import Segment, ShareMap
from chervilmill.steering._topology import Array, Topology

LOAD_TOLERANCE = 1e-9
MIN_RELEASED_SHARE = 1e-6
FULL = 1.0

_ReleasedShare = Callable[[Segment], float]


@dataclass(frozen=True, slots=True)
class _ReleasedRange:
    """A range of the hashes of a home; the range is not assigned to a place yet."""

    home: int
    low: int
    high: int


def build_share_map(
    topology: Topology,
    base: ShareMap,
    demand: Array,
    loads: Array,
    max_level: float,
    closed: frozenset[int],
) -> ShareMap:
    """Return a share map under which failure domains have the given loads.

    `demand` is by home place, `loads` is by home region and failure domain. Blocks leave closed
    places, failure domains with more load than given, and places above the utilisation `max_level`.
    They go to the places of lowest utilisation in the failure domains with less load than given.
    """
    return _ShareMapBuilder(topology, base, demand, max_level, closed).build(loads)


class _ShareMapBuilder:
    """The construction of one share map: ranges are released and then assigned to places."""

    def __init__(
        self,
        topology: Topology,
        base: ShareMap,
        demand: Array,
        max_level: float,
        closed: frozenset[int],
    ) -> None:
        self._topology = topology
        self._demand = demand
        self._max_level = max_level
        self._closed = closed
        self._home_count = base.home_count
        self._kept: list[Segment] = []
        self._released: defaultdict[int, list[_ReleasedRange]] = defaultdict(list)
        for segment in base.segments():
            if segment.place in closed:
                self._release(segment, segment.low)
            else:
                self._kept.append(segment)

    def build(self, loads: Array) -> ShareMap:
        """Return the new map."""
        wanted = self._scale_to_demand(loads)
        self._release_from_domains(wanted)
        self._release_from_places(wanted.sum(axis=0))
        gains = np.maximum(wanted - self._kept_loads(), 0.0)
        self._assign_released(gains)
        return ShareMap.from_segments(self._home_count, self._kept)

    def _scale_to_demand(self, loads: Array) -> Array:
        """Return the loads scaled to the whole demand, so that every block has a place.

        The part of a region's demand that cannot be served is divided among failure domains in
        proportion to the served part. If nothing of it is served, the capacities of the open
        places are the proportion.
        """
        demand_by_region = np.bincount(
            self._topology.region_of_place, self._demand, len(self._topology.regions)
        )
        scaled = loads.copy()
        capacities = self._topology.capacities()
        capacities[list(self._closed)] = 0.0
        fallback_weights = self._topology.by_domain(capacities) + LOAD_TOLERANCE
        for region, total in enumerate(demand_by_region):
            served = scaled[region].sum()
            weights = scaled[region] if served > LOAD_TOLERANCE else fallback_weights
            scaled[region] = weights * (total / weights.sum())
        return scaled

    def _release_from_domains(self, wanted: Array) -> None:
        kept = self._kept_loads()
        shares = np.divide(
            np.maximum(kept - wanted, 0.0),
            kept,
            out=np.zeros_like(kept),
            where=kept > LOAD_TOLERANCE,
        )
        self._release_shares(
            lambda kept_segment: float(
                shares[self._region(kept_segment.home), self._domain(kept_segment.place)]
            )
        )

    def _release_from_places(self, wanted: Array) -> None:
        """Release load from places above the utilisation level.

        If a failure domain is to carry more load than the level allows, because not all demand can
        be served, the limits of its places are raised in proportion.
        """
        loads = np.zeros(len(self._topology.places))
        for segment in self._kept:
            loads[segment.place] += self._load(segment)
        limits = self._topology.capacities() * min(self._max_level, FULL)
        by_domain = self._topology.by_domain(limits)
        factors = np.divide(
            wanted, by_domain, out=np.ones_like(wanted), where=by_domain > LOAD_TOLERANCE
        )
        limits *= np.maximum(factors, 1.0)[self._topology.domain_of_place]
        shares = np.divide(
            np.maximum(loads - limits, 0.0),
            loads,
            out=np.zeros_like(loads),
            where=loads > LOAD_TOLERANCE,
        )
        self._release_shares(lambda kept_segment: float(shares[kept_segment.place]))

    def _release_shares(self, released_share: _ReleasedShare) -> None:
        kept = []
        for segment in self._kept:
            share = released_share(segment)
            kept_end = segment.high
            if share > MIN_RELEASED_SHARE:
                kept_end -= min(segment.width, round(segment.width * share))
                self._release(segment, kept_end)
            kept.append(Segment(segment.home, segment.low, kept_end, segment.place))
        self._kept = [segment for segment in kept if segment.width]

    def _release(self, segment: Segment, low: int) -> None:
        if low < segment.high:
            self._released[self._region(segment.home)].append(
                _ReleasedRange(segment.home, low, segment.high)
            )

    def _assign_released(self, gains: Array) -> None:
        amounts = self._gains_by_place(gains)
        for region, ranges in sorted(self._released.items()):
            self._assign(ranges, amounts[region])

    def _gains_by_place(self, gains: Array) -> Array:
        """Return the load that each place gains, by home region and place."""
        loads = np.zeros(len(self._topology.places))
        for segment in self._kept:
            loads[segment.place] += self._load(segment)
        amounts = np.zeros((len(gains), len(self._topology.places)))
        for domain in range(len(self._topology.domains)):
            total = float(gains[:, domain].sum())
            places = [
                place
                for place in np.flatnonzero(self._topology.domain_of_place == domain)
                if place not in self._closed
            ]
            if total <= 0 or not places:
                continue
            added_loads = fill_evenly(loads[places], self._topology.capacities()[places], total)
            amounts[:, places] = np.outer(gains[:, domain], added_loads / total)
        return amounts

    def _assign(self, ranges: list[_ReleasedRange], amounts: Array) -> None:
        """Assign released ranges to places in order, until each place has its amount.

        If no place gains load, all ranges go to the open place with the largest capacity.
        """
        total = sum(self._load(hash_range) for hash_range in ranges)
        places = np.flatnonzero(amounts > LOAD_TOLERANCE * max(1.0, total))
        if not len(places):
            places = np.array([self._fallback_place()])
            amounts = amounts.copy()
            amounts[places[0]] = 1.0
        ends = np.cumsum(amounts[places]) * (total / amounts[places].sum())
        index, assigned = 0, 0.0
        for hash_range in ranges:
            low = hash_range.low
            load_per_hash = self._demand[hash_range.home] / HASH_SPAN
            while low < hash_range.high:
                high = hash_range.high
                if index < len(places) - 1 and load_per_hash > 0:
                    high = min(high, low + round((ends[index] - assigned) / load_per_hash))
                if high > low:
                    self._kept.append(Segment(hash_range.home, low, high, int(places[index])))
                    assigned += (high - low) * load_per_hash
                    low = high
                if low < hash_range.high:
                    index += 1

    def _fallback_place(self) -> int:
        capacities = self._topology.capacities()
        capacities[list(self._closed)] = -1.0
        return int(np.argmax(capacities))

    def _kept_loads(self) -> Array:
        loads = np.zeros((len(self._topology.regions), len(self._topology.domains)))
        for segment in self._kept:
            loads[self._region(segment.home), self._domain(segment.place)] += self._load(segment)
        return loads

    def _load(self, hash_range: Segment | _ReleasedRange) -> float:
        return float(self._demand[hash_range.home]) * (hash_range.high - hash_range.low) / HASH_SPAN

    def _region(self, home: int) -> int:
        return int(self._topology.region_of_place[home])

    def _domain(self, place: int) -> int:
        return int(self._topology.domain_of_place[place])


def fill_evenly(loads: Array, capacities: Array, amount: float) -> Array:
    """Return the load to add to each place so that the lowest utilisations rise to one level."""
    if capacities.sum() <= 0:
        return np.full(len(loads), amount / len(loads))
    order = np.argsort(
        np.divide(loads, capacities, out=np.full(len(loads), np.inf), where=capacities > 0),
        kind="stable",
    )
    level = 0.0
    for count in range(1, len(order) + 1):
        chosen = order[:count]
        if capacities[chosen[-1]] <= 0:
            break
        level = float((loads[chosen].sum() + amount) / capacities[chosen].sum())
        next_place = order[count] if count < len(order) else None
        if next_place is None or capacities[next_place] <= 0:
            break
        if level <= loads[next_place] / capacities[next_place]:
            break
    added = np.maximum(level * capacities - loads, 0.0)
    added[capacities <= 0] = 0.0
    total = float(added.sum())
    return added * (amount / total) if total > 0 else np.full(len(loads), amount / len(loads))
