"""Decide which services give up link rate to a service of higher priority."""

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from chervilmill.steering._plan_input import OtherService, PlanInput
from chervilmill.steering._topology import Array

LINK_SEPARATOR = ">"
MIN_CONCESSION_MBIT = 1e-6
SHARE_DECIMALS = 4


@dataclass(frozen=True, slots=True)
class LinkConcession:
    """The link rate that one service gives up on one link.

    `admitted` is the share of its requests over the link that is still admitted.
    """

    service: str
    source: str
    sink: str
    admitted: float
    refused_mbit_per_s: float

    @property
    def key(self) -> str:
        """Return the name of the link in the state of a shift."""
        return link_key(self.source, self.sink)


def link_key(source: str, sink: str) -> str:
    """Return the name of a link in one direction."""
    return f"{source}{LINK_SEPARATOR}{sink}"


def link_concessions(plan_input: PlanInput, own_mbit: Array) -> tuple[LinkConcession, ...]:
    """Return what services of lower priority give up so that no link exceeds its limit.

    `own_mbit` is the load of the planned service on each link. Among the other services, a service
    of higher priority keeps its load before a service of lower priority does.
    """
    free = (
        plan_input.topology.link_limits()
        - plan_input.without_services(plan_input.services_that_may_yield).other_link_mbit
        - own_mbit
    )
    result: list[LinkConcession] = []
    for other in plan_input.services_that_may_yield:
        kept = np.minimum(other.link_mbit, np.maximum(free, 0.0))
        result.extend(_concessions_of(plan_input, other, kept))
        free = free - kept
    return tuple(result)


def _concessions_of(
    plan_input: PlanInput, other: OtherService, kept: Array
) -> Iterator[LinkConcession]:
    regions = plan_input.topology.regions
    for source, sink in zip(*np.nonzero(other.link_mbit - kept > MIN_CONCESSION_MBIT), strict=True):
        load, kept_load = float(other.link_mbit[source, sink]), float(kept[source, sink])
        admitted = round_share_down(kept_load / load)
        refused = round(load * (1 - admitted), 3)
        yield LinkConcession(other.name, regions[source], regions[sink], admitted, refused)


def round_share_down(share: float) -> float:
    """Round a share down to SHARE_DECIMALS, so that the admitted load never exceeds a limit."""
    scale = 10**SHARE_DECIMALS
    return float(int(share * scale) / scale)
