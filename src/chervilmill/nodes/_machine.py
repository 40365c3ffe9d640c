"""Combine the protocols of one node in a state machine without sockets, threads or clocks."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from chervilmill.coordination import ConfigurationCache, Vm, VmRole, WatchResult
from chervilmill.nodes import _messages as messages
from chervilmill.nodes._actions import Action, Outbox
from chervilmill.nodes._allotments import NO_CAPS, Allotments, AllotterEpoch, Caps, no_epoch
from chervilmill.nodes._broadcast import Broadcaster, LoadAggregator
from chervilmill.nodes._configuration import ConfigurationReplicator
from chervilmill.nodes._membership import Membership
from chervilmill.nodes._messages import Heartbeat, Member, MembersPull, Message, VmChanges
from chervilmill.nodes._roles import NO_ROLES, choose_roles
from chervilmill.nodes._vm_list import VmListReplicator

HEARTBEAT_INTERVAL_S = 0.8
ROLE_HEARTBEAT_INTERVAL_S = 30.0
TICK_S = 0.2
MAX_AGE_MS = 2**31


class NodeMachine:
    """The protocols between a node and its peers, driven by explicit inputs.

    The inputs are the passing of time, links, messages and readings of the platform. `now` is a
    monotonic clock reading in seconds. After any input, `take_actions` returns the resulting
    actions.
    """

    def __init__(
        self,
        own: Member,
        cache: ConfigurationCache,
        rng: random.Random,
        caps: Caps = NO_CAPS,
        allotter_epoch: AllotterEpoch = no_epoch,
    ) -> None:
        self.outbox = Outbox()
        self.membership = Membership(own, self.outbox, rng)
        self.configuration = ConfigurationReplicator(cache, self.outbox)
        self.vms = VmListReplicator(own.region, self.outbox)
        self.loads = LoadAggregator(
            own.name, own.failure_domain, self.outbox, self._domain_neighbours
        )
        self.broadcaster = Broadcaster(self.outbox)
        instance = f"{own.name}/{rng.getrandbits(32):08x}"
        self.allotments = Allotments(instance, caps, self.outbox, allotter_epoch)
        self.roles = NO_ROLES
        self._roles_generation = -1
        self._role_peers: frozenset[str] = frozenset()
        self._settings_seeds: tuple[str, ...] = ()
        self._heartbeat_sent_s: dict[str, float] = {}
        self._handlers: dict[type[Any], Callable[[str, Any, float], None]] = {
            Heartbeat: self._receive_heartbeat,
            messages.MembershipUpdates: self.membership.receive_updates,
            messages.MembersPull: self._receive_members_pull,
            messages.ConfigurationAnnouncement: self.configuration.receive_announcement,
            messages.ConfigurationPull: lambda p, m, _: self.configuration.receive_pull(p, m),
            messages.ConfigurationFetch: lambda p, m, _: self.configuration.receive_fetch(p, m),
            messages.ConfigurationObjects: lambda p, m, _: self.configuration.receive_objects(p, m),
            messages.ConfigurationEnd: lambda _p, m, _n: self.configuration.receive_end(m),
            messages.VmChanges: self._receive_vm_changes,
            messages.VmsPull: lambda p, _m, _n: self.vms.receive_pull(p),
            messages.NodeRequest: self.allotments.receive_node_request,
            messages.HeadRequest: self.allotments.receive_head_request,
            messages.GrantToNode: lambda _, m, n: self.allotments.receive_node_grant(m, n),
            messages.GrantToHead: lambda _, m, n: self.allotments.receive_head_grant(m, n),
            messages.NodeRenewalHint: lambda _p, m, _n: self.allotments.receive_renewal_hint(m),
            messages.HeadRenewalHint: lambda _p, m, _n: self.allotments.receive_renewal_hint(m),
            messages.LoadReport: self.loads.receive_report,
            messages.LoadSummary: self.loads.receive_summary,
            messages.BroadcastItems: self.broadcaster.receive,
        }

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the node addresses from the settings, written as `IP:port`."""
        self._settings_seeds = tuple(seeds)
        self.membership.set_known_addresses(self._settings_seeds, None)

    def receive_vm_list(self, vms: Iterable[Vm], now: float) -> None:
        """Process a reading of the platform's list of VMs."""
        self.vms.merge_reading(vms, now)
        self._update_known_addresses()

    def receive_configuration(self, result: WatchResult, sent_s: float) -> None:
        """Process the result of a watch that was sent to the store at a time.

        The result confirms this node's copy only if the store is not behind the copy, and only as
        of that time: the answer may have waited on its way, or in a process that stood still.
        """
        self.configuration.merge_objects(result.changed, "")
        if result.version >= self.configuration.revision:
            self.configuration.confirm(sent_s)

    def link_opened(self, peer: Member, now: float) -> None:
        """Process a new link, after its handshake."""
        self.outbox.links.add(peer.name)
        self._heartbeat_sent_s[peer.name] = now
        self.membership.link_opened(peer, now)
        self.configuration.link_opened(peer.name)
        self.vms.tick(now)

    def link_closed(self, peer: str) -> None:
        """Process the end of a link."""
        self.outbox.links.discard(peer)
        self._heartbeat_sent_s.pop(peer, None)
        self.membership.link_closed(peer)
        self.configuration.link_closed(peer)

    def receive(self, peer: str, message: Message, now: float) -> None:
        """Process a message of a linked peer; handshake messages are ignored."""
        self.membership.record_contact(peer, now)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message, now)

    def tick(self, now: float) -> None:
        """Do all work that is due; must be called every TICK_S."""
        self.membership.tick(now)
        self._choose_roles()
        self.configuration.tick(now)
        self.vms.tick(now)
        self.allotments.tick(now)
        self.loads.tick(now)
        self._send_heartbeats(now)

    @property
    def due_s(self) -> float | None:
        """Return when to call `flush`, or None if no membership update is pending."""
        return self.membership.due_s

    def flush(self, now: float) -> None:
        """Send the membership updates that were delayed to be sent in one message."""
        self.membership.flush(now)

    def take_actions(self) -> list[Action]:
        """Return the actions that result from the inputs since the last call."""
        return self.outbox.take_actions()

    def _choose_roles(self) -> None:
        members = self.membership.members
        if self._roles_generation == members.generation:
            return
        self._roles_generation = members.generation
        own = self.membership.own
        self.roles = choose_roles(own, members.present())
        self.allotments.set_roles(self.roles)
        self.loads.set_roles(self.roles)
        dialled, accepted = self.roles.upstream_peers(own.name), self.roles.served_peers(own.name)
        self._role_peers = dialled | accepted
        self.membership.set_role_peers(dialled, accepted)

    def _domain_neighbours(self) -> list[str]:
        domain = self.membership.own.failure_domain
        neighbours = filter(self.membership.is_neighbour, sorted(self.outbox.links))
        held = (self.membership.members.get(name) for name in neighbours)
        return [m.name for m in held if m is not None and m.failure_domain == domain]

    def _receive_members_pull(self, peer: str, pull: MembersPull, now: float) -> None:
        self.membership.receive_pull(peer, pull)
        if not pull.bucket_hashes:
            self.broadcaster.send_current(peer, now)

    def _receive_vm_changes(self, peer: str, changes: VmChanges, now: float) -> None:
        self.vms.receive(peer, changes, now)
        self._update_known_addresses()

    def _update_known_addresses(self) -> None:
        entries = [vm for vm in self.vms.current() if vm.role is VmRole.ENTRY]
        listed = {vm.name: str(vm.nodes) for vm in entries if vm.nodes is not None}
        self.membership.set_known_addresses(self._settings_seeds, listed)

    def _send_heartbeats(self, now: float) -> None:
        due = [
            p
            for p, s in self._heartbeat_sent_s.items()
            if now - s > self._heartbeat_interval_s(p) - TICK_S / 2
        ]
        if not due:
            return
        configuration = self.configuration
        heartbeat = Heartbeat(
            self.membership.members.hash,
            configuration.hash,
            configuration.confirmation,
            _milliseconds(configuration.age_s(now)),
            self.vms.reading,
            _milliseconds(now - self.vms.last_reading_s),
        )
        for peer in due:
            self._heartbeat_sent_s[peer] = now
            self.outbox.send(peer, heartbeat)

    def _heartbeat_interval_s(self, peer: str) -> float:
        """Return how often to send heartbeats to a peer.

        Heads and served nodes that are not neighbours get few heartbeats, because the reports
        between node and head take their place.
        """
        if peer in self._role_peers and not self.membership.is_neighbour(peer):
            return ROLE_HEARTBEAT_INTERVAL_S
        return HEARTBEAT_INTERVAL_S

    def _receive_heartbeat(self, peer: str, heartbeat: Heartbeat, now: float) -> None:
        self.membership.receive_hash(peer, heartbeat.members_hash, now)
        self.configuration.receive_hash(peer, heartbeat.configuration_hash, now)
        if heartbeat.configuration_hash == self.configuration.hash:
            age_s = heartbeat.age_ms / 1000
            self.configuration.receive_confirmation(heartbeat.confirmation, age_s, now)
        self.vms.receive_reading(heartbeat.reading, heartbeat.reading_age_ms / 1000, now)


def _milliseconds(age_s: float) -> int:
    return int(min(age_s * 1000, MAX_AGE_MS))
