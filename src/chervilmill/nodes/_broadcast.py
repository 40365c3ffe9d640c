"""Distribute load figures and short-lived broadcast items between nodes.

Loads are summed per failure domain on their way to the root. The root sends the sums to the heads,
and neighbours within a failure domain pass them on. What a node receives therefore grows with the
number of failure domains and not with the number of nodes. A broadcast item is flooded to every
node over all links. The rate and the number of items are bounded, and every item expires by itself.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._messages import (
    BroadcastItem,
    BroadcastItems,
    DomainLoad,
    LoadReport,
    LoadSummary,
)
from chervilmill.nodes._roles import NO_ROLES, Roles

REPORT_INTERVAL_S = 10.0
SUMMARY_INTERVAL_S = 10.0
LOAD_LIFETIME_S = 35.0
MAX_BROADCAST_ITEMS = 1024
MAX_VALUE_BYTES = 512
MAX_LIFETIME_MS = 24 * 3600 * 1000

BroadcastListener = Callable[[BroadcastItem], None]


@dataclass(frozen=True, slots=True)
class _ReceivedLoad:
    """A load figure and the time at which it expires."""

    load: DomainLoad
    until_s: float


class LoadAggregator:
    """Sums the loads on their way to the root and distributes the sums to all nodes."""

    def __init__(
        self,
        own_name: str,
        failure_domain: str,
        outbox: Outbox,
        domain_neighbours: Callable[[], Iterable[str]],
    ) -> None:
        self._own_name = own_name
        self._failure_domain = failure_domain
        self._outbox = outbox
        self._domain_neighbours = domain_neighbours
        self._roles = NO_ROLES
        self.own_in_flight: Callable[[], int] = lambda: 0
        self._node_loads: dict[str, _ReceivedLoad] = {}
        self._domain_loads: dict[str, _ReceivedLoad] = {}
        self._summary = LoadSummary(0, ())
        self._summary_until_s = 0.0
        self._last_report_s = float("-inf")
        self._last_summary_s = float("-inf")

    def set_roles(self, roles: Roles) -> None:
        """Set the roles that were derived from the membership."""
        self._roles = roles

    def loads(self, now: float) -> tuple[DomainLoad, ...]:
        """Return the load of each failure domain, or nothing if the last sums have expired."""
        return self._summary.loads if now < self._summary_until_s else ()

    def tick(self, now: float) -> None:
        """Send the reports and the summary that are due."""
        if now - self._last_report_s < REPORT_INTERVAL_S:
            return
        self._last_report_s = now
        self._report_to_head(now)
        if self._roles.head == self._own_name:
            self._report_to_root(now)
        if self._roles.root == self._own_name and now - self._last_summary_s >= SUMMARY_INTERVAL_S:
            self._last_summary_s = now
            self._publish_summary(now)

    def receive_report(self, peer: str, report: LoadReport, now: float) -> None:
        """Store the load of a node of this failure domain, or that of a domain from its head."""
        received = _ReceivedLoad(report.load, now + LOAD_LIFETIME_S)
        if report.load.nodes == 1 and peer in self._roles.served_nodes:
            self._node_loads[peer] = received
        if peer in self._roles.served_heads and report.load.nodes >= 1:
            self._domain_loads[report.load.failure_domain] = received

    def receive_summary(self, peer: str, summary: LoadSummary, now: float) -> None:
        """Store a newer summary and pass it on to the neighbours in the same failure domain."""
        if summary.sequence <= self._summary.sequence:
            return
        self._summary = summary
        self._summary_until_s = now + LOAD_LIFETIME_S
        for name in self._domain_neighbours():
            if name != peer:
                self._outbox.send(name, summary)

    def _report_to_head(self, now: float) -> None:
        own = DomainLoad(self._failure_domain, 1, self.own_in_flight())
        if self._roles.head == self._own_name:
            self._node_loads[self._own_name] = _ReceivedLoad(own, now + LOAD_LIFETIME_S)
        else:
            self._outbox.send(self._roles.head, LoadReport(own))

    def _report_to_root(self, now: float) -> None:
        self._node_loads = {
            name: received for name, received in self._node_loads.items() if now < received.until_s
        }
        loads = [received.load for received in self._node_loads.values()]
        in_flight = sum(load.in_flight for load in loads)
        total = DomainLoad(self._failure_domain, len(loads), in_flight)
        if self._roles.root == self._own_name:
            self._domain_loads[self._failure_domain] = _ReceivedLoad(total, now + LOAD_LIFETIME_S)
        else:
            self._outbox.send(self._roles.root, LoadReport(total))

    def _publish_summary(self, now: float) -> None:
        self._domain_loads = {
            name: received
            for name, received in self._domain_loads.items()
            if now < received.until_s
        }
        loads = tuple(self._domain_loads[name].load for name in sorted(self._domain_loads))
        summary = LoadSummary(self._summary.sequence + 1, loads)
        for name in sorted(self._roles.served_heads - {self._own_name}):
            self._outbox.send(name, summary)
        self.receive_summary(self._own_name, summary, now)


class Broadcaster:
    """Keeps the items of all topics until they expire, and passes new items on."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._items: dict[tuple[str, str], tuple[BroadcastItem, float]] = {}
        self._listeners: dict[str, list[BroadcastListener]] = {}

    def subscribe(self, topic: str, listener: BroadcastListener) -> None:
        """Call a listener, in the transport's thread, with every new item of a topic."""
        self._listeners.setdefault(topic, []).append(listener)

    def publish(self, item: BroadcastItem, now: float) -> None:
        """Send an item to every node."""
        self._accept(item, "", now)

    def receive(self, peer: str, message: BroadcastItems, now: float) -> None:
        """Store the items from a peer and pass on those that are new."""
        for item in message.items:
            self._accept(item, peer, now)

    def current(self, topic: str, now: float) -> tuple[BroadcastItem, ...]:
        """Return the items of a topic that have not expired."""
        items = (item for item, until_s in self._items.values() if now < until_s)
        return tuple(item for item in items if item.topic == topic)

    def send_current(self, peer: str, now: float) -> None:
        """Send the unexpired items, with their remaining lifetimes, to a peer that just joined."""
        unexpired = [(i, until_s) for i, until_s in self._items.values() if now < until_s]
        for item, until_s in unexpired:
            remaining_ms = int((until_s - now) * 1000)
            remaining = BroadcastItem(item.topic, item.key, item.sequence, remaining_ms, item.value)
            self._outbox.send(peer, BroadcastItems((remaining,)))

    def _accept(self, item: BroadcastItem, source: str, now: float) -> None:
        held = self._items.get((item.topic, item.key))
        is_old = held is not None and held[0].sequence >= item.sequence
        is_large = len(item.value) > MAX_VALUE_BYTES or item.lifetime_ms > MAX_LIFETIME_MS
        if is_old or is_large:
            return
        self._evict(now)
        self._items[item.topic, item.key] = (item, now + item.lifetime_ms / 1000)
        self._outbox.broadcast(BroadcastItems((item,)), except_peer=source)
        for listener in self._listeners.get(item.topic, ()):
            listener(item)

    def _evict(self, now: float) -> None:
        if len(self._items) < MAX_BROADCAST_ITEMS:
            return
        self._items = {key: held for key, held in self._items.items() if now < held[1]}
        while len(self._items) >= MAX_BROADCAST_ITEMS:
            del self._items[min(self._items, key=lambda key: self._items[key][1])]
