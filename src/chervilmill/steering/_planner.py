"""Compute plans deterministically: equal inputs give plans that are equal byte for byte."""

from collections.abc import Iterator
from dataclasses import replace

import numpy as np

from chervilmill.steering._capacity import CapacityProblem, CapacitySolution, Pin, solve_capacity
from chervilmill.steering._hashing import hash_seed
from chervilmill.steering._loads import KBIT_PER_MBIT, link_loads, loads_by_region_and_place
from chervilmill.steering._plan import (
    Plan,
    PlanRefusal,
    PlanStep,
    RefusalCause,
    RefusedLoad,
    UndoShare,
)
from chervilmill.steering._plan_input import PlanInput
from chervilmill.steering._priorities import link_concessions, round_share_down
from chervilmill.steering._projection import Projection
from chervilmill.steering._share_map_builder import build_share_map
from chervilmill.steering._shares import place_changes
from chervilmill.steering._steps import ShiftStep, block_cap, shift_steps
from chervilmill.steering._topology import Array

PERCENT = 100
LOAD_TOLERANCE = 1e-3
SHIFT_START = ShiftStep(0, 0)


def compute_plan(plan_input: PlanInput) -> Plan:
    """Return the plan for an intent, with any reasons for which it may not be confirmed."""
    solution, plan_input = _solve(plan_input)
    goal = build_share_map(
        plan_input.topology,
        plan_input.base,
        plan_input.demand,
        solution.loads,
        solution.max_level,
        _closed_places(plan_input),
    )
    cap = block_cap(plan_input.blocks.known_count, plan_input.percent_per_min)
    seed = hash_seed(plan_input.service.name)
    steps = shift_steps(plan_input.blocks, seed, place_changes(plan_input.base, goal), cap)
    served_demand = _served_demand(plan_input, solution)
    kbit = plan_input.service.kbit_per_request
    concessions = link_concessions(
        plan_input,
        link_loads(
            plan_input.topology,
            loads_by_region_and_place(plan_input.topology, goal, served_demand),
            kbit,
        ),
    )
    projection = Projection(plan_input, goal, served_demand, concessions)
    before = Projection(plan_input, plan_input.base, plan_input.demand).step(0, SHIFT_START)
    projected_steps = tuple(projection.step(number, step) for number, step in enumerate(steps, 1))
    refusals = [
        *_refusals_of_solution(plan_input, solution),
        *_refusals_of_steps(plan_input, before, projected_steps),
    ]
    if steps and cap.blocks_per_min < max(_step_sizes(steps)):
        detail = f"{cap.blocks_per_min} blocks a minute is less than the smallest step"
        refusals.append(PlanRefusal(RefusalCause.CAP_TOO_SMALL, detail))
    return Plan(
        intent=plan_input.stated_intent.intent.name,
        service=plan_input.service.name,
        revision=plan_input.revision,
        is_emergency=plan_input.stated_intent.intent.is_emergency,
        block_count=plan_input.blocks.known_count,
        cap=cap,
        before=before,
        steps=projected_steps,
        best_headroom=round(max(0.0, 1 - solution.lowest_level), 3),
        refused=_refused_loads(plan_input, solution),
        link_concessions=concessions,
        refusals=tuple(refusals),
        undo=_undo_shares(plan_input),
        base=plan_input.base,
        goal=goal,
        shift_steps=steps,
    )


def _solve(plan_input: PlanInput) -> tuple[CapacitySolution, PlanInput]:
    """Return a solution and the input that it was computed for.

    Services of lower priority yield only in an emergency, and only if more requests are served
    that way. In every other case the returned input has no service that may yield.
    """
    solution = solve_capacity(_capacity_problem(plan_input, plan_input))
    without_concessions = replace(
        plan_input, others=tuple(replace(o, is_shifting=True) for o in plan_input.others)
    )
    if (
        not plan_input.stated_intent.intent.is_emergency
        or solution.unserved.sum() <= LOAD_TOLERANCE
    ):
        return solution, without_concessions
    with_concessions = solve_capacity(
        _capacity_problem(
            plan_input, plan_input.without_services(plan_input.services_that_may_yield)
        )
    )
    if with_concessions.unserved.sum() >= solution.unserved.sum() - LOAD_TOLERANCE:
        return solution, without_concessions
    return with_concessions, plan_input


def _capacity_problem(plan_input: PlanInput, link_input: PlanInput) -> CapacityProblem:
    topology = plan_input.topology
    closed = list(_closed_places(plan_input))
    present = loads_by_region_and_place(topology, plan_input.base, plan_input.demand)
    retainable_load = present.copy()
    retainable_load[:, closed] = 0.0
    capacities = topology.capacities()
    capacities[closed] = 0.0
    return CapacityProblem(
        topology=topology,
        demand=topology.by_region(plan_input.demand),
        retainable_load=np.array([topology.by_domain(row) for row in retainable_load]),
        capacities=topology.by_domain(capacities),
        link_limits=_link_limits(link_input, present),
        pins=tuple(_pins(plan_input)),
        headroom_share=plan_input.headroom_share,
    )


def _closed_places(plan_input: PlanInput) -> frozenset[int]:
    """Return the indexes of the places that leave, are lost or have no capacity."""
    intent = plan_input.stated_intent.intent
    names = (*intent.leaving, *intent.lost)
    named = (index for name in names for index in plan_input.topology.places_within(name))
    empty = (
        index for index, place in enumerate(plan_input.topology.places) if place.requests_per_s <= 0
    )
    return frozenset((*named, *empty))


def _link_limits(plan_input: PlanInput, present: Array) -> Array:
    """Return how much the service may send over each link, in requests a second.

    A link is limited both by the load of other services and by the cap of the intent on added load.
    """
    kbit = plan_input.service.kbit_per_request
    free = plan_input.topology.link_limits() - plan_input.other_link_mbit
    capped = (
        link_loads(plan_input.topology, present, kbit)
        + plan_input.stated_intent.intent.cap.mbit_per_s
    )
    return np.maximum(np.minimum(free, capped), 0.0) * (KBIT_PER_MBIT / kbit)


def _pins(plan_input: PlanInput) -> Iterator[Pin]:
    topology = plan_input.topology
    for share in plan_input.stated_intent.intent.shares:
        places = topology.places_within(share.place)
        domains = sorted({int(topology.domain_of_place[place]) for place in places})
        yield Pin(share.place, tuple(domains), share.percent / PERCENT)


def _refusals_of_solution(
    plan_input: PlanInput, solution: CapacitySolution
) -> Iterator[PlanRefusal]:
    intent = plan_input.stated_intent.intent
    if plan_input.is_shifting and not intent.is_emergency:
        detail = f"a shift of {plan_input.service.name} is being carried out"
        yield PlanRefusal(RefusalCause.SHIFT_IN_PROGRESS, detail)
    unserved = float(solution.unserved.sum())
    if unserved > LOAD_TOLERANCE and not intent.is_emergency:
        detail = f"{unserved:.1f} requests/s find no place or link within its limit"
        yield PlanRefusal(RefusalCause.NOT_ENOUGH_CAPACITY, detail)
    for share, deviation in zip(intent.shares, solution.pin_deviations, strict=False):
        if deviation > LOAD_TOLERANCE:
            detail = f"{share.percent} % on {share.place} is missed by {deviation:.1f} requests/s"
            yield PlanRefusal(RefusalCause.SHARE_NOT_POSSIBLE, detail)


def _refusals_of_steps(
    plan_input: PlanInput, before: PlanStep, steps: tuple[PlanStep, ...]
) -> Iterator[PlanRefusal]:
    """Yield a refusal for each place or link that the shift would overload.

    A load that exceeds its limit before the shift may stay, but not grow. Except in an emergency,
    the loss of a failure domain after the shift may also not refuse more than before.
    """
    for index, place in enumerate(before.places):
        highest = max((step.places[index].requests_per_s for step in steps), default=0.0)
        allowed = max(place.limit_requests_per_s, place.requests_per_s)
        if highest > allowed + LOAD_TOLERANCE:
            detail = f"{place.place} would take {highest:.1f} of {allowed:.1f} requests/s"
            yield PlanRefusal(RefusalCause.PLACE_OVERLOADED, detail)
    for index, link in enumerate(before.links):
        highest = max((step.links[index].mbit_per_s for step in steps), default=0.0)
        allowed = max(link.limit_mbit_per_s, link.mbit_per_s)
        if highest > allowed + LOAD_TOLERANCE:
            detail = (
                f"{link.source} to {link.sink} would take {highest:.1f} of {allowed:.1f} Mbit/s"
            )
            yield PlanRefusal(RefusalCause.LINK_OVERLOADED, detail)
    if not steps or plan_input.stated_intent.intent.is_emergency:
        return
    worst = steps[-1].worst_domain_loss
    if (
        worst.refused_requests_per_s
        > before.worst_domain_loss.refused_requests_per_s + LOAD_TOLERANCE
    ):
        detail = f"without {worst.lost}, {worst.refused_requests_per_s:.1f} requests/s are refused"
        yield PlanRefusal(RefusalCause.DOMAIN_LOSS_NOT_SURVIVED, detail)


def _served_demand(plan_input: PlanInput, solution: CapacitySolution) -> Array:
    """Return the demand by home place that the solution serves."""
    demand = plan_input.topology.by_region(plan_input.demand)
    served_shares = 1 - np.divide(
        solution.unserved, demand, out=np.zeros_like(demand), where=demand > 0
    )
    served: Array = plan_input.demand * served_shares[plan_input.topology.region_of_place]
    return served


def _refused_loads(plan_input: PlanInput, solution: CapacitySolution) -> tuple[RefusedLoad, ...]:
    demand = plan_input.topology.by_region(plan_input.demand)
    return tuple(
        RefusedLoad(
            region, round(float(unserved), 3), round_share_down(1 - float(unserved / wanted))
        )
        for region, unserved, wanted in zip(
            plan_input.topology.regions, solution.unserved, demand, strict=True
        )
        if unserved > LOAD_TOLERANCE
    )


def _undo_shares(plan_input: PlanInput) -> tuple[UndoShare, ...]:
    loads = loads_by_region_and_place(plan_input.topology, plan_input.base, plan_input.demand).sum(
        axis=0
    )
    total = loads.sum()
    return tuple(
        UndoShare(place.name, round(float(load / total) * PERCENT, 2))
        for place, load in zip(plan_input.topology.places, loads, strict=True)
        if load > 0
    )


def _step_sizes(steps: tuple[ShiftStep, ...]) -> Iterator[int]:
    before = 0
    for step in steps:
        yield step.blocks - before
        before = step.blocks
