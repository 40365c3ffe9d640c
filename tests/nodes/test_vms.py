"""Test how readings of the platform's list are merged with changes from peers."""

from dataclasses import replace

import pytest

from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.nodes._actions import Outbox, Send
from chervilmill.nodes._messages import VmChanges
from chervilmill.nodes._vm_list import (
    LEAVING_REPORT_LIFETIME_S,
    LIST_LAG_TOLERANCE_S,
    VmListReplicator,
    read_interval_s,
)

LIVE = Vm(
    "target-1", VmRole.TARGET, VmState.LIVE, "souhrny", "praha", "praha-a", Address("10.0.0.1", 80)
)
JOINED = replace(LIVE, name="target-2")
LEAVING = replace(LIVE, state=VmState.LEAVING)
MOVED = replace(LIVE, address=Address("10.0.0.2", 80))


def pair(region: str = "praha") -> tuple[VmListReplicator, VmListReplicator, Outbox]:
    """Return two replicators that have both read the target as live, and the first's outbox."""
    outbox = Outbox()
    outbox.links.add("peer")
    first, second = VmListReplicator("praha", outbox), VmListReplicator(region, Outbox())
    first.merge_reading((LIVE,), 0.0)
    second.merge_reading((LIVE,), 0.0)
    return first, second, outbox


def deliver(outbox: Outbox, receiver: VmListReplicator, now: float) -> int:
    """Deliver the queued changes to a receiver and return the number of messages."""
    sent = [a.message for a in outbox.take_actions() if isinstance(a, Send)]
    changes = [message for message in sent if isinstance(message, VmChanges)]
    for message in changes:
        receiver.receive("first", message, now)
    return len(changes)


def test_late_answer_takes_back_the_age_of_a_reading_that_a_peer_began_later() -> None:
    first, _, _ = pair()
    first.receive_reading(first.reading + 1, 0.5, 20.0)
    first.merge_reading((LIVE,), 18.0)
    assert first.last_reading_s == 19.5


@pytest.mark.parametrize(
    ("reading", "expected"),
    [((LEAVING,), (LEAVING,)), ((), ()), ((MOVED,), (MOVED,))],
    ids=["leaving", "removed", "another VM of the name"],
)
def test_peer_adopts_an_announced_change_before_its_own_reading(reading, expected) -> None:
    first, second, outbox = pair()
    first.merge_reading(reading, 20.0)
    assert deliver(outbox, second, 20.1) == 1
    assert second.current() == expected
    second.merge_reading((LIVE,), 21.0)
    assert second.current() == expected
    second.merge_reading((LIVE,), 20.2 + LIST_LAG_TOLERANCE_S)
    assert second.current() == (LIVE,)


# A list that lagged behind removed a VM that had just joined from all nodes for ten seconds.
def test_reading_that_lags_behind_removes_a_vm_that_has_just_joined() -> None:
    first, second, outbox = pair()
    first.merge_reading((LIVE, JOINED), 20.0)
    deliver(outbox, second, 20.1)
    second.merge_reading((LIVE,), 21.0)
    assert second.current() == (LIVE, JOINED)
    first.merge_reading((LIVE,), 21.0)
    assert deliver(outbox, second, 21.1) == 0
    assert first.current() == (LIVE, JOINED)
    second.merge_reading((LIVE,), 20.2 + LIST_LAG_TOLERANCE_S)
    assert second.current() == (LIVE,)


def test_old_reading_removes_a_vm_that_has_come_back() -> None:
    first, _, _ = pair()
    first.merge_reading((), 20.0)
    first.merge_reading((LIVE,), 21.0 + LIST_LAG_TOLERANCE_S)
    first.merge_reading((), 22.0 + LIST_LAG_TOLERANCE_S)
    assert first.current() == (LIVE,)
    first.merge_reading((), 22.0 + 2 * LIST_LAG_TOLERANCE_S)
    assert first.current() == ()


def test_own_sign_outlives_readings_of_live() -> None:
    first, second, outbox = pair()
    first.report_leaving("target-1", 20.0)
    deliver(outbox, second, 20.1)
    second.merge_reading((LIVE,), 20.0 + LEAVING_REPORT_LIFETIME_S)
    assert second.current() == (LEAVING,)
    second.merge_reading((MOVED,), 60.0)
    assert second.current() == (MOVED,)


def test_other_region_takes_the_state_but_not_the_address() -> None:
    first, _, outbox = pair()
    second = VmListReplicator("brno", Outbox())
    second.merge_reading((MOVED,), 0.0)
    first.merge_reading((LEAVING,), 20.0)
    deliver(outbox, second, 20.1)
    assert second.current() == (replace(MOVED, state=VmState.LEAVING),)
    second.merge_reading((MOVED,), 21.0)
    assert second.current() == (replace(MOVED, state=VmState.LEAVING),)


def test_local_address_is_kept_and_not_announced_to_another_region() -> None:
    first, _, outbox = pair()
    there = Outbox()
    there.links.add("first")
    second = VmListReplicator("brno", there)
    first.receive_pull("peer")
    deliver(outbox, second, 1.0)
    second.merge_reading((MOVED,), 2.0)
    assert second.current() == (MOVED,)
    assert deliver(there, first, 2.1) == 0


def test_age_of_the_newest_reading_does_not_shrink_when_passed_around() -> None:
    first, second, _ = pair()
    first.merge_reading((LIVE,), 20.0)
    second.receive_reading(first.reading, 1.0, 21.1)
    assert second.last_reading_s == pytest.approx(20.1)
    first.receive_reading(second.reading, 1.0, 21.2)
    assert first.last_reading_s == 20.0


def test_unchanged_reading_announces_nothing() -> None:
    first, second, outbox = pair()
    first.merge_reading((LIVE,), 30.0)
    assert deliver(outbox, second, 30.1) == 0


def test_joining_node_pulls_the_list_from_a_peer() -> None:
    first, _, outbox = pair()
    new_node = VmListReplicator("praha", Outbox())
    first.receive_pull("peer")
    assert deliver(outbox, new_node, 1.0) == 1
    assert new_node.is_known
    assert new_node.current() == (LIVE,)


@pytest.mark.parametrize(("nodes", "most_calls_per_s"), [(1, 2), (12, 2), (100, 2), (800, 2)])
def test_readings_of_all_nodes_together_are_bounded(nodes: int, most_calls_per_s: int) -> None:
    assert nodes / read_interval_s(nodes) <= most_calls_per_s


# A peer of an earlier version passed on a VM at an address with a zone.
@pytest.mark.parametrize("address", ["[fe80::1%a..b]:80", "[fe80::1]:80", "0.0.0.0:80"])
def test_vm_that_no_other_can_reach_is_taken_over_from_a_peer(address: str) -> None:
    first, second, outbox = pair()
    first.merge_reading((LIVE, JOINED), 20.0)
    sent = [a.message for a in outbox.take_actions() if isinstance(a, Send)]
    for message in sent:
        if isinstance(message, VmChanges):
            odd = tuple(replace(entry, address=address) for entry in message.entries)
            second.receive("first", VmChanges(odd), 20.1)
    assert [vm.name for vm in second.current()] == [LIVE.name]
