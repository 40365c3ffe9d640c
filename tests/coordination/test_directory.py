"""Check that a VM takes no new work after the first sign from any source."""

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

PLACE = ("praha", "praha-a")
TARGET = Vm("target-1", VmRole.TARGET, VmState.LIVE, "souhrny", *PLACE, Address("10.0.0.1", 80))
ENTRY = Vm("entry-1", VmRole.ENTRY, VmState.LIVE, "", *PLACE, Address("10.0.1.1", 80))
OTHER = replace(ENTRY, name="entry-2", address=Address("10.0.1.2", 80))


def snapshot(name: str, value: bytes) -> ConfigurationSnapshot:
    stored = StoredObject(CONFIGURATION_KIND, f"leaving/{name}", 1, value)
    return ConfigurationSnapshot(1, MappingProxyType({stored.name: stored}))


def directory() -> Directory:
    known = Directory()
    known.receive_list((ENTRY, OTHER, TARGET))
    known.receive_members(EntryMembers((ENTRY, OTHER), frozenset()))
    return known


def leave_by_list(known: Directory) -> None:
    known.receive_list((ENTRY, OTHER, replace(TARGET, state=VmState.LEAVING)))


def leave_by_removal(known: Directory) -> None:
    known.receive_list((ENTRY, OTHER))


def leave_by_mark(known: Directory) -> None:
    known.receive_configuration(snapshot("target-1", b'{"leaving": true}'))


def leave_by_own_sign(known: Directory) -> None:
    known.report_leaving("target-1")


@pytest.mark.parametrize(
    "leave", [leave_by_list, leave_by_removal, leave_by_mark, leave_by_own_sign]
)
def test_leaving_target_gets_no_new_work(leave) -> None:
    known = directory()
    assert known.targets("souhrny") == (TARGET,)
    leave(known)
    assert known.targets("souhrny") == ()


def die(known: Directory) -> None:
    known.receive_members(EntryMembers((OTHER,), frozenset({"entry-1"})))


def tell_leaving(known: Directory) -> None:
    leaving = replace(ENTRY, state=VmState.LEAVING)
    known.receive_members(EntryMembers((leaving, OTHER), frozenset()))


def mark(known: Directory) -> None:
    known.receive_configuration(snapshot("entry-1", b'{"leaving": true}'))


def list_leaving(known: Directory) -> None:
    known.receive_list((replace(ENTRY, state=VmState.LEAVING), OTHER))


@pytest.mark.parametrize("leave", [die, tell_leaving, mark, list_leaving])
def test_leaving_or_dead_entry_vm_is_not_named(leave) -> None:
    known = directory()
    assert known.entry_vms() == (ENTRY, OTHER)
    leave(known)
    assert known.entry_vms() == (OTHER,)


@pytest.mark.parametrize("value", [b'{"leaving": false}', b"{", b"[]", b'{"leaving": "yes"}'])
def test_mark_that_was_taken_back_or_is_malformed_counts_for_nothing(value: bytes) -> None:
    known = directory()
    known.receive_configuration(snapshot("target-1", value))
    assert known.targets("souhrny") == (TARGET,)


def test_member_that_the_list_does_not_name_yet_is_named() -> None:
    known = directory()
    known.receive_list((ENTRY,))
    assert known.entry_vms() == (ENTRY, OTHER)


def test_new_entry_vm_under_a_dead_name_is_named() -> None:
    known = directory()
    moved = replace(ENTRY, address=Address("10.0.1.9", 80))
    known.receive_members(EntryMembers((OTHER,), frozenset({"entry-1"})))
    known.receive_list((moved, OTHER))
    assert known.entry_vms() == (moved, OTHER)


def test_address_of_the_list_is_named_where_it_differs_from_the_members_own() -> None:
    known = directory()
    elsewhere = replace(OTHER, address=Address("10.9.0.2", 80))
    known.receive_list((ENTRY, elsewhere))
    assert known.entry_vms() == (ENTRY, elsewhere)
    known.receive_members(EntryMembers((ENTRY,), frozenset({"entry-2"})))
    assert known.entry_vms() == (ENTRY,)


def test_list_that_comes_after_a_death_does_not_bring_the_dead_back() -> None:
    known = Directory()
    known.receive_members(EntryMembers((OTHER,), frozenset({"entry-1"})))
    known.receive_list((ENTRY, OTHER))
    assert known.entry_vms() == (OTHER,)


def test_own_sign_is_told_to_the_other_nodes() -> None:
    known, told = directory(), []
    known.on_leaving(told.append)
    known.report_leaving("target-1")
    assert told == ["target-1"]
