"""Weigh ways of bringing a configuration change to every node, with the product's replicator.

Each way is a graph of links and a set of nodes that watch the store; on it runs the product's
ConfigurationReplicator with its pushes and repairs. `python -m bench.nodes_spreads` prints the
table.
"""

import heapq
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

import xxhash

from bench.nodes_network import FRAME_AND_PACKET_BYTES, member
from chervilmill.coordination import CONFIGURATION_KIND, ConfigurationCache, StoredObject
from chervilmill.nodes._actions import Outbox, Send
from chervilmill.nodes._codec import encode
from chervilmill.nodes._configuration import ConfigurationReplicator
from chervilmill.nodes._messages import (
    ConfigurationAnnouncement,
    ConfigurationFetch,
    ConfigurationObjects,
    ConfigurationPull,
    Heartbeat,
    Member,
    Message,
)
from chervilmill.nodes._overlay import is_relay, neighbours
from chervilmill.nodes._readers import WATCH_TIMEOUT_S

HEARTBEAT_S = 0.8
STORE_DELAY_S = 0.06
MOST_S = 30.0
SETTLE_S = 1.0
OBJECT_BYTES = 600
TREE_DEGREE = 4
GOSSIP_DEGREE = 6

Links = Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class Way:
    """Name a way, and hold its links and the nodes that watch the store."""

    name: str
    links: Links
    watchers: frozenset[str]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what one change cost; `seconds` is infinite if it did not reach every node."""

    way: str
    nodes: int
    loss: float
    is_domain_gone: bool
    waiting_watches: int
    store_calls_per_s: float
    messages: int
    bytes_per_node: float
    hops: int
    seconds: float


def _both_ways(pairs: set[tuple[str, str]], members: list[Member]) -> Links:
    links: dict[str, set[str]] = {m.name: set() for m in members}
    for first, second in pairs:
        if first != second:
            links[first].add(second)
            links[second].add(first)
    return {name: frozenset(peers) for name, peers in links.items()}


def _by_hash(members: list[Member]) -> list[str]:
    names = (member.name for member in members)
    return sorted(names, key=lambda name: xxhash.xxh64_intdigest(name.encode()))


def _rings(members: list[Member], _seed: int) -> Links:
    return _both_ways({(m.name, p) for m in members for p in neighbours(m, members)}, members)


def _nothing(members: list[Member], _seed: int) -> Links:
    return _both_ways(set(), members)


def _tree(members: list[Member], _seed: int) -> Links:
    names = _by_hash(members)
    pairs = {(names[i], names[(i - 1) // TREE_DEGREE]) for i in range(1, len(names))}
    return _both_ways(pairs, members)


def _gossip(members: list[Member], seed: int) -> Links:
    rng = random.Random(seed)
    names = [m.name for m in members]
    count = min(GOSSIP_DEGREE // 2, len(names) - 1)
    pairs = {(n, peer) for n in names for peer in rng.sample([x for x in names if x != n], count)}
    return _both_ways(pairs, members)


def _distance_halving(members: list[Member], _seed: int) -> Links:
    """Return the distance halving graph of the related paper, one-dimensional, even segments."""
    names = _by_hash(members)
    count = len(names)
    pairs = {(names[i], names[(i + 1) % count]) for i in range(count)}
    for i in range(count):
        for low, high in ((i / 2, (i + 1) / 2), ((i + count) / 2, (i + count + 1) / 2)):
            covered = range(int(low), int(-(-high // 1)))
            pairs.update((names[i], names[j % count]) for j in covered)
    return _both_ways(pairs, members)


_GRAPHS: dict[str, Callable[[list[Member], int], Links]] = {
    "watch per node": _nothing,
    "relays and rings": _rings,
    "relays and tree": _tree,
    "relays and gossip": _gossip,
    "relays and distance halving": _distance_halving,
}


def ways(members: list[Member], seed: int) -> Iterator[Way]:
    """Yield every way for the given members."""
    by_name = {m.name: m for m in members}
    relays = frozenset(m.name for m in members if is_relay(m, by_name))
    for name, graph in _GRAPHS.items():
        watchers = frozenset(by_name) if graph is _nothing else relays
        yield Way(name, graph(members, seed), watchers)


class _Run:
    """Carry one change over the links of one way."""

    def __init__(self, way: Way, members: list[Member], gone: str, loss: float, seed: int) -> None:
        self.way = way
        self.members = {m.name: m for m in members if m.failure_domain != gone}
        self.rng = random.Random(seed)
        self.loss = loss
        self.replicators: dict[str, ConfigurationReplicator] = {}
        self.outboxes: dict[str, Outbox] = {}
        self.hops: dict[str, int] = {}
        self.messages = 0
        self.bytes = 0
        self.events: list[tuple[float, int, str, str, Message, int]] = []
        for name in self.members:
            outbox = Outbox()
            outbox.links.update(way.links[name] & self.members.keys())
            self.outboxes[name] = outbox
            self.replicators[name] = ConfigurationReplicator(ConfigurationCache(), outbox)

    def run(self) -> float:
        """Return the time until every node holds the change, and go on until all is quiet."""
        change = StoredObject(CONFIGURATION_KIND, "intent/a", 1, bytes(OBJECT_BYTES))
        for name in sorted(self.way.watchers & self.members.keys()):
            at_s = STORE_DELAY_S * (1 + self.rng.random())
            self._push(at_s, "", name, ConfigurationObjects(()), 0)
        for name in sorted(self.members):
            self._push(self.rng.random() * HEARTBEAT_S, name, name, Heartbeat(0, 0, 0, 0, 0, 0), 0)
        done_s = float("inf")
        while self.events:
            now, _, source, name, message, hop = heapq.heappop(self.events)
            if now > min(MOST_S, done_s + SETTLE_S):
                break
            if not source:
                self.hops.setdefault(name, 0)
                self.replicators[name].merge_objects([change], "")
            elif source == name:
                self._beat(name, now)
            else:
                self._receive(source, name, message, hop, now)
            self._send(name, now)
            if len(self.hops) == len(self.members):
                done_s = min(done_s, now)
        return done_s

    def _beat(self, name: str, now: float) -> None:
        replicator = self.replicators[name]
        replicator.tick(now)
        heartbeat = Heartbeat(0, replicator.hash, 0, 0, 0, 0)
        for peer in sorted(self.outboxes[name].links):
            if self.rng.random() >= self.loss:
                self._push(now + self._delay_s(name, peer), name, peer, heartbeat, 0)
        self._push(now + HEARTBEAT_S, name, name, heartbeat, 0)

    def _receive(self, source: str, name: str, message: Message, hop: int, now: float) -> None:
        replicator = self.replicators[name]
        if isinstance(message, Heartbeat):
            replicator.receive_hash(source, message.configuration_hash, now)
        elif isinstance(message, ConfigurationObjects):
            self.hops.setdefault(name, hop)
            replicator.receive_objects(source, message)
        elif isinstance(message, ConfigurationAnnouncement):
            replicator.receive_announcement(source, message, now)
        elif isinstance(message, ConfigurationFetch):
            replicator.receive_fetch(source, message)
        elif isinstance(message, ConfigurationPull):
            replicator.receive_pull(source, message)

    def _send(self, name: str, now: float) -> None:
        for action in self.outboxes[name].take_actions():
            if not isinstance(action, Send):
                continue
            self.messages += 1
            self.bytes += len(encode(action.message)) + FRAME_AND_PACKET_BYTES
            if self.rng.random() >= self.loss:
                at_s = now + self._delay_s(name, action.peer)
                self._push(at_s, name, action.peer, action.message, self.hops.get(name, 0) + 1)

    def _delay_s(self, name: str, peer: str) -> float:
        is_near = self.members[name].region == self.members[peer].region
        return (0.003 if is_near else 0.055) * (1 + 0.2 * self.rng.random())

    def _push(self, at_s: float, source: str, name: str, message: Message, hop: int) -> None:
        event = (at_s, len(self.events) + self.rng.getrandbits(40), source, name, message, hop)
        heapq.heappush(self.events, event)


def measure(way: Way, members: list[Member], *, gone: str, loss: float, seed: int) -> Outcome:
    """Carry one change and return what it cost."""
    run = _Run(way, members, gone, loss, seed)
    seconds = run.run()
    watchers = len(way.watchers & run.members.keys())
    return Outcome(
        way=way.name,
        nodes=len(members),
        loss=loss,
        is_domain_gone=bool(gone),
        waiting_watches=watchers,
        store_calls_per_s=watchers / WATCH_TIMEOUT_S,
        messages=run.messages,
        bytes_per_node=run.bytes / len(run.members),
        hops=max(run.hops.values()),
        seconds=seconds,
    )


def outcomes(count: int, seed: int) -> Iterator[Outcome]:
    """Yield every way at a number of nodes, with losses and with a failure domain gone."""
    regions, domains = (6, 3) if count > 100 else (3, 2)
    members = [member(index, regions, domains) for index in range(count)]
    for way in ways(members, seed):
        for gone, loss in (("", 0.0), ("", 0.01), ("", 0.05), ("region-1-1", 0.01)):
            yield measure(way, members, gone=gone, loss=loss, seed=seed)


def main() -> None:
    """Print the table."""
    print("| way | nodes | loss | domain gone | watches | calls/s | messages | B/node | hops | s |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    for count in (12, 800):
        for item in outcomes(count, seed=1):
            cells = (
                item.way,
                f"{item.nodes}",
                f"{item.loss:.0%}",
                "yes" if item.is_domain_gone else "no",
                f"{item.waiting_watches}",
                f"{item.store_calls_per_s:.1f}",
                f"{item.messages}",
                f"{item.bytes_per_node:.0f}",
                f"{item.hops}",
                f"{item.seconds:.2f}",
            )
            print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
