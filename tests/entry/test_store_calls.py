"""Test how many calls a fleet makes to the platform's store."""

import pytest

from tests.entry.store_fleet import FleetCase, StoreFault, StoreFleet
from tests.virtual_time import run_virtually

START_S = 4.0
READS_PER_S = 4.0  # linearizable, of the whole fleet, whatever its size
NEVER = (50.0,)


# All entry VMs read the store twice before the first of them had heard another.
@pytest.mark.parametrize("vms", [1, 12, 63, 195])
def test_fleet_that_starts_at_once_lists_the_store_once(
    monkeypatch: pytest.MonkeyPatch, vms: int
) -> None:
    fleet = StoreFleet(FleetCase(vms, StoreFault(), NEVER, registered_s=0.9), 0)
    run_virtually(fleet.run(monkeypatch, START_S))
    assert fleet.store.linearizable_reads <= vms + READS_PER_S * START_S
