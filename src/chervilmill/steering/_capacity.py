"""Solve for the load of each failure domain.

Two linear programs: the first finds the least utilisation that can be kept when any one failure
domain is lost, the second moves as few blocks as possible while keeping the part of that headroom
that the objective asks for, and then keeps as much more as these moves allow. Both work on home
regions and failure domains; `_realise` cuts the result down to places and blocks.
"""

from dataclasses import dataclass

import numpy as np

from chervilmill.steering._simplex import Program
from chervilmill.steering._topology import Array, Topology

REMOTE_WEIGHT = 0.1
SLACK = 1e-7
FULL = 1.0


@dataclass(frozen=True, slots=True)
class Pin:
    """Ask for a share of all load, from 0 to 1, on some failure domains."""

    name: str
    domains: tuple[int, ...]
    share: float


@dataclass(frozen=True, slots=True)
class CapacityProblem:
    """State what is to be placed, in requests a second.

    `demand` is by home region, `keepable` is the present load by home region and failure domain
    that may stay where it is, `capacities` is by failure domain, and `link_limits` is by source
    and sink region. `headroom_part` is the part of the greatest headroom, 0 to 1, to be kept.
    """

    topology: Topology
    demand: Array
    keepable: Array
    capacities: Array
    link_limits: Array
    pins: tuple[Pin, ...]
    headroom_part: float


@dataclass(frozen=True, slots=True)
class CapacitySolution:
    """Give loads by home region and failure domain, and what could not be met.

    `shed` is by home region. `best_level` is the least utilisation that can be kept with any one
    failure domain lost, `level` the most that this solution may come to. `unmet` is the load by
    which each pin is missed.
    """

    loads: Array
    shed: Array
    best_level: float
    level: float
    unmet: tuple[float, ...]


def solve(problem: CapacityProblem) -> CapacitySolution:
    """Return the loads with the greatest headroom asked for and the fewest blocks moved."""
    total = float(problem.demand.sum())
    if total <= 0:
        empty = np.zeros_like(problem.keepable)
        return CapacitySolution(empty, np.zeros_like(problem.demand), 0.0, 0.0, ())
    best_level = _Model(problem, total, None).best_level()
    headroom = max(0.0, FULL - best_level)
    level = best_level + headroom * (1 - problem.headroom_part) + SLACK
    return _Model(problem, total, level).solution(best_level, level)


class _Model:
    """Build and solve one program; loads are fractions of the whole demand.

    The level is a variable, which `most_level` may bound.
    """

    def __init__(self, problem: CapacityProblem, total: float, most_level: float | None) -> None:
        self._problem = problem
        self._total = total
        self._topology = problem.topology
        self._capacities = problem.capacities / total
        self._links = problem.link_limits / total
        self._program = Program()
        self._t, self._fullest = self._program.variables(2)
        if most_level is not None:
            self._program.at_most({self._t: 1.0}, most_level)
        regions, domains = len(self._topology.regions), len(self._topology.domains)
        self._x = [self._program.variables(domains) for _ in range(regions)]
        self._shed = self._program.variables(regions)
        self._short: list[int] = []
        self._excess: list[int] = []
        self._moved: dict[int, float] = {}
        self._require_demand()
        self._require_limits()
        self._require_pins()
        for lost in range(domains):
            self._require_survival(lost)

    def best_level(self) -> float:
        """Return the least level that can be kept."""
        values = self._program.minimise([self._unserved(), self._missed(), {self._t: 1.0}])
        return float(values[self._t])

    def solution(self, best_level: float, most_level: float) -> CapacitySolution:
        """Return the solution that moves the fewest blocks, and of these the one with most room."""
        self._count_moves()
        values = self._program.minimise(
            [
                self._unserved(),
                self._missed(),
                self._moved,
                {self._t: 1.0},
                {self._fullest: 1.0},
            ]
        )
        loads = np.array([[values[index] for index in row] for row in self._x]) * self._total
        shed = np.array([values[index] for index in self._shed]) * self._total
        unmet = [
            float(values[short] + values[excess]) * self._total
            for short, excess in zip(self._short, self._excess, strict=True)
        ]
        return CapacitySolution(loads, shed, best_level, most_level, tuple(unmet))

    def _require_demand(self) -> None:
        for region, row in enumerate(self._x):
            value = float(self._problem.demand[region]) / self._total
            self._program.equal(dict.fromkeys(row, 1.0), value, self._shed[region])

    def _require_limits(self) -> None:
        for domain, capacity in enumerate(self._capacities):
            load = {row[domain]: 1.0 for row in self._x}
            self._program.at_most(load, float(capacity))
            self._program.at_most({**load, self._fullest: -float(capacity)}, 0.0)
            self._at_most_level(load, float(capacity))
        for source in range(len(self._x)):
            for sink in range(len(self._x)):
                limit = float(self._links[source, sink])
                if source != sink and np.isfinite(limit):
                    self._program.at_most(self._crossing(source, sink), max(0.0, limit))

    def _require_pins(self) -> None:
        for pin in self._problem.pins:
            short, excess = self._program.variables(2)
            terms = {row[domain]: 1.0 for row in self._x for domain in pin.domains}
            terms[excess] = -1.0
            self._program.equal(terms, pin.share, short)
            self._short.append(short)
            self._excess.append(excess)

    def _require_survival(self, lost: int) -> None:
        """Let the load of a lost domain go to its region or over links to others."""
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
            limit = float(self._links[home, other])
            if np.isfinite(limit):
                terms = {**self._crossing(home, other), outflow: 1.0}
                self._program.at_most(terms, max(0.0, limit))

    def _count_moves(self) -> None:
        delays = self._topology.delays_ms()
        furthest = max(1.0, float(delays.max()))
        for region, row in enumerate(self._x):
            for domain, index in enumerate(row):
                kept = float(self._problem.keepable[region, domain]) / self._total
                if kept > 0:
                    moved = self._program.variable()
                    self._program.at_least({index: 1.0}, kept, moved)
                    self._moved[moved] = 1.0
                delay = delays[region, self._topology.region_of_domain[domain]]
                if delay > 0:
                    self._moved[index] = REMOTE_WEIGHT * float(delay) / furthest

    def _unserved(self) -> dict[int, float]:
        return dict.fromkeys(self._shed, 1.0)

    def _missed(self) -> dict[int, float]:
        return dict.fromkeys((*self._short, *self._excess), 1.0)

    def _at_most_level(self, load: dict[int, float], capacity: float) -> None:
        self._program.at_most({**load, self._t: -capacity}, 0.0)

    def _region_load(self, region: int) -> dict[int, float]:
        domains = np.flatnonzero(self._topology.region_of_domain == region)
        return {row[domain]: 1.0 for row in self._x for domain in domains}

    def _region_capacity(self, region: int) -> float:
        return float(self._capacities[self._topology.region_of_domain == region].sum())

    def _crossing(self, source: int, sink: int) -> dict[int, float]:
        domains = np.flatnonzero(self._topology.region_of_domain == sink)
        return {self._x[source][domain]: 1.0 for domain in domains}
