"""Test losses, partitions and cut links in larger fleets, on a virtual clock."""

import random

import pytest

from bench._gossip_fleet import GossipFleet
from chervilmill.peers import Membership, Peer
from chervilmill.peers._dissemination import MAX_UPDATES_PER_DIGEST
from chervilmill.peers._membership import ROUND_S
from chervilmill.peers._ring import WATCHERS_PER_VM, WatchRing
from chervilmill.platform import StoreVersion

MAX_DETECTION_S = 7.0  # a look-up must not return a VM that has been dead for longer
MAX_DATAGRAM_BYTES = 1400  # a larger datagram is fragmented, and lost with any of its fragments
MAX_BYTES_PER_S = 3000  # of heartbeats for each VM, at any fleet size


def _fleet(count: int, domains: int, loss: float = 0.02) -> GossipFleet:
    return GossipFleet(count, 7, domain_count=domains, loss_share=loss)


@pytest.mark.parametrize(("count", "domains"), [(12, 3), (83, 7), (200, 12)])
def test_loss_of_a_failure_domain_is_known_to_all_in_time(count: int, domains: int) -> None:
    fleet = _fleet(count, domains)
    fleet.run(6.0)
    lost = [peer.name for peer in fleet.peers if peer.failure_domain == "d1"]
    fleet.kill(*lost)
    fleet.run(MAX_DETECTION_S)
    assert all(fleet.observers_of(name) == [] for name in lost)
    assert all(
        len(fleet.observers_of(name)) == len(fleet.memberships) - 1 for name in fleet.memberships
    )


@pytest.mark.parametrize("survivors", [1, 2, 5])
def test_few_survivors_of_a_fleet_know_in_time(survivors: int) -> None:
    fleet = _fleet(30, 5)
    fleet.run(6.0)
    lost = [peer.name for peer in fleet.peers[survivors:]]
    fleet.kill(*lost)
    fleet.run(MAX_DETECTION_S)
    assert all(fleet.observers_of(name) == [] for name in lost)


def test_vm_that_only_sends_stays_in_the_views_of_all_others() -> None:
    """Its heartbeats arrive, so it is alive. It receives nothing and may see the others as dead."""
    fleet = _fleet(40, 5)
    fleet.run(6.0)
    fleet.link_works = lambda _, to: to != "vm-3"
    for _ in range(20):
        fleet.run(ROUND_S)
        assert len(fleet.observers_of("vm-3")) == 39


def test_cut_between_two_vms_makes_neither_dead() -> None:
    fleet = _fleet(40, 5, loss=0.0)
    fleet.run(6.0)
    fleet.link_works = lambda sender, to: {sender, to} != {"vm-3", "vm-4"}
    for _ in range(20):
        fleet.run(ROUND_S)
        assert all(len(fleet.observers_of(name)) == 39 for name in fleet.memberships)


def test_partitioned_halves_drop_and_later_find_each_other() -> None:
    fleet = _fleet(40, 4)
    fleet.run(6.0)
    first_half = {peer.name for peer in fleet.peers if peer.failure_domain in ("d0", "d1")}
    fleet.link_works = lambda sender, to: (sender in first_half) == (to in first_half)
    fleet.run(2 * MAX_DETECTION_S)
    assert all(set(fleet.observers_of(name)) <= first_half for name in first_half)
    fleet.link_works = lambda _, __: True
    fleet.run(4.0)
    assert all(len(fleet.observers_of(name)) == 39 for name in fleet.memberships)


def test_paused_vm_declares_none_dead_when_it_resumes() -> None:
    fleet = _fleet(30, 5)
    fleet.run(6.0)
    paused = fleet.memberships.pop("vm-3")
    fleet.run(20.0)
    fleet.memberships["vm-3"] = paused
    fleet.run(ROUND_S)
    assert len(paused.serving_peers(fleet.now_s)) == 29
    fleet.run(2.0)
    assert len(fleet.observers_of("vm-3")) == 29


def test_bytes_do_not_grow_with_the_fleet_and_datagrams_fit_a_packet() -> None:
    sent = {}
    for count in (12, 200):
        fleet = _fleet(count, 6)
        fleet.run(10.0)
        bytes_before = fleet.bytes_sent
        fleet.run(10.0)
        sent[count] = (fleet.bytes_sent - bytes_before) / 10.0 / count
        assert sent[count] <= MAX_BYTES_PER_S
        assert fleet.largest_datagram_bytes <= MAX_DATAGRAM_BYTES
    assert sent[200] <= 1.5 * sent[12]


def test_largest_digest_fits_a_packet() -> None:
    """Use incarnations as large as clock times, and heartbeat counters of a long lifetime."""
    peers = [Peer(f"vm-{n}", "h", "d") for n in range(3 * MAX_UPDATES_PER_DIGEST)]
    membership = Membership("vm-0", 1_800_000_000, random.Random(1), "d")
    membership.set_peers(peers)
    for peer in peers[1:]:
        other = Membership(peer.name, 1_800_000_000, random.Random(1), "d")
        other._counter = 10_000_000
        membership.receive(other.digest({}, 0.0), 100.0)
    membership.begin_round(100.0)
    kinds = ["k" * 20, "l" * 20, "m" * 20, "n" * 20]
    digest = membership.digest(dict.fromkeys(kinds, StoreVersion(10**3, 10**9)), 9e4)
    assert len(digest.heartbeats) > MAX_UPDATES_PER_DIGEST
    assert len(digest.encode()) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    ("sizes", "other_domain_count"), [((1, 1), 1), ((4, 4), 1), ((3, 3, 3), 2), ((5, 5, 5, 5), 3)]
)
def test_watchers_are_in_other_failure_domains(
    sizes: tuple[int, ...], other_domain_count: int
) -> None:
    rng = random.Random(3)
    domains = {
        rng.getrandbits(32): f"d{index}" for index, size in enumerate(sizes) for _ in range(size)
    }
    ring = WatchRing(domains)
    for key, domain in domains.items():
        watchers = ring.watchers(key)
        assert len(set(watchers)) == min(WATCHERS_PER_VM, len(domains) - 1)
        assert key not in watchers
        assert len({domains[watcher] for watcher in watchers} - {domain}) == other_domain_count
        assert all(key in ring.watched(watcher) for watcher in watchers)
