"""Test fleets of memberships on a virtual clock, over a network that loses datagrams."""

import random

import pytest

from bench._gossip_fleet import GossipFleet
from chervilmill.peers import (
    Digest,
    KindReplica,
    MalformedDigestError,
    Membership,
    MemberState,
    Peer,
)
from chervilmill.peers._digest import decode_digest
from chervilmill.peers._membership import ROUND_S
from chervilmill.platform import Listing, StoredObject, StoreVersion, WatchEvent, WatchResult

MAX_DETECTION_S = 7.0  # a look-up must not return a VM that has been dead for longer
SEED = 4


@pytest.mark.parametrize(("count", "loss"), [(2, 0.0), (12, 0.0), (12, 0.2), (83, 0.02)])
def test_all_find_each_other_and_none_is_declared_dead(count: int, loss: float) -> None:
    fleet = GossipFleet(count, SEED, loss_share=loss)
    fleet.run(5.0)
    for _ in range(20):
        fleet.run(ROUND_S)
        assert all(len(fleet.serving_peers(name)) == count - 1 for name in fleet.memberships)


@pytest.mark.parametrize("count", [12, 83])
def test_dead_vm_is_dropped_by_all_in_time(count: int) -> None:
    fleet = GossipFleet(count, SEED)
    fleet.run(5.0)
    del fleet.memberships["vm-1"]
    fleet.run(MAX_DETECTION_S)
    assert all("vm-1" not in fleet.serving_peers(name) for name in fleet.memberships)


@pytest.mark.parametrize("incarnation", [2, 1, 0])
def test_restarted_vm_is_found_again(incarnation: int) -> None:
    """If the clock was set back, the incarnation does not rise at the restart."""
    fleet = GossipFleet(12, SEED)
    fleet.run(5.0)
    del fleet.memberships["vm-1"]
    fleet.run(5.0)
    fleet.memberships["vm-1"] = fleet.new_membership(fleet.peers[1], incarnation)
    fleet.run(4.0)
    assert all("vm-1" in fleet.serving_peers(name) for name in fleet.memberships if name != "vm-1")


def test_vm_that_has_heard_no_registered_peer_is_no_reader() -> None:
    own, peer = (
        Peer(name, f"10.0.0.{number}", "a") for number, name in enumerate(("vm-0", "vm-1"))
    )
    membership = Membership(own.name, 1, random.Random(0), own.failure_domain)
    membership.set_peers([own])
    membership.begin_round(0.0)
    assert membership.reader_rank == 0
    membership.set_peers([own, peer])
    membership.begin_round(ROUND_S)
    assert membership.reader_rank is None


def test_leaving_vm_is_idle_while_it_runs() -> None:
    fleet = GossipFleet(12, SEED)
    fleet.run(5.0)
    fleet.memberships["vm-1"].set_serving(False)
    fleet.run(2.5)
    assert all("vm-1" not in fleet.serving_peers(name) for name in fleet.memberships)
    assert fleet.memberships["vm-0"].state("vm-1", fleet.now_s) is MemberState.IDLE


def test_bytes_per_vm_grow_no_faster_than_the_fleet() -> None:
    sent = {}
    for count in (12, 83):
        fleet = GossipFleet(count, SEED)
        fleet.run(5.0)
        bytes_before = fleet.bytes_sent
        fleet.run(10.0)
        sent[count] = (fleet.bytes_sent - bytes_before) / 10.0 / count
    assert sent[83] <= 12_000
    assert sent[83] <= 83 / 12 * sent[12] * 1.1


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x01", b"\x83\x01\x02\x03", b"x" * 100])
def test_foreign_datagrams_are_refused(data: bytes) -> None:
    with pytest.raises(MalformedDigestError):
        decode_digest(data, "10.0.0.1")


@pytest.mark.parametrize(
    "revisions",
    [
        {},
        {"config": StoreVersion(0, 4)},
        {"config": StoreVersion(3, 4), "servers": StoreVersion(2, 9), "others": StoreVersion(0, 1)},
    ],
)
def test_digest_survives_encoding_and_decoding(revisions: dict[str, StoreVersion]) -> None:
    membership = Membership("vm", 5, random.Random(1))
    digest = membership.digest(revisions, 0.0)
    assert isinstance(digest, Digest)
    assert decode_digest(digest.encode(), "x") == digest


def _stored(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision)


def test_replica_applies_only_newer_listings_and_events() -> None:
    replica = KindReplica("kind")
    change = replica.apply_listing(
        Listing({"a": _stored("a", 3), "b": _stored("b", 4)}, StoreVersion(0, 5))
    )
    assert change is not None
    assert {stored.name for stored in change.written} == {"a", "b"}
    removed = WatchEvent(_stored("a", 6), True)
    change = replica.apply_events(
        WatchResult((removed, WatchEvent(_stored("c", 7), False)), StoreVersion(0, 7))
    )
    assert change is not None
    assert change.removed == ("a",)
    assert sorted(replica.objects) == ["b", "c"]
    assert replica.apply_listing(Listing({"a": _stored("a", 3)}, StoreVersion(0, 5))) is None
    assert replica.apply_events(WatchResult((), StoreVersion(0, 6))) is None
    assert (replica.as_of, replica.last_change) == (StoreVersion(0, 7),) * 2
    change = replica.apply_listing(Listing({"c": _stored("c", 7)}, StoreVersion(0, 9)))
    assert change is not None
    assert change.removed == ("b",)


def test_copy_of_a_restored_store_replaces_one_with_higher_revisions() -> None:
    """The copy stayed as it was for good, and with it the configuration."""
    replica = KindReplica("kind")
    before = Listing({"a": _stored("a", 90), "b": _stored("b", 100)}, StoreVersion(1, 100))
    replica.apply_listing(before)
    change = replica.apply_listing(Listing({"a": _stored("a", 50)}, StoreVersion(2, 60)))
    assert change is not None
    assert change.is_restored
    assert change.removed == ("b",)
    assert replica.known_version == StoreVersion(2, 60)
    assert replica.apply_listing(before) is None
    assert replica.apply_events(WatchResult((), StoreVersion(1, 101))) is None
    later = WatchEvent(_stored("b", 61), False)
    change = replica.apply_events(WatchResult((later,), StoreVersion(2, 61)))
    assert change is not None
    assert replica.last_change == StoreVersion(2, 61)
    assert not change.is_restored
