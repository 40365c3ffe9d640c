"""Check how readings of the platform's list and news of peers are joined."""

from dataclasses import replace

import pytest

from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.nodes._actions import Outbox, Send
from chervilmill.nodes._messages import VmChanges
from chervilmill.nodes._vms import LIST_LAG_S, SIGN_LIFETIME_S, VmSpread, read_interval_s

LIVE = Vm(
    "target-1", VmRole.TARGET, VmState.LIVE, "souhrny", "praha", "praha-a", Address("10.0.0.1", 80)
)
LEAVING = replace(LIVE, state=VmState.LEAVING)
MOVED = replace(LIVE, address=Address("10.0.0.2", 80))


def pair(region: str = "praha") -> tuple[VmSpread, VmSpread, Outbox]:
    """Return two nodes that have both read that the target is live."""
    outbox = Outbox()
    outbox.links.add("peer")
    first, second = VmSpread("praha", outbox), VmSpread(region, Outbox())
    first.read((LIVE,), 0.0)
    second.read((LIVE,), 0.0)
    return first, second, outbox


def pass_on(outbox: Outbox, receiver: VmSpread, now: float) -> int:
    """Hand what was sent to a receiver and return how many messages that were."""
    sent = [a.message for a in outbox.take() if isinstance(a, Send)]
    changes = [message for message in sent if isinstance(message, VmChanges)]
    for message in changes:
        receiver.receive("first", message, now)
    return len(changes)


@pytest.mark.parametrize(
    ("reading", "expected"),
    [((LEAVING,), (LEAVING,)), ((), ()), ((MOVED,), (MOVED,))],
    ids=["leaving", "removed", "another VM of the name"],
)
def test_peer_takes_a_change_before_it_reads_it_itself(reading, expected) -> None:
    first, second, outbox = pair()
    first.read(reading, 20.0)
    assert pass_on(outbox, second, 20.1) == 1
    assert second.current() == expected
    second.read((LIVE,), 21.0)
    assert second.current() == expected
    second.read((LIVE,), 20.2 + LIST_LAG_S)
    assert second.current() == (LIVE,)


def test_own_sign_outlives_readings_of_live() -> None:
    first, second, outbox = pair()
    first.report_leaving("target-1", 20.0)
    pass_on(outbox, second, 20.1)
    second.read((LIVE,), 20.0 + SIGN_LIFETIME_S)
    assert second.current() == (LEAVING,)
    second.read((MOVED,), 60.0)
    assert second.current() == (MOVED,)


def test_other_region_takes_the_state_but_not_the_address() -> None:
    first, _, outbox = pair()
    second = VmSpread("brno", Outbox())
    second.read((MOVED,), 0.0)
    first.read((LEAVING,), 20.0)
    pass_on(outbox, second, 20.1)
    assert second.current() == (replace(MOVED, state=VmState.LEAVING),)
    second.read((MOVED,), 21.0)
    assert second.current() == (replace(MOVED, state=VmState.LEAVING),)


def test_own_address_of_a_vm_known_from_another_region_is_kept_and_not_told() -> None:
    first, _, outbox = pair()
    there = Outbox()
    there.links.add("first")
    second = VmSpread("brno", there)
    first.receive_pull("peer")
    pass_on(outbox, second, 1.0)
    second.read((MOVED,), 2.0)
    assert second.current() == (MOVED,)
    assert pass_on(there, first, 2.1) == 0


def test_newest_reading_is_known_and_does_not_look_younger_by_going_round() -> None:
    first, second, _ = pair()
    first.read((LIVE,), 20.0)
    second.receive_reading(first.reading, 1.0, 21.1)
    assert second.read_s == pytest.approx(20.1)
    first.receive_reading(second.reading, 1.0, 21.2)
    assert first.read_s == 20.0


def test_unchanged_reading_tells_nothing() -> None:
    first, second, outbox = pair()
    first.read((LIVE,), 30.0)
    assert pass_on(outbox, second, 30.1) == 0


def test_newcomer_takes_the_list_of_a_peer() -> None:
    first, _, outbox = pair()
    newcomer = VmSpread("praha", Outbox())
    first.receive_pull("peer")
    assert pass_on(outbox, newcomer, 1.0) == 1
    assert newcomer.is_known
    assert newcomer.current() == (LIVE,)


@pytest.mark.parametrize(("nodes", "most_calls_per_s"), [(1, 2), (12, 2), (100, 2), (800, 2)])
def test_readings_of_all_nodes_together_are_bounded(nodes: int, most_calls_per_s: int) -> None:
    assert nodes / read_interval_s(nodes) <= most_calls_per_s
