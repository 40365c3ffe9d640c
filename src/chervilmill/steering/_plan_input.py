"""Define the input that a plan is computed from."""

from dataclasses import dataclass, replace

import numpy as np

from chervilmill.settings import Service
from chervilmill.steering._blocks import BlockTable
from chervilmill.steering._intents import VersionedIntent
from chervilmill.steering._shares import ShareMap
from chervilmill.steering._topology import Array, Topology


@dataclass(frozen=True, slots=True)
class OtherService:
    """Another service that shares the links.

    `link_mbit` is the greatest load that the service puts on each link, now or once its shift is
    done, by source and sink region. A service whose shift is under way is not asked to yield.
    """

    name: str
    priority: int
    is_shifting: bool
    link_mbit: Array


@dataclass(frozen=True, slots=True)
class PlanInput:
    """Everything that a plan depends on.

    `topology` contains the limits of places for this service. `demand` is in requests a second by
    home place. `base` is the current map. `revision` is the newest version among the stored
    objects that the plan was computed from.
    """

    stated_intent: VersionedIntent
    service: Service
    topology: Topology
    demand: Array
    base: ShareMap
    is_shifting: bool
    others: tuple[OtherService, ...]
    blocks: BlockTable
    revision: int
    headroom_share: float
    emergency_percent_per_min: int

    @property
    def percent_per_min(self) -> int:
        """Return the percentage of blocks that may move within a minute."""
        intent = self.stated_intent.intent
        if intent.is_emergency:
            return max(self.emergency_percent_per_min, intent.cap.percent_of_blocks_per_min)
        return intent.cap.percent_of_blocks_per_min

    @property
    def other_link_mbit(self) -> Array:
        """Return the load of other services on each link, by source and sink region."""
        regions = len(self.topology.regions)
        total: Array = sum((item.link_mbit for item in self.others), np.zeros((regions, regions)))
        return total

    @property
    def services_that_may_yield(self) -> tuple[OtherService, ...]:
        """Return the services that may have to yield, in descending order of priority."""
        own = self.stated_intent.intent.priority
        lower = [item for item in self.others if item.priority < own and not item.is_shifting]
        return tuple(sorted(lower, key=lambda item: (-item.priority, item.name)))

    def without_services(self, services: tuple[OtherService, ...]) -> "PlanInput":
        """Return the input without the link loads of the given services."""
        names = {item.name for item in services}
        return replace(self, others=tuple(o for o in self.others if o.name not in names))
