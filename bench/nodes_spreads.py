"""Compare strategies that propagate a configuration change to every node.

A strategy is a graph of links and a set of nodes that watch the store. The product's
ConfigurationReplicator, with its pushes and repairs, runs on that graph.
`python -m bench.nodes_spreads` prints the comparison as a table.
"""

import heapq
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

import xxhash

from bench.nodes_network import FRAME_AND_HEADER_BYTES, member
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

HEARTBEAT_INTERVAL_S = 0.8
STORE_DELAY_S = 0.06
MAX_DURATION_S = 30.0
SETTLE_S = 1.0
OBJECT_BYTES = 600
TREE_DEGREE = 4
GOSSIP_DEGREE = 6

Links = Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class Strategy:
    """A named graph of links, and the names of the nodes that watch the store."""

    name: str
    links: Links
    watchers: frozenset[str]


@dataclass(frozen=True, slots=True)
class Outcome:
    """The cost of one change; `seconds` is infinite if the change did not reach every node."""

    strategy: str
    nodes: int
    loss: float
    is_domain_gone: bool
    waiting_watches: int
    store_calls_per_s: float
    messages: int
    bytes_per_node: float
    hops: int
    seconds: float


def _bidirectional(pairs: set[tuple[str, str]], members: list[Member]) -> Links:
    links: dict[str, set[str]] = {m.name: set() for m in members}
    for first, second in pairs:
        if first != second:
            links[first].add(second)
            links[second].add(first)
    return {name: frozenset(peers) for name, peers in links.items()}


def _names_by_hash(members: list[Member]) -> list[str]:
    names = (member.name for member in members)
    return sorted(names, key=lambda name: xxhash.xxh64_intdigest(name.encode()))


def _ring_links(members: list[Member], _seed: int) -> Links:
    return _bidirectional({(m.name, p) for m in members for p in neighbours(m, members)}, members)


def _no_links(members: list[Member], _seed: int) -> Links:
    return _bidirectional(set(), members)


def _tree_links(members: list[Member], _seed: int) -> Links:
    names = _names_by_hash(members)
    pairs = {(names[i], names[(i - 1) // TREE_DEGREE]) for i in range(1, len(names))}
    return _bidirectional(pairs, members)


def _gossip_links(members: list[Member], seed: int) -> Links:
    rng = random.Random(seed)
    names = [m.name for m in members]
    count = min(GOSSIP_DEGREE // 2, len(names) - 1)
    pairs = {(n, peer) for n in names for peer in rng.sample([x for x in names if x != n], count)}
    return _bidirectional(pairs, members)


def _distance_halving_links(members: list[Member], _seed: int) -> Links:
    """Return the related paper's distance halving graph, one-dimensional with even segments."""
    names = _names_by_hash(members)
    count = len(names)
    pairs = {(names[i], names[(i + 1) % count]) for i in range(count)}
    for i in range(count):
        for low, high in ((i / 2, (i + 1) / 2), ((i + count) / 2, (i + count + 1) / 2)):
            covered = range(int(low), int(-(-high // 1)))
            pairs.update((names[i], names[j % count]) for j in covered)
    return _bidirectional(pairs, members)


_LINK_GRAPHS: dict[str, Callable[[list[Member], int], Links]] = {
    "watch per node": _no_links,
    "relays and rings": _ring_links,
    "relays and tree": _tree_links,
    "relays and gossip": _gossip_links,
    "relays and distance halving": _distance_halving_links,
}


def strategies(members: list[Member], seed: int) -> Iterator[Strategy]:
    """Yield every strategy for the given members."""
    by_name = {m.name: m for m in members}
    relays = frozenset(m.name for m in members if is_relay(m, by_name))
    for name, graph in _LINK_GRAPHS.items():
        watchers = frozenset(by_name) if graph is _no_links else relays
        yield Strategy(name, graph(members, seed), watchers)


class _Simulation:
    """A simulation of one change that propagates over the links of a strategy."""

    def __init__(
        self, strategy: Strategy, members: list[Member], lost_domain: str, loss: float, seed: int
    ) -> None:
        self.strategy = strategy
        self.members = {m.name: m for m in members if m.failure_domain != lost_domain}
        self.rng = random.Random(seed)
        self.loss = loss
        self.replicators: dict[str, ConfigurationReplicator] = {}
        self.outboxes: dict[str, Outbox] = {}
        self.hops: dict[str, int] = {}
        self.messages = 0
        self.bytes = 0
        # Entries hold the time, a tie-breaker, the source, the node, a message and its hop count.
        # The source is empty for a reading of the store, and the node itself for its own timer.
        self.events: list[tuple[float, int, str, str, Message, int]] = []
        for name in self.members:
            outbox = Outbox()
            outbox.links.update(strategy.links[name] & self.members.keys())
            self.outboxes[name] = outbox
            self.replicators[name] = ConfigurationReplicator(ConfigurationCache(), outbox)

    def run(self) -> float:
        """Run the simulation and return the time until every node has the change.

        The run goes on for `SETTLE_S` after that, so that later messages are counted as well.
        """
        change = StoredObject(CONFIGURATION_KIND, "intent/a", 1, bytes(OBJECT_BYTES))
        for name in sorted(self.strategy.watchers & self.members.keys()):
            at_s = STORE_DELAY_S * (1 + self.rng.random())
            self._schedule(at_s, "", name, ConfigurationObjects(()), 0)
        for name in sorted(self.members):
            self._schedule(
                self.rng.random() * HEARTBEAT_INTERVAL_S, name, name, Heartbeat(0, 0, 0, 0, 0, 0), 0
            )
        converged_s = float("inf")
        while self.events:
            now, _, source, name, message, hop = heapq.heappop(self.events)
            if now > min(MAX_DURATION_S, converged_s + SETTLE_S):
                break
            if not source:
                self.hops.setdefault(name, 0)
                self.replicators[name].merge_objects([change], "")
            elif source == name:
                self._send_heartbeats(name, now)
            else:
                self._receive(source, name, message, hop, now)
            self._send_queued(name, now)
            if len(self.hops) == len(self.members):
                converged_s = min(converged_s, now)
        return converged_s

    def _send_heartbeats(self, name: str, now: float) -> None:
        replicator = self.replicators[name]
        replicator.tick(now)
        heartbeat = Heartbeat(0, replicator.hash, 0, 0, 0, 0)
        for peer in sorted(self.outboxes[name].links):
            if self.rng.random() >= self.loss:
                self._schedule(now + self._delay_s(name, peer), name, peer, heartbeat, 0)
        self._schedule(now + HEARTBEAT_INTERVAL_S, name, name, heartbeat, 0)

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

    def _send_queued(self, name: str, now: float) -> None:
        for action in self.outboxes[name].take_actions():
            if not isinstance(action, Send):
                continue
            self.messages += 1
            self.bytes += len(encode(action.message)) + FRAME_AND_HEADER_BYTES
            if self.rng.random() >= self.loss:
                at_s = now + self._delay_s(name, action.peer)
                self._schedule(at_s, name, action.peer, action.message, self.hops.get(name, 0) + 1)

    def _delay_s(self, name: str, peer: str) -> float:
        is_same_region = self.members[name].region == self.members[peer].region
        return (0.003 if is_same_region else 0.055) * (1 + 0.2 * self.rng.random())

    def _schedule(self, at_s: float, source: str, name: str, message: Message, hop: int) -> None:
        event = (at_s, len(self.events) + self.rng.getrandbits(40), source, name, message, hop)
        heapq.heappush(self.events, event)


def measure(
    strategy: Strategy, members: list[Member], *, lost_domain: str, loss: float, seed: int
) -> Outcome:
    """Simulate one change and return its cost."""
    simulation = _Simulation(strategy, members, lost_domain, loss, seed)
    seconds = simulation.run()
    watchers = len(strategy.watchers & simulation.members.keys())
    return Outcome(
        strategy=strategy.name,
        nodes=len(members),
        loss=loss,
        is_domain_gone=bool(lost_domain),
        waiting_watches=watchers,
        store_calls_per_s=watchers / WATCH_TIMEOUT_S,
        messages=simulation.messages,
        bytes_per_node=simulation.bytes / len(simulation.members),
        hops=max(simulation.hops.values()),
        seconds=seconds,
    )


def outcomes(count: int, seed: int) -> Iterator[Outcome]:
    """Yield the outcome of every strategy, with message losses and with a lost failure domain."""
    regions, domains = (6, 3) if count > 100 else (3, 2)
    members = [member(index, regions, domains) for index in range(count)]
    for strategy in strategies(members, seed):
        for lost_domain, loss in (("", 0.0), ("", 0.01), ("", 0.05), ("region-1-1", 0.01)):
            yield measure(strategy, members, lost_domain=lost_domain, loss=loss, seed=seed)


def main() -> None:
    """Print the table of outcomes at 12 and 800 nodes."""
    print("| way | nodes | loss | domain gone | watches | calls/s | messages | B/node | hops | s |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    for count in (12, 800):
        for outcome in outcomes(count, seed=1):
            cells = (
                outcome.strategy,
                f"{outcome.nodes}",
                f"{outcome.loss:.0%}",
                "yes" if outcome.is_domain_gone else "no",
                f"{outcome.waiting_watches}",
                f"{outcome.store_calls_per_s:.1f}",
                f"{outcome.messages}",
                f"{outcome.bytes_per_node:.0f}",
                f"{outcome.hops}",
                f"{outcome.seconds:.2f}",
            )
            print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
