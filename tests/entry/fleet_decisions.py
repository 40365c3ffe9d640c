"""Sample what the entry VMs of a modelled fleet decide."""

import math
from dataclasses import dataclass

import pytest

from tests.entry.store_fleet import BOUNDS, FleetCase, FleetVm, StoreFleet
from tests.virtual_time import run_virtually

WAY_TO_TARGET_S = 0.1  # a request that was sent before the news arrives this much later at most
NEWS_S = min(BOUNDS.drain_s, BOUNDS.configuration_propagation_s) - WAY_TO_TARGET_S
WATCHED_S = 6.0
FAULT_S = 5.0


@dataclass(slots=True)
class Decisions:
    """What the VMs of a fleet decide, sampled.

    `old` counts the samples at which a VM acts though it has not learnt of a change in time, and
    `worst_s` is the longest time by which one was late. `refused` counts the samples, of those from
    FAULT_S to `until_s`, at which a VM does not act.
    """

    case: FleetCase
    until_s: float = math.inf
    old: int = 0
    worst_s: float = 0.0
    refused: int = 0
    samples: int = 0

    def sample(self, vm: FleetVm, now_s: float) -> None:
        is_current = vm.currency.is_current(now_s)
        if FAULT_S <= now_s <= self.until_s:
            self.samples += 1
            self.refused += not is_current
        if is_current:
            self._sample_acting(vm, now_s)

    def _sample_acting(self, vm: FleetVm, now_s: float) -> None:
        for name, at_s in self.case.changes().items():
            late_s = now_s - at_s - NEWS_S
            if 0.0 < late_s <= WATCHED_S - NEWS_S and name not in vm.learnt_s:
                self.old += 1
                self.worst_s = max(self.worst_s, late_s)


def run_fleet(
    monkeypatch: pytest.MonkeyPatch, decisions: Decisions, seed: int, until_s: float
) -> StoreFleet:
    fleet = StoreFleet(decisions.case, seed, decisions.sample)
    run_virtually(fleet.run(monkeypatch, until_s))
    return fleet
