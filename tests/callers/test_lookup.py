"""Test which entry VMs a look-up lists, and in which order."""

from collections import Counter

import pytest

from chervilmill.addresses import Address
from chervilmill.callers._lookup import MAX_ENTRIES, Lookups
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.steering import BlockLocation

REGIONS = {"praha": 3, "brno": 2, "ostrava": 1}
PLACES = tuple((f"{region}-{d}", region) for region in REGIONS for d in ("a", "b"))


class FakeSteering:
    """Steering that assigns every caller to the place that a test sets."""

    place_regions = PLACES

    def __init__(self) -> None:
        self.place = 0

    def locate(self, service: str, client_address: str) -> BlockLocation:
        return BlockLocation(self.place, int(client_address.replace(".", "")), 7)


class FakeDirectory:
    """A directory with one to three entry VMs in each failure domain."""

    def __init__(self) -> None:
        self.vms = tuple(
            Vm(
                f"{domain}-{n}",
                VmRole.ENTRY,
                VmState.LIVE,
                "",
                region,
                domain,
                Address("1.1.1.1", 9),
            )
            for domain, region in PLACES
            for n in range(REGIONS[region])
        )

    def entry_vms(self) -> tuple[Vm, ...]:
        return self.vms


@pytest.fixture
def parts():
    directory, steering = FakeDirectory(), FakeSteering()
    now = [0.0]
    return directory, steering, now, Lookups(directory, steering, 5, lambda: now[0])


@pytest.mark.parametrize("place", range(len(PLACES)))
def test_order_begins_in_the_place_and_reaches_other_regions(parts, place: int) -> None:
    _, steering, _, lookups = parts
    steering.place = place
    answer = lookups.answer("souhrny", "10.1.2.3")
    domain, region = PLACES[place]
    assert answer.revision == 7
    assert len(answer.entry_vms) == MAX_ENTRIES
    assert answer.entry_vms[0].failure_domain == domain
    assert answer.entry_vms[1].region == region
    assert answer.entry_vms[1].failure_domain != domain
    assert {vm.region for vm in answer.entry_vms} == set(REGIONS)
    assert len(set(answer.entry_vms)) == MAX_ENTRIES


def test_blocks_are_spread_over_the_entry_vms_of_a_place(parts) -> None:
    lookups = parts[3]
    blocks = [f"10.{a}.{b}.0" for a in range(10) for b in range(100)]
    first = Counter(lookups.answer("souhrny", block).entry_vms[0].name for block in blocks)
    assert len(first) == REGIONS["praha"]
    assert min(first.values()) > 0.8 * len(blocks) / len(first)


def test_vm_that_leaves_vanishes(parts) -> None:
    directory, _, now, lookups = parts
    gone = lookups.answer("souhrny", "10.1.2.3").entry_vms[0]
    directory.vms = tuple(vm for vm in directory.vms if vm != gone)
    now[0] += 0.1
    assert gone not in lookups.answer("souhrny", "10.1.2.3").entry_vms


def test_no_entry_vm_gives_an_empty_answer(parts) -> None:
    directory, _, _, lookups = parts
    directory.vms = ()
    assert lookups.answer("souhrny", "10.1.2.3").entry_vms == ()
