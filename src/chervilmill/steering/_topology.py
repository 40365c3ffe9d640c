"""The places that serve a service and the links between their regions."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

Array = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class Place:
    """A place that serves traffic, with its capacity for one service in requests a second."""

    name: str
    failure_domain: str
    region: str
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class DirectedLink:
    """The rate limit and the one-way delay of traffic from one region to another."""

    source: str
    sink: str
    mbit_per_s: float
    delay_ms: float


class Topology:
    """Places with their failure domains, regions and links.

    The index of a place is its position in the given sequence.
    """

    __slots__ = (
        "domain_of_place",
        "domains",
        "links",
        "places",
        "region_of_domain",
        "region_of_place",
        "regions",
    )

    def __init__(self, places: Sequence[Place], links: Sequence[DirectedLink]) -> None:
        self.places = tuple(places)
        self.links = tuple(links)
        self.regions = tuple(dict.fromkeys(place.region for place in places))
        self.domains = tuple(dict.fromkeys(place.failure_domain for place in places))
        region_by_domain = {place.failure_domain: place.region for place in places}
        self.domain_of_place = np.array(
            [self.domains.index(place.failure_domain) for place in places], np.int64
        )
        self.region_of_place = np.array(
            [self.regions.index(place.region) for place in places], np.int64
        )
        self.region_of_domain = np.array(
            [self.regions.index(region_by_domain[name]) for name in self.domains], np.int64
        )

    @property
    def place_names(self) -> tuple[str, ...]:
        """Return the names of the places, by place index."""
        return tuple(place.name for place in self.places)

    def capacities(self) -> Array:
        """Return the capacity of each place in requests a second."""
        return np.array([place.requests_per_s for place in self.places])

    def by_domain(self, values: Array) -> Array:
        """Sum up values by place for each failure domain."""
        sums: Array = np.bincount(self.domain_of_place, values, len(self.domains)).astype(float)
        return sums

    def by_region(self, values: Array) -> Array:
        """Sum up values by place for each region."""
        sums: Array = np.bincount(self.region_of_place, values, len(self.regions)).astype(float)
        return sums

    def link_limits(self) -> Array:
        """Return link limits in Mbit/s by source and sink region.

        The limit is 0 where there is no link, and infinite within a region.
        """
        limits = np.zeros((len(self.regions), len(self.regions)))
        for link in self.links:
            limits[self.regions.index(link.source), self.regions.index(link.sink)] = link.mbit_per_s
        np.fill_diagonal(limits, np.inf)
        return limits

    def delays_ms(self) -> Array:
        """Return one-way delays by source and sink region; the delay within a region is 0."""
        delays = np.zeros((len(self.regions), len(self.regions)))
        for link in self.links:
            delays[self.regions.index(link.source), self.regions.index(link.sink)] = link.delay_ms
        return delays

    def with_capacities(self, requests_per_s: Mapping[str, float]) -> "Topology":
        """Return the topology with the capacities of the named places replaced."""
        places = [
            Place(p.name, p.failure_domain, p.region, requests_per_s.get(p.name, p.requests_per_s))
            for p in self.places
        ]
        return Topology(places, self.links)

    def places_within(self, name: str) -> tuple[int, ...]:
        """Return the indexes of the places with that name, failure domain or region."""
        return tuple(
            index
            for index, place in enumerate(self.places)
            if name in (place.name, place.failure_domain, place.region)
        )
