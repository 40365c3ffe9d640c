"""Lose, part and cut off entry VMs of larger fleets, on the virtual clock."""

import random

import pytest

from bench._gossip_fleet import GossipFleet
from chervilmill.peers import Membership, Peer
from chervilmill.peers._membership import ROUND_S
from chervilmill.peers._news import MAX_TOLD
from chervilmill.peers._ring import WATCHERS, WatchRing

DETECTED_S = 7.0  # a look-up names no VM that has been dead for longer
PACKET_BYTES = 1400  # a larger datagram is split on its way, and lost with any of its parts
BYTES_PER_S = 3000  # of heartbeats a VM, at any size


def _fleet(count: int, domains: int, loss: float = 0.02) -> GossipFleet:
    return GossipFleet(count, 7, domains=domains, loss=loss)


@pytest.mark.parametrize(("count", "domains"), [(12, 3), (83, 7), (200, 12)])
def test_loss_of_a_failure_domain_is_known_to_all_in_time(count: int, domains: int) -> None:
    fleet = _fleet(count, domains)
    fleet.play(6.0)
    lost = [peer.name for peer in fleet.peers if peer.failure_domain == "d1"]
    fleet.kill(*lost)
    fleet.play(DETECTED_S)
    assert all(fleet.views(name) == [] for name in lost)
    assert all(len(fleet.views(name)) == len(fleet.up) - 1 for name in fleet.up)


@pytest.mark.parametrize("survivors", [1, 2, 5])
def test_few_survivors_of_a_fleet_know_in_time(survivors: int) -> None:
    fleet = _fleet(30, 5)
    fleet.play(6.0)
    lost = [peer.name for peer in fleet.peers[survivors:]]
    fleet.kill(*lost)
    fleet.play(DETECTED_S)
    assert all(fleet.views(name) == [] for name in lost)


def test_one_way_cut_leaves_the_vm_in_all_views_but_its_own() -> None:
    """What it sends arrives, so that it is alive; what it hears nothing of may look dead to it."""
    fleet = _fleet(40, 5)
    fleet.play(6.0)
    fleet.carries = lambda _, to: to != "vm-3"
    for _ in range(20):
        fleet.play(ROUND_S)
        assert len(fleet.views("vm-3")) == 39


def test_cut_between_two_vms_makes_neither_dead() -> None:
    fleet = _fleet(40, 5, loss=0.0)
    fleet.play(6.0)
    fleet.carries = lambda sender, to: {sender, to} != {"vm-3", "vm-4"}
    for _ in range(20):
        fleet.play(ROUND_S)
        assert all(len(fleet.views(name)) == 39 for name in fleet.up)


def test_parted_halves_drop_each_other_and_find_each_other_again() -> None:
    fleet = _fleet(40, 4)
    fleet.play(6.0)
    near = {peer.name for peer in fleet.peers if peer.failure_domain in ("d0", "d1")}
    fleet.carries = lambda sender, to: (sender in near) == (to in near)
    fleet.play(2 * DETECTED_S)
    assert all(set(fleet.views(name)) <= near for name in near)
    fleet.carries = lambda _, __: True
    fleet.play(4.0)
    assert all(len(fleet.views(name)) == 39 for name in fleet.up)


def test_vm_that_stood_still_takes_none_for_dead_when_it_goes_on() -> None:
    fleet = _fleet(30, 5)
    fleet.play(6.0)
    paused = fleet.up.pop("vm-3")
    fleet.play(20.0)
    fleet.up["vm-3"] = paused
    fleet.play(ROUND_S)
    assert len(paused.live(fleet.now_s)) == 29
    fleet.play(2.0)
    assert len(fleet.views("vm-3")) == 29


def test_bytes_do_not_grow_with_the_fleet_and_datagrams_fit_a_packet() -> None:
    sent = {}
    for count in (12, 200):
        fleet = _fleet(count, 6)
        fleet.play(10.0)
        begin = fleet.bytes_sent
        fleet.play(10.0)
        sent[count] = (fleet.bytes_sent - begin) / 10.0 / count
        assert sent[count] <= BYTES_PER_S
        assert fleet.largest <= PACKET_BYTES
    assert sent[200] <= 1.5 * sent[12]


def test_largest_digest_fits_a_packet() -> None:
    """With times of the real clock as incarnations and counters of a long life."""
    peers = [Peer(f"vm-{n}", "h", "d") for n in range(3 * MAX_TOLD)]
    membership = Membership("vm-0", 1_800_000_000, random.Random(1), "d")
    membership.register(peers)
    for peer in peers[1:]:
        other = Membership(peer.name, 1_800_000_000, random.Random(1), "d")
        other._counter = 10_000_000
        membership.receive(other.digest({}, 0.0), 100.0)
    membership.beat(100.0)
    digest = membership.digest(dict.fromkeys(["k" * 20, "l" * 20, "m" * 20, "n" * 20], 10**9), 9e4)
    assert len(digest.heartbeats) > MAX_TOLD
    assert len(digest.encode()) <= PACKET_BYTES


@pytest.mark.parametrize(
    ("sizes", "apart"), [((1, 1), 1), ((4, 4), 1), ((3, 3, 3), 2), ((5, 5, 5, 5), 3)]
)
def test_watchers_are_in_failure_domains_apart(sizes: tuple[int, ...], apart: int) -> None:
    rng = random.Random(3)
    domains = {
        rng.getrandbits(32): f"d{index}" for index, size in enumerate(sizes) for _ in range(size)
    }
    ring = WatchRing(domains)
    for key, domain in domains.items():
        watchers = ring.watchers(key)
        assert len(set(watchers)) == min(WATCHERS, len(domains) - 1)
        assert key not in watchers
        assert len({domains[one] for one in watchers} - {domain}) == apart
        assert all(key in ring.watched(one) for one in watchers)
