"""Estimate how many requests other entry VMs have at the targets of a group."""

import math

OTHERS_PER_SLOT_WEIGHT = 0.1  # a memory of ten reports, under a second at a busy entry VM
OTHERS_PER_SLOT_HALF_LIFE_S = 1.0  # without further reports


class OthersPerSlot:
    """The average number of other VMs' requests for each slot, by group of targets.

    The average decays without reports. Otherwise, a VM that refuses every request would never learn
    that the targets have free slots again.
    """

    __slots__ = ("_mean_by_group",)

    def __init__(self) -> None:
        self._mean_by_group: dict[str, tuple[float, float]] = {}

    def record(self, group: str, others: float, now_s: float) -> None:
        """Update the average with what one target of a group reported."""
        previous = self.mean(group, now_s) if group in self._mean_by_group else others
        mean = previous + OTHERS_PER_SLOT_WEIGHT * (others - previous)
        self._mean_by_group[group] = (mean, now_s)

    def mean(self, group: str, now_s: float) -> float:
        """Return the average of a group, 0 without reports."""
        mean, at_s = self._mean_by_group.get(group, (0.0, now_s))
        return mean * math.exp2(-(now_s - at_s) / OTHERS_PER_SLOT_HALF_LIFE_S)
