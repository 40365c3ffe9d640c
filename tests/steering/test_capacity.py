"""Test the capacity solver against independent evaluations of its result."""

import itertools
import random

import numpy as np
import pytest

from bench._steering_fleet import Fleet, FleetSize, generate_fleet
from chervilmill.steering import (
    CapacityProblem,
    CapacitySolution,
    Pin,
    ShareMap,
    after_loss,
    solve_capacity,
)
from chervilmill.steering._loads import link_loads, loads_by_region_and_place
from chervilmill.steering._share_map_builder import build_share_map
from chervilmill.steering._shares import place_changes
from chervilmill.steering._simplex import LinearProgram

SIZE = FleetSize(places=20, domains=6, regions=3)
LINKS_MBIT_PER_S = {"wide": 4_000.0, "thin": 30.0, "none": 0.0}
KBIT = 20
UTILISATIONS = (0.3, 0.6, 0.85, 0.99)
CASES = [(u, link, seed) for u in UTILISATIONS for link in LINKS_MBIT_PER_S for seed in range(3)]


def problem(
    fleet: Fleet, base: ShareMap, closed: tuple[int, ...] = (), headroom_share: float = 1.0, pins=()
) -> CapacityProblem:
    topology = fleet.topology
    retainable_load = loads_by_region_and_place(topology, base, fleet.demand)
    retainable_load[:, closed] = 0
    capacities = topology.capacities()
    capacities[list(closed)] = 0
    return CapacityProblem(
        topology,
        topology.by_region(fleet.demand),
        np.array([topology.by_domain(row) for row in retainable_load]),
        topology.by_domain(capacities),
        topology.link_limits() * 1000 / KBIT,
        tuple(pins),
        headroom_share,
    )


def solve_and_build(
    fleet: Fleet, base: ShareMap, closed: tuple[int, ...] = (), headroom_share: float = 1.0
) -> tuple[CapacitySolution, ShareMap]:
    solution = solve_capacity(problem(fleet, base, closed, headroom_share))
    goal = build_share_map(
        fleet.topology, base, fleet.demand, solution.loads, solution.max_level, frozenset(closed)
    )
    return solution, goal


def worst_utilisation(fleet: Fleet, goal: ShareMap) -> float:
    topology = fleet.topology
    own = loads_by_region_and_place(topology, goal, fleet.demand)
    slack = (topology.link_limits() - link_loads(topology, own, KBIT)) * 1000 / KBIT
    loads = own.sum(axis=0)
    return max(
        after_loss(topology, loads, slack, name, topology.places_within(name)).utilisation
        for name in topology.domains
    )


def moved_load(fleet: Fleet, base: ShareMap, goal: ShareMap) -> float:
    return sum(fleet.demand[c.home] * (c.high - c.low) / 2**32 for c in place_changes(base, goal))


@pytest.mark.parametrize(("utilisation", "link", "seed"), CASES)
def test_limits_hold_and_the_level_is_what_an_evaluation_finds(
    utilisation: float, link: str, seed: int
) -> None:
    fleet = generate_fleet(seed, SIZE, utilisation, LINKS_MBIT_PER_S[link])
    base = ShareMap.identity(SIZE.places)
    solution, goal = solve_and_build(fleet, base)
    topology = fleet.topology
    own = loads_by_region_and_place(topology, goal, fleet.demand)
    if solution.unserved.sum() > 0:
        assert link != "wide"
        return
    assert np.all(own.sum(axis=0) <= topology.capacities() * (1 + 1e-6))
    assert np.all(link_loads(topology, own, KBIT) <= topology.link_limits() * (1 + 1e-6) + 1e-6)
    assert worst_utilisation(fleet, goal) == pytest.approx(min(1, solution.max_level), abs=1e-5)


@pytest.mark.parametrize(("utilisation", "link", "seed"), CASES)
def test_recomputation_without_change_moves_nothing(
    utilisation: float, link: str, seed: int
) -> None:
    fleet = generate_fleet(seed, SIZE, utilisation, LINKS_MBIT_PER_S[link])
    _, once = solve_and_build(fleet, ShareMap.identity(SIZE.places))
    _, twice = solve_and_build(fleet, once)
    assert moved_load(fleet, once, twice) <= 1e-6 * fleet.demand.sum()


@pytest.mark.parametrize("headroom_share", [0.3, 1.0])
@pytest.mark.parametrize("lost", range(0, 20, 3))
def test_loss_of_a_place_moves_few_blocks_besides_its_own(lost: int, headroom_share: float) -> None:
    fleet = generate_fleet(lost, SIZE, 0.6, LINKS_MBIT_PER_S["wide"])
    _, before = solve_and_build(
        fleet, ShareMap.identity(SIZE.places), headroom_share=headroom_share
    )
    own = loads_by_region_and_place(fleet.topology, before, fleet.demand).sum(axis=0)[lost]
    _, after = solve_and_build(fleet, before, (lost,), headroom_share)
    assert after.shares(SIZE.places)[:, lost].sum() == 0
    assert own <= moved_load(fleet, before, after) * (1 + 1e-6) <= 1.1 * own


def test_no_division_of_demand_on_a_grid_has_more_headroom() -> None:
    """Compare with every division of the demand of two regions in steps of one twenty-fifth."""
    size = FleetSize(places=4, domains=4, regions=2)
    for seed in range(3):
        fleet = generate_fleet(seed, size, 0.55, 60.0)
        solution = solve_capacity(problem(fleet, ShareMap.identity(4)))
        demand = fleet.topology.by_region(fleet.demand)
        limits = fleet.topology.link_limits() * 1000 / KBIT
        best = np.inf
        for share_moved_1, share_moved_2 in itertools.product(np.linspace(0, 1, 26), repeat=2):
            crossing = np.array([[0, demand[0] * share_moved_1], [demand[1] * share_moved_2, 0]])
            if np.any(crossing > limits):
                continue
            loads = demand - crossing.sum(axis=1) + crossing.sum(axis=0)
            best = min(best, _worst_level(fleet, loads, limits - crossing))
        assert solution.lowest_level <= best + 1e-6


def _worst_level(fleet: Fleet, region_loads: np.ndarray, slack: np.ndarray) -> float:
    topology = fleet.topology
    capacities = topology.capacities()
    shares = capacities / topology.by_region(capacities)[topology.region_of_place]
    loads = region_loads[topology.region_of_place] * shares
    if np.any(loads > capacities):
        return np.inf
    outcomes = [
        after_loss(topology, loads, slack, name, topology.places_within(name))
        for name in topology.domains
    ]
    return np.inf if any(o.refused > 0 for o in outcomes) else max(o.utilisation for o in outcomes)


def test_too_little_capacity_is_said_and_no_place_is_over_its_limit() -> None:
    fleet = generate_fleet(1, SIZE, 1.2, LINKS_MBIT_PER_S["wide"])
    solution = solve_capacity(problem(fleet, ShareMap.identity(SIZE.places)))
    assert solution.unserved.sum() == pytest.approx(fleet.demand.sum() / 6, rel=1e-6)
    capacities = fleet.topology.by_domain(fleet.topology.capacities())
    assert np.all(solution.loads.sum(axis=0) <= capacities * (1 + 1e-9))


def test_pins_are_met_or_their_shortfall_is_reported() -> None:
    fleet = generate_fleet(2, SIZE, 0.5, LINKS_MBIT_PER_S["wide"])
    base = ShareMap.identity(SIZE.places)
    possible = solve_capacity(problem(fleet, base, pins=[Pin("domain-1", (1,), 0.2)]))
    assert possible.pin_deviations == (0.0,)
    assert possible.loads[:, 1].sum() == pytest.approx(0.2 * fleet.demand.sum())
    too_much = solve_capacity(problem(fleet, base, pins=[Pin("domain-1", (1,), 0.9)]))
    capacity = fleet.topology.by_domain(fleet.topology.capacities())[1]
    assert too_much.pin_deviations[0] == pytest.approx(0.9 * fleet.demand.sum() - capacity)


def test_simplex_agrees_with_an_enumeration_of_vertices() -> None:
    rng = random.Random(4)
    for _ in range(60):
        rows = [(rng.uniform(0.1, 1), rng.uniform(0.1, 1), rng.uniform(1, 5)) for _ in range(5)]
        costs = (rng.uniform(-2, 1), rng.uniform(-2, 1))
        program = LinearProgram()
        x, y = program.variables(2)
        for a, b, limit in rows:
            program.at_most({x: a, y: b}, limit)
        values = program.minimise([{x: costs[0], y: costs[1]}])
        found = costs[0] * values[x] + costs[1] * values[y]
        lines = [*rows, (1.0, 0.0, 0.0), (0.0, 1.0, 0.0)]
        vertices = [_intersection(p, q) for p, q in itertools.combinations(lines, 2)]
        allowed = [
            c
            for c in vertices
            if c is not None
            and min(c) >= -1e-9
            and all(a * c[0] + b * c[1] <= limit + 1e-9 for a, b, limit in rows)
        ]
        assert found == pytest.approx(min(costs[0] * c[0] + costs[1] * c[1] for c in allowed))


def _intersection(p: tuple[float, ...], q: tuple[float, ...]) -> tuple[float, float] | None:
    determinant = p[0] * q[1] - p[1] * q[0]
    if abs(determinant) < 1e-12:
        return None
    return (
        (p[2] * q[1] - p[1] * q[2]) / determinant,
        (p[0] * q[2] - p[2] * q[0]) / determinant,
    )
