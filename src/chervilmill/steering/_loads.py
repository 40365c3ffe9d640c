"""Compute the loads of places and links under a share map."""

import numpy as np

from chervilmill.steering._shares import ShareMap
from chervilmill.steering._topology import Array, Topology

KBIT_PER_MBIT = 1000


def loads_by_region_and_place(topology: Topology, shares: ShareMap, demand: Array) -> Array:
    """Return the load in requests a second by home region and place; `demand` is by home place."""
    by_home = shares.shares(len(topology.places)) * demand[:, None]
    by_region = np.zeros((len(topology.regions), len(topology.places)))
    np.add.at(by_region, topology.region_of_place, by_home)
    return by_region


def link_loads(topology: Topology, loads: Array, kbit_per_request: float) -> Array:
    """Return the link load in Mbit/s by source and sink region; the load within a region is 0."""
    requests_per_s = np.array([topology.by_region(row) for row in loads])
    np.fill_diagonal(requests_per_s, 0.0)
    return requests_per_s * (kbit_per_request / KBIT_PER_MBIT)
