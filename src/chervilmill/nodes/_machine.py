"""Join the state machines of one node behind four inputs: time, links and messages."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from chervilmill.coordination import HeldConfiguration, Vm, VmRole, WatchResult
from chervilmill.nodes import _messages as messages
from chervilmill.nodes._actions import Action, Outbox
from chervilmill.nodes._allotments import NO_CAPS, Allotments, AllotterEpoch, Caps, nobody
from chervilmill.nodes._configuration import ConfigurationSpread
from chervilmill.nodes._heads import NO_ROLES, choose_roles
from chervilmill.nodes._membership import Membership
from chervilmill.nodes._messages import Heartbeat, Member, MembersPull, Message, VmChanges
from chervilmill.nodes._news import LoadSpread, NewsSpread
from chervilmill.nodes._vms import VmSpread

HEARTBEAT_INTERVAL_S = 0.8
ROLE_HEARTBEAT_INTERVAL_S = 30.0
TICK_S = 0.2
MAX_AGE_MS = 2**31


class NodeMachine:
    """Hold all that a node does together with its peers, without sockets, threads or clocks.

    `now` is a monotonic clock reading in seconds. After any input `take` returns the actions.
    """

    def __init__(
        self,
        own: Member,
        held: HeldConfiguration,
        rng: random.Random,
        caps: Caps = NO_CAPS,
        allotter_epoch: AllotterEpoch = nobody,
    ) -> None:
        self.outbox = Outbox()
        self.membership = Membership(own, self.outbox, rng)
        self.configuration = ConfigurationSpread(held, self.outbox)
        self.vms = VmSpread(own.region, self.outbox)
        self.loads = LoadSpread(own.name, own.failure_domain, self.outbox, self._near_peers)
        self.news = NewsSpread(self.outbox)
        life = f"{own.name}/{rng.getrandbits(32):08x}"
        self.allotments = Allotments(life, caps, self.outbox, allotter_epoch)
        self.roles = NO_ROLES
        self._roles_generation = -1
        self._role_peers: frozenset[str] = frozenset()
        self._settings_seeds: tuple[str, ...] = ()
        self._heartbeat_s: dict[str, float] = {}
        self._handlers: dict[type[Any], Callable[[str, Any, float], None]] = {
            Heartbeat: self._receive_heartbeat,
            messages.Rumours: self.membership.receive_rumours,
            messages.MembersPull: self._receive_members_pull,
            messages.ConfigurationNotice: self.configuration.receive_notice,
            messages.ConfigurationPull: lambda p, m, _: self.configuration.receive_pull(p, m),
            messages.ConfigurationGet: lambda p, m, _: self.configuration.receive_get(p, m),
            messages.ConfigurationObjects: lambda p, m, _: self.configuration.receive_objects(p, m),
            messages.ConfigurationEnd: lambda _p, m, _n: self.configuration.receive_end(m),
            messages.VmChanges: self._receive_list,
            messages.VmsPull: lambda p, _m, _n: self.vms.receive_pull(p),
            messages.NodeRequest: self.allotments.receive_node_request,
            messages.HeadRequest: self.allotments.receive_head_request,
            messages.GrantToNode: lambda _, m, n: self.allotments.receive_node_grant(m, n),
            messages.GrantToHead: lambda _, m, n: self.allotments.receive_head_grant(m, n),
            messages.NodeAskAgain: lambda _p, m, _n: self.allotments.receive_ask_again(m),
            messages.HeadAskAgain: lambda _p, m, _n: self.allotments.receive_ask_again(m),
            messages.LoadReport: self.loads.receive_report,
            messages.LoadSummary: self.loads.receive_summary,
            messages.News: self.news.receive,
        }

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take the node addresses of the settings, written as `IP:port`."""
        self._settings_seeds = tuple(seeds)
        self.membership.hint(self._settings_seeds, None)

    def read_list(self, vms: Iterable[Vm], now: float) -> None:
        """Take a reading of the platform's list of VMs."""
        self.vms.read(vms, now)
        self._hint()

    def read_configuration(self, seen: WatchResult, now: float) -> None:
        """Take what a watch of the store saw; only a store that is not behind confirms."""
        self.configuration.offer(seen.changed, "")
        if seen.version >= self.configuration.revision:
            self.configuration.confirm(now)

    def linked(self, peer: Member, now: float) -> None:
        """Take notice of a link whose handshake is done."""
        self.outbox.links.add(peer.name)
        self._heartbeat_s[peer.name] = now
        self.membership.linked(peer, now)
        self.configuration.linked(peer.name)
        self.vms.tick(now)

    def unlinked(self, peer: str) -> None:
        """Take notice of a link that has ended."""
        self.outbox.links.discard(peer)
        self._heartbeat_s.pop(peer, None)
        self.membership.unlinked(peer)
        self.configuration.unlinked(peer)

    def receive(self, peer: str, message: Message, now: float) -> None:
        """Handle one message of a linked peer; handshake messages are ignored."""
        self.membership.heard(peer, now)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message, now)

    def tick(self, now: float) -> None:
        """Do what has become due; call it every TICK_S."""
        self.membership.tick(now)
        self._choose_roles()
        self.configuration.tick(now)
        self.vms.tick(now)
        self.allotments.tick(now)
        self.loads.tick(now)
        self._send_heartbeats(now)

    @property
    def due_s(self) -> float | None:
        """Return when to call `flush`, or None while nothing waits."""
        return self.membership.due_s

    def flush(self, now: float) -> None:
        """Pass on changes of the membership that were held back for a moment."""
        self.membership.flush(now)

    def take(self) -> list[Action]:
        """Return the actions that the last inputs led to."""
        return self.outbox.take()

    def _choose_roles(self) -> None:
        members = self.membership.members
        if self._roles_generation == members.generation:
            return
        self._roles_generation = members.generation
        own = self.membership.own
        self.roles = choose_roles(own, members.present())
        self.allotments.set_roles(self.roles)
        self.loads.set_roles(self.roles)
        dialled, accepted = self.roles.peers(own.name), self.roles.served(own.name)
        self._role_peers = dialled | accepted
        self.membership.keep(dialled, accepted)

    def _near_peers(self) -> list[str]:
        domain = self.membership.own.failure_domain
        watched = filter(self.membership.is_watched, sorted(self.outbox.links))
        held = (self.membership.members.get(name) for name in watched)
        return [m.name for m in held if m is not None and m.failure_domain == domain]

    def _receive_members_pull(self, peer: str, pull: MembersPull, now: float) -> None:
        self.membership.receive_pull(peer, pull)
        if not pull.bucket_hashes:
            self.news.tell_newcomer(peer, now)

    def _receive_list(self, peer: str, changes: VmChanges, now: float) -> None:
        self.vms.receive(peer, changes, now)
        self._hint()

    def _hint(self) -> None:
        entries = [vm for vm in self.vms.current() if vm.role is VmRole.ENTRY]
        listed = {vm.name: str(vm.nodes) for vm in entries if vm.nodes is not None}
        self.membership.hint(self._settings_seeds, listed)

    def _send_heartbeats(self, now: float) -> None:
        due = [
            p
            for p, s in self._heartbeat_s.items()
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
            _milliseconds(now - self.vms.read_s),
        )
        for peer in due:
            self._heartbeat_s[peer] = now
            self.outbox.send(peer, heartbeat)

    def _heartbeat_interval_s(self, peer: str) -> float:
        """Return how often a peer hears from this node; reports stand in between head and node."""
        if peer in self._role_peers and not self.membership.is_watched(peer):
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
