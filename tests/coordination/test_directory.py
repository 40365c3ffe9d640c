"""Check that a VM takes no new work after the first report of its leaving from any source."""

from dataclasses import replace
from types import MappingProxyType

import pytest

from chervilmill.addresses import Address
from chervilmill.coordination import (
    CONFIGURATION_KIND,
    ConfigurationSnapshot,
    Directory,
    EntryMembers,
    StoredObject,
    Vm,
    VmRole,
    VmState,
)

REGION_AND_DOMAIN = ("praha", "praha-a")
TARGET = Vm(
    "target-1", VmRole.TARGET, VmState.LIVE, "souhrny", *REGION_AND_DOMAIN, Address("10.0.0.1", 80)
)
ENTRY = Vm("entry-1", VmRole.ENTRY, VmState.LIVE, "", *REGION_AND_DOMAIN, Address("10.0.1.1", 80))
OTHER_ENTRY = replace(ENTRY, name="entry-2", address=Address("10.0.1.2", 80))


def leaving_mark(name: str, value: bytes) -> ConfigurationSnapshot:
    stored = StoredObject(CONFIGURATION_KIND, f"leaving/{name}", 1, value)
    return ConfigurationSnapshot(1, MappingProxyType({stored.name: stored}))


def directory() -> Directory:
    vms = Directory()
    vms.update_list((ENTRY, OTHER_ENTRY, TARGET))
    vms.update_members(EntryMembers((ENTRY, OTHER_ENTRY), frozenset()))
    return vms


def list_target_as_leaving(vms: Directory) -> None:
    vms.update_list((ENTRY, OTHER_ENTRY, replace(TARGET, state=VmState.LEAVING)))


def remove_target_from_list(vms: Directory) -> None:
    vms.update_list((ENTRY, OTHER_ENTRY))


def mark_target_leaving(vms: Directory) -> None:
    vms.update_configuration(leaving_mark("target-1", b'{"leaving": true}'))


def report_target_leaving(vms: Directory) -> None:
    vms.report_leaving("target-1")


@pytest.mark.parametrize(
    "leave",
    [list_target_as_leaving, remove_target_from_list, mark_target_leaving, report_target_leaving],
)
def test_leaving_target_gets_no_new_work(leave) -> None:
    vms = directory()
    assert vms.targets("souhrny") == (TARGET,)
    leave(vms)
    assert vms.targets("souhrny") == ()


def report_entry_vm_dead(vms: Directory) -> None:
    vms.update_members(EntryMembers((OTHER_ENTRY,), frozenset({"entry-1"})))


def report_entry_vm_leaving(vms: Directory) -> None:
    leaving = replace(ENTRY, state=VmState.LEAVING)
    vms.update_members(EntryMembers((leaving, OTHER_ENTRY), frozenset()))


def mark_entry_vm_leaving(vms: Directory) -> None:
    vms.update_configuration(leaving_mark("entry-1", b'{"leaving": true}'))


def list_entry_vm_as_leaving(vms: Directory) -> None:
    vms.update_list((replace(ENTRY, state=VmState.LEAVING), OTHER_ENTRY))


@pytest.mark.parametrize(
    "leave",
    [
        report_entry_vm_dead,
        report_entry_vm_leaving,
        mark_entry_vm_leaving,
        list_entry_vm_as_leaving,
    ],
)
def test_leaving_or_dead_entry_vm_is_not_returned(leave) -> None:
    vms = directory()
    assert vms.entry_vms() == (ENTRY, OTHER_ENTRY)
    leave(vms)
    assert vms.entry_vms() == (OTHER_ENTRY,)


@pytest.mark.parametrize("value", [b'{"leaving": false}', b"{", b"[]", b'{"leaving": "yes"}'])
def test_mark_that_is_cleared_or_malformed_has_no_effect(value: bytes) -> None:
    vms = directory()
    vms.update_configuration(leaving_mark("target-1", value))
    assert vms.targets("souhrny") == (TARGET,)


def test_member_that_is_not_listed_yet_is_returned() -> None:
    vms = directory()
    vms.update_list((ENTRY,))
    assert vms.entry_vms() == (ENTRY, OTHER_ENTRY)


def test_new_entry_vm_with_the_name_of_a_dead_one_is_returned() -> None:
    vms = directory()
    moved = replace(ENTRY, address=Address("10.0.1.9", 80))
    vms.update_members(EntryMembers((OTHER_ENTRY,), frozenset({"entry-1"})))
    vms.update_list((moved, OTHER_ENTRY))
    assert vms.entry_vms() == (moved, OTHER_ENTRY)


def test_listed_address_takes_precedence_over_the_members_own() -> None:
    vms = directory()
    elsewhere = replace(OTHER_ENTRY, address=Address("10.9.0.2", 80))
    vms.update_list((ENTRY, elsewhere))
    assert vms.entry_vms() == (ENTRY, elsewhere)
    vms.update_members(EntryMembers((ENTRY,), frozenset({"entry-2"})))
    assert vms.entry_vms() == (ENTRY,)


def test_list_received_after_a_death_does_not_revive_the_dead_vm() -> None:
    vms = Directory()
    vms.update_members(EntryMembers((OTHER_ENTRY,), frozenset({"entry-1"})))
    vms.update_list((ENTRY, OTHER_ENTRY))
    assert vms.entry_vms() == (OTHER_ENTRY,)


def test_own_announcement_is_passed_to_the_listeners() -> None:
    vms, reported = directory(), []
    vms.subscribe_leaving(reported.append)
    vms.report_leaving("target-1")
    assert reported == ["target-1"]
