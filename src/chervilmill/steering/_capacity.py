"""Compute the load of each failure domain by solving two linear programs.

The first program finds the lowest utilisation that can be kept when any one failure domain is
lost. The second program moves as few blocks as possible while keeping the share of that headroom
that the objective asks for. Among the solutions with the fewest moves, the second program picks
one with the most headroom. Both programs work on home regions and failure domains;
`_share_map_builder` turns the result into a map of places and blocks.
"""

from dataclasses import dataclass

import numpy as np

from chervilmill.steering._simplex import LinearProgram
from chervilmill.steering._topology import Array, Topology

# The cost of load in the most distant region, where moving the same load costs 1.
REMOTE_LOAD_COST = 0.1
LEVEL_TOLERANCE = 1e-7
FULL = 1.0


@dataclass(frozen=True, slots=True)
class Pin:
    """A requested share of all load, from 0 to 1, for a set of failure domains."""

    name: str
    domains: tuple[int, ...]
    share: float


@dataclass(frozen=True, slots=True)
class CapacityProblem:
    """The load to be placed and the limits that apply, in requests a second.

    `demand` is by home region. `retainable_load` is the present load, by home region and failure
    domain, that may stay in place. `capacities` is by failure domain, and `link_limits` is by
    source and sink region. `headroom_share` is the share, from 0 to 1, of the greatest possible
    headroom that the solution has to keep.
    """

    topology: Topology
    demand: Array
    retainable_load: Array
    capacities: Array
    link_limits: Array
    pins: tuple[Pin, ...]
    headroom_share: float


@dataclass(frozen=True, slots=True)
class CapacitySolution:
    """The loads by home region and failure domain, and the demand and pins that are not met.

    `unserved` is the demand that is not served, by home region. `lowest_level` is the lowest
    utilisation that can be kept with any one failure domain lost. `max_level` is the highest
    utilisation that this solution may reach in that case. `pin_deviations` is the load by which
    each pin is missed.
    """

    loads: Array
    unserved: Array
    lowest_level: float
    max_level: float
    pin_deviations: tuple[float, ...]


def solve_capacity(problem: CapacityProblem) -> CapacitySolution:
    """Return the loads that keep the requested headroom and move the fewest blocks."""
    total = float(problem.demand.sum())
    if total <= 0:
        empty = np.zeros_like(problem.retainable_load)
        return CapacitySolution(empty, np.zeros_like(problem.demand), 0.0, 0.0, ())
    lowest_level = _CapacityProgram(problem, total, None).lowest_level()
    headroom = max(0.0, FULL - lowest_level)
    max_level = lowest_level + headroom * (1 - problem.headroom_share) + LEVEL_TOLERANCE
    return _CapacityProgram(problem, total, max_level).solution(lowest_level, max_level)


class _CapacityProgram:
    """One linear program over the loads of failure domains, as fractions of the whole demand.

    The utilisation level after a loss is a variable of the program; `max_level` bounds the level
    unless it is None.
    """

    def __init__(self, problem: CapacityProblem, total: float, max_level: float | None) -> None:
        self._problem = problem
        self._total = total
        self._topology = problem.topology
        self._capacities = problem.capacities / total
        self._link_limits = problem.link_limits / total
        self._program = LinearProgram()
        self._level, self._max_utilisation = self._program.variables(2)
        if max_level is not None:
            self._program.at_most({self._level: 1.0}, max_level)
        regions, domains = len(self._topology.regions), len(self._topology.domains)
        self._loads = [self._program.variables(domains) for _ in range(regions)]
        self._unserved = self._program.variables(regions)
        self._pin_shortfalls: list[int] = []
        self._pin_excesses: list[int] = []
        self._move_costs: dict[int, float] = {}
        self._require_demand()
        self._require_limits()
        self._require_pins()
        for lost in range(domains):
            self._require_loss_survived(lost)

    def lowest_level(self) -> float:
        """Return the lowest utilisation level that can be kept."""
        values = self._program.minimise(
            [self._unserved_costs(), self._pin_costs(), {self._level: 1.0}]
        )
        return float(values[self._level])

    def solution(self, lowest_level: float, max_level: float) -> CapacitySolution:
        """Return the solution that moves the fewest blocks, with the most headroom among equals."""
        self._add_move_costs()
        values = self._program.minimise(
            [
                self._unserved_costs(),
                self._pin_costs(),
                self._move_costs,
                {self._level: 1.0},
                {self._max_utilisation: 1.0},
            ]
        )
        loads = np.array([[values[index] for index in row] for row in self._loads]) * self._total
        unserved = np.array([values[index] for index in self._unserved]) * self._total
        pin_deviations = [
            float(values[shortfall] + values[excess]) * self._total
            for shortfall, excess in zip(self._pin_shortfalls, self._pin_excesses, strict=True)
        ]
        return CapacitySolution(loads, unserved, lowest_level, max_level, tuple(pin_deviations))

    def _require_demand(self) -> None:
        for region, row in enumerate(self._loads):
            value = float(self._problem.demand[region]) / self._total
            self._program.equal(dict.fromkeys(row, 1.0), value, self._unserved[region])

    def _require_limits(self) -> None:
        for domain, capacity in enumerate(self._capacities):
            load = {row[domain]: 1.0 for row in self._loads}
            self._program.at_most(load, float(capacity))
            self._program.at_most({**load, self._max_utilisation: -float(capacity)}, 0.0)
            self._at_most_level(load, float(capacity))
        for source in range(len(self._loads)):
            for sink in range(len(self._loads)):
                limit = float(self._link_limits[source, sink])
                if source != sink and np.isfinite(limit):
                    self._program.at_most(self._crossing_load(source, sink), max(0.0, limit))

    def _require_pins(self) -> None:
        for pin in self._problem.pins:
            shortfall, excess = self._program.variables(2)
            terms = {row[domain]: 1.0 for row in self._loads for domain in pin.domains}
            terms[excess] = -1.0
            self._program.equal(terms, pin.share, shortfall)
            self._pin_shortfalls.append(shortfall)
            self._pin_excesses.append(excess)

    def _require_loss_survived(self, lost: int) -> None:
        """Require that a lost domain's load fits into its region and over links into others."""
        home = int(self._topology.region_of_domain[lost])
        regions = range(len(self._topology.regions))
        outflows = {other: self._program.variable() for other in regions if other != home}
        for region in regions:
            load = self._region_load(region)
            capacity = self._region_capacity(region)
            if region == home:
                capacity -= float(self._capacities[lost])
                load |= dict.fromkeys(outflows.values(), -1.0)
            else:
                load[outflows[region]] = 1.0
            self._at_most_level(load, max(0.0, capacity))
        for other, outflow in outflows.items():
            limit = float(self._link_limits[home, other])
            if np.isfinite(limit):
                terms = {**self._crossing_load(home, other), outflow: 1.0}
                self._program.at_most(terms, max(0.0, limit))

    def _add_move_costs(self) -> None:
        delays = self._topology.delays_ms()
        max_delay = max(1.0, float(delays.max()))
        for region, row in enumerate(self._loads):
            for domain, index in enumerate(row):
                kept = float(self._problem.retainable_load[region, domain]) / self._total
                if kept > 0:
                    moved = self._program.variable()
                    self._program.at_least({index: 1.0}, kept, moved)
                    self._move_costs[moved] = 1.0
                delay = delays[region, self._topology.region_of_domain[domain]]
                if delay > 0:
                    self._move_costs[index] = REMOTE_LOAD_COST * float(delay) / max_delay

    def _unserved_costs(self) -> dict[int, float]:
        return dict.fromkeys(self._unserved, 1.0)

    def _pin_costs(self) -> dict[int, float]:
        return dict.fromkeys((*self._pin_shortfalls, *self._pin_excesses), 1.0)

    def _at_most_level(self, load: dict[int, float], capacity: float) -> None:
        self._program.at_most({**load, self._level: -capacity}, 0.0)

    def _region_load(self, region: int) -> dict[int, float]:
        domains = np.flatnonzero(self._topology.region_of_domain == region)
        return {row[domain]: 1.0 for row in self._loads for domain in domains}

    def _region_capacity(self, region: int) -> float:
        return float(self._capacities[self._topology.region_of_domain == region].sum())

    def _crossing_load(self, source: int, sink: int) -> dict[int, float]:
        domains = np.flatnonzero(self._topology.region_of_domain == sink)
        return {self._loads[source][domain]: 1.0 for domain in domains}
