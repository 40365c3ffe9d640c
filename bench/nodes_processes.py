"""Measure nodes as real processes: a whole small site, and one node as it would be among 800."""

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
LINKS_IN_USE = 5
FED_HOST = 71
KEY = "the-key-of-the-benchmark"
WARM_UP_S = 5.0
MEASURED_S = 15.0
REST_S = 10.0
IN_FORCE_TIMEOUT_S = 20.0
POLL_S = 0.02


def site_figures(seed: int) -> Iterator[Figure]:
    """Yield the figures of a site of twelve entry VMs on loopback."""
    shape = SHAPES["souhrny"]
    with tempfile.TemporaryDirectory() as directory, Fleet(shape, Path(directory)) as fleet:
        names = tuple(fleet.entries)
        retry_until(lambda: _present(fleet) == len(names), IN_FORCE_TIMEOUT_S)
        yield Figure("site.nodes", _present(fleet), "nodes")
        before = fleet.store.calls + sum(view.calls for view in fleet.views.values())
        time.sleep(REST_S)
        after = fleet.store.calls + sum(view.calls for view in fleet.views.values())
        yield Figure("site.store_calls_at_rest", (after - before) / REST_S, "calls/s")
        times = [_change(fleet, names, number) for number in range(3)]
        yield Figure("site.configuration_in_force", max(times), "s")


def _present(fleet: Fleet) -> int:
    statuses = [fleet.status(name) for name in fleet.entries]
    return min(0 if status is None else int(status["nodes_present"]) for status in statuses)


def _change(fleet: Fleet, names: tuple[str, ...], number: int) -> float:
    """Write one configuration object and return the time until every node has it in force."""
    version = fleet.store.create(CONFIGURATION_KIND, f"bench/{number}", b"{}")
    started_s = time.monotonic()
    waiting = set(names)

    def is_reached() -> bool:
        for name in sorted(waiting):
            status = fleet.status(name)
            if status is None or status["revision"] is None or status["revision"] < version:
                return False
            waiting.discard(name)
        return True

    if not retry_until(is_reached, IN_FORCE_TIMEOUT_S, POLL_S):
        return float("inf")
    return time.monotonic() - started_s


class _Peer:
    """Send one node what a peer of a fleet of 800 would send it, and read what it answers."""

    def __init__(self, url: str, own: Member, members_hash: int, is_watched: bool) -> None:
        self._url = url
        self._own = own
        self._hash = members_hash
        self._is_watched = is_watched
        self._connection: ClientConnection | None = None
        self._number = 0

    def join(self) -> None:
        """Open the link."""
        self._connection = connect(self._url, compression=None, ping_interval=None, legacy=True)
        hello = Handshake(KEY).hello(decode(_bytes(self._connection.recv())), self._own)
        self._connection.send(encode(hello))
        threading.Thread(target=self._read, daemon=True).start()

    def beat(self) -> None:
        """Send a heartbeat."""
        self._send(encode(Heartbeat(self._hash, 0, 0, 0, 0, 0)))

    def report(self) -> None:
        """Report a load, as a node does to its head."""
        self._send(encode(LoadReport(DomainLoad(self._own.failure_domain, 1, 7))))

    def request(self) -> None:
        """Ask for shares of the links, as a node does of its head."""
        self._number += 1
        demands = tuple(ShareDemand(f"link/{i}", 900, 800) for i in range(LINKS_IN_USE))
        request = ShareRequest(self._number, demands)
        self._send(encode(NodeRequest(f"{self._own.name}/1", request)))

    @property
    def heartbeat_interval_s(self) -> float:
        """Return how often this peer sends a heartbeat."""
        return HEARTBEAT_INTERVAL_S if self._is_watched else ROLE_HEARTBEAT_INTERVAL_S

    def _send(self, raw: bytes) -> None:
        assert self._connection is not None
        self._connection.send(raw)

    def _read(self) -> None:
        assert self._connection is not None
        with contextlib.suppress(ConnectionClosed):
            for _ in self._connection:
                pass


def _bytes(raw: str | bytes) -> bytes:
    return raw if isinstance(raw, bytes) else raw.encode()


def node_figures(seed: int) -> Iterator[Figure]:
    """Yield processor time and memory of one real node fed as an ordinary one and as a head."""
    members = [member(index, REGIONS, DOMAINS_PER_REGION) for index in range(NODES)]
    roles = choose_roles(members[0], members)
    head = next(m for m in members if m.name == roles.head)
    plain = next(m for m in members if m.name not in (roles.head, roles.root))
    for label, own in (("node", plain), ("head", head)):
        yield from _fed(label, own, members, seed)


def _fed(label: str, own: Member, members: list[Member], seed: int) -> Iterator[Figure]:
    address = addresses.address(FED_HOST, addresses.NODES_PORT)
    with tempfile.TemporaryDirectory() as directory:
        arguments = ("bench.nodes_one", str(address), own.name, KEY)
        process = Process(label, arguments, Path(directory) / "node.log")
        try:
            peers = _peers(f"ws://{address}", own, members)
            retry_until(lambda: _join_all(peers), IN_FORCE_TIMEOUT_S)
            _feed(peers, WARM_UP_S, seed)
            before_s = process.cpu_s()
            _feed(peers, MEASURED_S, seed)
            used_s = process.cpu_s() - before_s
            yield Figure(f"{label}.links", len(peers), "links")
            yield Figure(f"{label}.cpu_at_800", 100 * used_s / MEASURED_S, "% of a core")
            yield Figure(f"{label}.memory_at_800", process.memory_bytes() / 1024**2, "MB")
        finally:
            process.kill()


def _peers(url: str, own: Member, members: list[Member]) -> list[_Peer]:
    table = Members()
    for other in members:
        table.merge(other, 0.0)
    watched = neighbours(own, members)
    roles = choose_roles(own, members)
    names = sorted(watched | roles.served_peers(own.name) | roles.upstream_peers(own.name))
    by_name = {m.name: m for m in members}
    return [_Peer(url, by_name[name], table.hash, name in watched) for name in names]


def _join_all(peers: list[_Peer]) -> bool:
    try:
        for peer in peers:
            peer.join()
    except OSError:
        return False
    return True


def _feed(peers: list[_Peer], seconds: float, seed: int) -> None:
    """Send what each peer would send, evenly over time."""
    rng = random.Random(seed)
    due: list[tuple[float, int]] = []
    intervals: list[tuple[float, Callable[[], None]]] = []
    for peer in peers:
        for interval_s, act in (
            (peer.heartbeat_interval_s, peer.beat),
            (REPORT_INTERVAL_S, peer.report),
            (REQUEST_INTERVAL_S, peer.request),
        ):
            due.append((rng.random() * interval_s, len(intervals)))
            intervals.append((interval_s, act))
    started_s = time.monotonic()
    while (now := time.monotonic() - started_s) < seconds:
        for place, (at_s, index) in enumerate(due):
            if at_s <= now:
                interval_s, act = intervals[index]

                act()
                due[place] = (at_s + interval_s, index)
        time.sleep(0.01)
