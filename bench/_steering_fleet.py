"""Generate seeded topologies, demands and block tables of any size."""

import random
from dataclasses import dataclass

import numpy as np

from chervilmill.steering import BlockTable, DirectedLink, Place, Topology
from chervilmill.steering._topology import Array

MIN_PLACE_REQUESTS_PER_S = 500.0
MAX_PLACE_REQUESTS_PER_S = 1500.0


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of places, failure domains, regions and blocks of a generated fleet."""

    places: int = 150
    domains: int = 18
    regions: int = 6
    blocks: int = 3_400_000


@dataclass(frozen=True, slots=True)
class Fleet:
    """A generated topology and its demand by home place, in requests per second."""

    topology: Topology
    demand: Array


def generate_fleet(seed: int, size: FleetSize, utilisation: float, link_mbit_per_s: float) -> Fleet:
    """Return a fleet whose total demand is the `utilisation` share of its total capacity."""
    rng = random.Random(seed)
    places = []
    for index in range(size.places):
        domain = index % size.domains
        capacity = rng.uniform(MIN_PLACE_REQUESTS_PER_S, MAX_PLACE_REQUESTS_PER_S)
        region = f"region-{domain % size.regions}"
        places.append(Place(f"site-{index}", f"domain-{domain}", region, capacity))
    regions = range(size.regions)
    links = [
        DirectedLink(
            f"region-{source}",
            f"region-{destination}",
            link_mbit_per_s,
            20.0 + 10 * abs(source - destination),
        )
        for source in regions
        for destination in regions
        if source != destination
    ]
    topology = Topology(places, links)
    weights = np.array([rng.uniform(0.5, 1.5) for _ in places])
    demand = weights * (topology.capacities().sum() * utilisation / weights.sum())
    return Fleet(topology, demand)


def block_table(seed: int, size: FleetSize) -> BlockTable:
    """Return a table of blocks at random starts with random homes."""
    rng = np.random.default_rng(seed)
    step = 2**32 // size.blocks
    starts = np.arange(size.blocks, dtype=np.uint32)
    starts *= np.uint32(step)
    starts += rng.integers(0, max(1, step // 2), size.blocks, dtype=np.uint32)
    homes = rng.integers(0, size.places, size.blocks, dtype=np.uint8)
    return BlockTable(starts, homes)
