"""Simulate the network between many nodes on a virtual clock.

Only the transport is simulated: every node runs the product's NodeMachine. Messages are delayed,
lost at random, or dropped on cut-off links and between partitioned regions. Bytes are counted as
the product's codec encodes them, plus headers.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from chervilmill.coordination import ConfigurationCache
from chervilmill.nodes._actions import Close, Dial, Send
from chervilmill.nodes._allotments import NEW_ALLOTTER_WAIT_S, NO_CAPS, Caps
from chervilmill.nodes._codec import encode
from chervilmill.nodes._machine import TICK_S, NodeMachine
from chervilmill.nodes._messages import Member, MemberState, Message

INTRA_REGION_DELAY_S = 0.003
INTER_REGION_DELAY_S = 0.055
DIAL_TIMEOUT_S = 1.0
FRAME_AND_HEADER_BYTES = 4 + 52
MAX_PACKET_BODY_BYTES = 1448


@dataclass(slots=True)
class Node:
    """A node of the network, with counts of what the node has sent and received."""

    own: Member
    held: ConfigurationCache
    machine: NodeMachine
    is_running: bool = True
    sent_bytes: int = 0
    received_bytes: int = 0
    messages: Counter[str] = field(default_factory=Counter)


class Network:
    """A simulated network whose nodes run on a virtual clock."""

    def __init__(self, seed: int, loss: float = 0.0, caps: Caps = NO_CAPS) -> None:
        self.now = 0.0
        self.loss = loss
        self.nodes: dict[str, Node] = {}
        self.cut_off_regions: set[str] = set()
        self.dialled = 0
        self.cut_off_links: set[frozenset[str]] = set()
        self._paused_until_s: dict[str, float] = {}
        self.caps = caps
        self.is_store_up = True
        self._allotter = ("", 0)
        self._names_by_address: dict[str, str] = {}
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._size_cache: dict[int, tuple[Message, int]] = {}

    def add(self, own: Member, seeds: Iterable[str]) -> Node:
        """Start a node that knows only the seed addresses."""
        held = ConfigurationCache()
        rng = random.Random(f"{own.name}{own.incarnation}")
        machine = NodeMachine(own, held, rng, self.caps, lambda: self._allotter_epoch(own.name))
        machine.membership.set_known_addresses(seeds, None)
        node = Node(own, held, machine)
        self.nodes[own.name] = node
        self._names_by_address[own.nodes] = own.name
        self._schedule(self._rng.random() * TICK_S, lambda: self._tick(node))
        return node

    def stop(self, name: str) -> None:
        """Stop a node without warning; its peers see their links close."""
        node = self.nodes[name]
        node.is_running = False
        for peer in list(node.machine.outbox.links):
            self._close_link(name, peer)

    def pause(self, name: str, seconds: float) -> None:
        """Suspend a node; messages that arrive meanwhile are delivered afterwards."""
        self._paused_until_s[name] = self.now + seconds

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance the clock and return whether `until` became true; stop early if so."""
        end_s = self.now + seconds
        last_check_s = self.now
        while self._events and self._events[0][0] <= end_s:
            self.now, _, event = heapq.heappop(self._events)
            event()
            if until is not None and self.now - last_check_s >= TICK_S / 4:
                last_check_s = self.now
                if until():
                    return True
        self.now = end_s
        return until is not None and until()

    def reset_counts(self) -> None:
        """Reset the byte and message counts of all nodes."""
        for node in self.nodes.values():
            node.sent_bytes = node.received_bytes = 0
            node.messages.clear()

    def act(self, node: Node) -> None:
        """Carry out the actions that a node's machine has queued."""
        for action in node.machine.take_actions():
            if isinstance(action, Send):
                self._send(node, action)
            elif isinstance(action, Dial):
                self._dial(node, action)
            else:
                self._close(node, action)
        due_s = node.machine.due_s
        if due_s is not None:
            self._schedule(max(0.0, due_s - self.now), lambda: self._flush(node))

    def _allotter_epoch(self, name: str) -> int:
        """Return the epoch of the allotter's lease, or 0 if another node holds it.

        The lease goes to the root, and to the next root once its holder has stopped.
        """
        holder, epoch = self._allotter
        is_lease_free = not holder or not self.nodes[holder].is_running
        if is_lease_free and self.is_store_up and self.nodes[name].machine.roles.root == name:
            self._allotter = (name, epoch + 1)
        return self._allotter[1] if self._allotter[0] == name else 0

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, event))

    def _tick(self, node: Node) -> None:
        pause_s = self._remaining_pause_s(node)
        if pause_s > 0:
            self._schedule(pause_s, lambda: self._tick(node))
        elif node.is_running:
            node.machine.tick(self.now)
            self.act(node)
            self._schedule(TICK_S, lambda: self._tick(node))

    def _flush(self, node: Node) -> None:
        due_s = node.machine.due_s
        if self._remaining_pause_s(node) > 0:
            return
        if node.is_running and due_s is not None and due_s <= self.now:
            node.machine.flush(self.now)
            self.act(node)

    def _send(self, node: Node, action: Send) -> None:
        size = self._wire_bytes(action.message)
        node.sent_bytes += size
        node.messages[type(action.message).__name__] += 1
        peer = self.nodes[action.peer]
        if self._is_cut_off(node, peer) or self._rng.random() < self.loss:
            return
        self._schedule(self._delay_s(node, peer), lambda: self._receive(node, peer, action, size))

    def _receive(self, node: Node, peer: Node, action: Send, size: int) -> None:
        pause_s = self._remaining_pause_s(peer)
        if pause_s > 0:
            self._schedule(pause_s, lambda: self._receive(node, peer, action, size))
        elif peer.is_running and node.own.name in peer.machine.outbox.links:
            peer.received_bytes += size
            peer.machine.receive(node.own.name, action.message, self.now)
            self.act(peer)

    def _dial(self, node: Node, action: Dial) -> None:
        self.dialled += 1
        name = self._names_by_address.get(action.address, "")
        peer = self.nodes.get(name)
        if peer is None or not peer.is_running or self._is_cut_off(node, peer) or peer is node:
            return
        self._schedule(3 * self._delay_s(node, peer), lambda: self._open_link(node, peer))

    def _open_link(self, node: Node, peer: Node) -> None:
        if not (node.is_running and peer.is_running) or self._is_cut_off(node, peer):
            return
        pause_s = max(self._remaining_pause_s(node), self._remaining_pause_s(peer))
        if pause_s > 0:
            self._schedule(pause_s, lambda: self._open_link(node, peer))
            return
        for local, remote in ((node, peer), (peer, node)):
            if remote.own.name not in local.machine.outbox.links:
                local.machine.link_opened(remote.machine.membership.own, self.now)
                self.act(local)

    def _close(self, node: Node, action: Close) -> None:
        self._close_link(node.own.name, action.peer)

    def _close_link(self, first: str, second: str) -> None:
        for name, peer in ((first, second), (second, first)):
            machine = self.nodes[name].machine
            if peer in machine.outbox.links:
                machine.link_closed(peer)

    def _remaining_pause_s(self, node: Node) -> float:
        return self._paused_until_s.get(node.own.name, 0.0) - self.now

    def _is_cut_off(self, node: Node, peer: Node) -> bool:
        if frozenset((node.own.name, peer.own.name)) in self.cut_off_links:
            return True
        regions = {node.own.region, peer.own.region}
        return len(regions) == 2 and bool(regions & self.cut_off_regions)

    def _delay_s(self, node: Node, peer: Node) -> float:
        is_same_region = node.own.region == peer.own.region
        base_s = INTRA_REGION_DELAY_S if is_same_region else INTER_REGION_DELAY_S
        return base_s * (1.0 + 0.2 * self._rng.random())

    def _wire_bytes(self, message: Message) -> int:
        entry = self._size_cache.get(id(message))
        if entry is None or entry[0] is not message:
            body = len(encode(message))
            packets = 1 + body // MAX_PACKET_BODY_BYTES
            entry = (message, body + packets * FRAME_AND_HEADER_BYTES)
            self._size_cache = {} if len(self._size_cache) > 10_000 else self._size_cache
            self._size_cache[id(message)] = entry
        return entry[1]


def member(index: int, regions: int, domains_per_region: int, incarnation: int = 1) -> Member:
    """Return the member of an index; indexes spread evenly over regions and failure domains."""
    region = f"region-{index % regions}"
    domain = f"{region}-{index // regions % domains_per_region}"
    address = f"10.{index // 65536}.{index // 256 % 256}.{index % 256}"
    nodes, callers = f"{address}:8082", f"{address}:8080"
    return Member(f"entry-{index}", region, domain, nodes, callers, incarnation, MemberState.LIVE)


def running_network(
    count: int,
    seed: int,
    loss: float = 0.0,
    *,
    regions: int = 3,
    domains_per_region: int = 2,
    caps: Caps = NO_CAPS,
) -> Network:
    """Return a network whose nodes already know each other and divide the caps, if any."""
    network = Network(seed, 0.0, caps)
    members = [member(index, regions, domains_per_region) for index in range(count)]
    for own in members:
        node = network.add(own, [other.nodes for other in members[:3]])
        for other in members:
            node.machine.membership.members.merge(other, 0.0)
        node.machine.configuration.confirm(0.0)
        node.machine.vms.merge_reading((), 0.0)
    network.run(NEW_ALLOTTER_WAIT_S + 5.0 if caps is not NO_CAPS else 10.0)
    network.loss = loss
    network.run(5.0)
    network.reset_counts()
    return network


def live_views(network: Network) -> dict[str, Any]:
    """Return, for each running node, the names of the members that it considers present."""
    return {
        name: {m.name for m in node.machine.membership.members.present()}
        for name, node in network.nodes.items()
        if node.is_running
    }
