"""Measure real processes: a whole small site, and one node under the traffic of a fleet of 800."""

import contextlib
import random
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from websockets.exceptions import ConnectionClosed
from websockets.sync.client import ClientConnection, connect

from bench._rows import Figure
from bench.fleet import SHAPES, Fleet
from bench.fleet import _addresses as addresses
from bench.fleet._processes import Process
from bench.nodes_network import member
from chervilmill.coordination import CONFIGURATION_KIND
from chervilmill.nodes._broadcast import REPORT_INTERVAL_S
from chervilmill.nodes._codec import decode, encode
from chervilmill.nodes._handshake import Handshake
from chervilmill.nodes._machine import HEARTBEAT_INTERVAL_S, ROLE_HEARTBEAT_INTERVAL_S
from chervilmill.nodes._members import Members
from chervilmill.nodes._messages import (
    DomainLoad,
    Heartbeat,
    LoadReport,
    Member,
    NodeRequest,
    ShareDemand,
    ShareRequest,
)
from chervilmill.nodes._overlay import neighbours
from chervilmill.nodes._requester import REQUEST_INTERVAL_S
from chervilmill.nodes._roles import choose_roles
from chervilmill.standins.store import retry_until

NODES = 800
REGIONS = 6
DOMAINS_PER_REGION = 3
USED_LINK_COUNT = 5
NODE_HOST_NUMBER = 71
KEY = "the-key-of-the-benchmark"
WARM_UP_S = 5.0
MEASUREMENT_S = 15.0
IDLE_S = 10.0
IN_FORCE_TIMEOUT_S = 20.0
POLL_S = 0.02


def site_figures(seed: int) -> Iterator[Figure]:
    """Yield the figures of a site of twelve entry VMs on the loopback interface."""
    shape = SHAPES["souhrny"]
    with tempfile.TemporaryDirectory() as directory, Fleet(shape, Path(directory)) as fleet:
        names = tuple(fleet.entries)
        retry_until(lambda: _min_nodes_present(fleet) == len(names), IN_FORCE_TIMEOUT_S)
        yield Figure("site.nodes", _min_nodes_present(fleet), "nodes")
        calls_before = fleet.store.calls + sum(view.calls for view in fleet.views.values())
        time.sleep(IDLE_S)
        calls_after = fleet.store.calls + sum(view.calls for view in fleet.views.values())
        yield Figure("site.store_calls_at_rest", (calls_after - calls_before) / IDLE_S, "calls/s")
        durations_s = [_configuration_in_force_s(fleet, names, number) for number in range(3)]
        yield Figure("site.configuration_in_force", max(durations_s), "s")


def _min_nodes_present(fleet: Fleet) -> int:
    statuses = [fleet.status(name) for name in fleet.entries]
    return min(0 if status is None else int(status["nodes_present"]) for status in statuses)


def _configuration_in_force_s(fleet: Fleet, names: tuple[str, ...], number: int) -> float:
    """Write a configuration object and return the time until it is in force at every node."""
    version = fleet.store.create(CONFIGURATION_KIND, f"bench/{number}", b"{}")
    started_s = time.monotonic()
    waiting = set(names)

    def is_in_force_everywhere() -> bool:
        for name in sorted(waiting):
            status = fleet.status(name)
            if status is None or status["revision"] is None or status["revision"] < version:
                return False
            waiting.discard(name)
        return True

    if not retry_until(is_in_force_everywhere, IN_FORCE_TIMEOUT_S, POLL_S):
        return float("inf")
    return time.monotonic() - started_s


class _SimulatedPeer:
    """A peer of a fleet of 800 that sends its traffic to one node and discards the answers."""

    def __init__(self, url: str, own: Member, members_hash: int, is_neighbour: bool) -> None:
        self._url = url
        self._own = own
        self._hash = members_hash
        self._is_neighbour = is_neighbour
        self._connection: ClientConnection | None = None
        self._request_number = 0

    def open_link(self) -> None:
        """Open the link to the node."""
        self._connection = connect(self._url, compression=None, ping_interval=None, legacy=True)
        hello = Handshake(KEY).hello(decode(_as_bytes(self._connection.recv())), self._own)
        self._connection.send(encode(hello))
        threading.Thread(target=self._discard_received, daemon=True).start()

    def send_heartbeat(self) -> None:
        """Send a heartbeat."""
        self._send(encode(Heartbeat(self._hash, 0, 0, 0, 0, 0)))

    def send_load_report(self) -> None:
        """Send a load report, as a node does to its head."""
        self._send(encode(LoadReport(DomainLoad(self._own.failure_domain, 1, 7))))

    def send_share_request(self) -> None:
        """Request shares of the links, as a node does from its head."""
        self._request_number += 1
        demands = tuple(ShareDemand(f"link/{i}", 900, 800) for i in range(USED_LINK_COUNT))
        request = ShareRequest(self._request_number, demands)
        self._send(encode(NodeRequest(f"{self._own.name}/1", request)))

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the interval at which this peer sends heartbeats."""
        return HEARTBEAT_INTERVAL_S if self._is_neighbour else ROLE_HEARTBEAT_INTERVAL_S

    def _send(self, raw: bytes) -> None:
        assert self._connection is not None
        self._connection.send(raw)

    def _discard_received(self) -> None:
        assert self._connection is not None
        with contextlib.suppress(ConnectionClosed):
            for _ in self._connection:
                pass


def _as_bytes(raw: str | bytes) -> bytes:
    return raw if isinstance(raw, bytes) else raw.encode()


def node_figures(seed: int) -> Iterator[Figure]:
    """Yield the processor time and memory of one real node, as an ordinary node and as a head."""
    members = [member(index, REGIONS, DOMAINS_PER_REGION) for index in range(NODES)]
    roles = choose_roles(members[0], members)
    head = next(m for m in members if m.name == roles.head)
    ordinary = next(m for m in members if m.name not in (roles.head, roles.root))
    for label, own in (("node", ordinary), ("head", head)):
        yield from _loaded_node_figures(label, own, members, seed)


def _loaded_node_figures(
    label: str, own: Member, members: list[Member], seed: int
) -> Iterator[Figure]:
    address = addresses.address(NODE_HOST_NUMBER, addresses.NODES_PORT)
    with tempfile.TemporaryDirectory() as directory:
        arguments = ("bench.nodes_one", str(address), own.name, KEY)
        process = Process(label, arguments, Path(directory) / "node.log")
        try:
            peers = _peers(f"ws://{address}", own, members)
            retry_until(lambda: _open_links(peers), IN_FORCE_TIMEOUT_S)
            _send_traffic(peers, WARM_UP_S, seed)
            cpu_before_s = process.cpu_s()
            _send_traffic(peers, MEASUREMENT_S, seed)
            cpu_used_s = process.cpu_s() - cpu_before_s
            yield Figure(f"{label}.links", len(peers), "links")
            yield Figure(f"{label}.cpu_at_800", 100 * cpu_used_s / MEASUREMENT_S, "% of a core")
            yield Figure(f"{label}.memory_at_800", process.memory_bytes() / 1024**2, "MB")
        finally:
            process.kill()


def _peers(url: str, own: Member, members: list[Member]) -> list[_SimulatedPeer]:
    known_members = Members()
    for other in members:
        known_members.merge(other, 0.0)
    ring_neighbours = neighbours(own, members)
    roles = choose_roles(own, members)
    names = sorted(ring_neighbours | roles.served_peers(own.name) | roles.upstream_peers(own.name))
    by_name = {m.name: m for m in members}
    return [
        _SimulatedPeer(url, by_name[name], known_members.hash, name in ring_neighbours)
        for name in names
    ]


def _open_links(peers: list[_SimulatedPeer]) -> bool:
    try:
        for peer in peers:
            peer.open_link()
    except OSError:
        return False
    return True


def _send_traffic(peers: list[_SimulatedPeer], seconds: float, seed: int) -> None:
    """Send each peer's traffic at its intervals, with phases drawn from the seed."""
    rng = random.Random(seed)
    due: list[tuple[float, int]] = []
    intervals: list[tuple[float, Callable[[], None]]] = []
    for peer in peers:
        for interval_s, action in (
            (peer.heartbeat_interval_s, peer.send_heartbeat),
            (REPORT_INTERVAL_S, peer.send_load_report),
            (REQUEST_INTERVAL_S, peer.send_share_request),
        ):
            due.append((rng.random() * interval_s, len(intervals)))
            intervals.append((interval_s, action))
    started_s = time.monotonic()
    while (now := time.monotonic() - started_s) < seconds:
        for position, (at_s, index) in enumerate(due):
            if at_s <= now:
                interval_s, action = intervals[index]
                action()
                due[position] = (at_s + interval_s, index)
        time.sleep(0.01)
