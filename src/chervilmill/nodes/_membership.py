"""Maintain the membership of the entry VMs: joining, suspicion, leaving and death.

Incarnations, suspicion and the dissemination of membership updates follow SWIM (Das et al., 2002).
The failure detector differs: SWIM's random probes would each need a new connection. Here a few
fixed neighbours of each node receive its heartbeats over links that stay open.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import replace

from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._dissemination import UpdateQueue
from chervilmill.nodes._members import Members, statuses
from chervilmill.nodes._messages import (
    Member,
    MembershipUpdates,
    MembersPull,
    MemberState,
    MemberStatus,
    Suspicion,
)
from chervilmill.nodes._overlay import neighbours
from chervilmill.nodes._suspicions import Suspicions

SUSPECT_AFTER_S = 2.6
MIN_OWN_PAUSE_S = 1.0  # a longer gap between two ticks means that this process was paused
DIAL_INTERVAL_S = 1.0
DIAL_DELAY_S = 0.5  # for the other side, so that two neighbours do not dial each other
SEEDS_PER_ATTEMPT = 3
UNUSED_LINK_TIMEOUT_S = 10.0
SUSPICION_INTERVAL_S = 8.0
REFUTE_INTERVAL_S = 0.2
MIN_PROBE_INTERVAL_S = 2.0
FLEET_PROBES_PER_S = 20.0  # of all nodes together
PULL_DELAY_S = 2.0
PULL_INTERVAL_S = 5.0
JOIN_PHASE_S = 5.0
JOIN_PULL_INTERVAL_S = 0.5
MAX_JOIN_PULLS = 2
MEMBERS_PER_MESSAGE = 100


class Membership:
    """Decides which links this node keeps and which members are alive."""

    def __init__(self, own: Member, outbox: Outbox, rng: random.Random) -> None:
        self.own = own
        self.members = Members()
        self._outbox = outbox
        self._rng = rng
        self._updates = UpdateQueue(outbox)
        self._suspicions = Suspicions(own.name)
        self._seeds: tuple[str, ...] = ()
        self._listed: Mapping[str, str] | None = None
        self._neighbours: frozenset[str] = frozenset()
        self._role_peers: frozenset[str] = frozenset()
        self._served_peers: frozenset[str] = frozenset()
        self._neighbours_key = (-1, -1)
        self._last_contact_s: dict[str, float] = {}
        self._last_needed_s: dict[str, float] = {}
        self._last_dialled_s: dict[str, float] = {}
        self._last_suspected_s: dict[str, float] = {}
        self._differs_since_s: dict[str, float] = {}
        self._last_pull_s = float("-inf")
        self._last_change_s = 0.0
        self._join_started_s = float("-inf")
        self._last_tick_s: float | None = None
        self._last_seed_dial_s = float("-inf")
        self._next_probe_s = 0.0
        self._last_refuted_s = float("-inf")

    def set_known_addresses(self, seeds: Iterable[str], listed: Mapping[str, str] | None) -> None:
        """Set the seed addresses and, by name, the addresses in the platform's list if known."""
        self._listed = listed
        others = {address for name, address in (listed or {}).items() if name != self.own.name}
        self._seeds = tuple(sorted(others.union(seeds) - {self.own.nodes}))

    def set_role_peers(self, dialled: frozenset[str], accepted: frozenset[str]) -> None:
        """Set the peers besides the neighbours whose links are kept.

        This node dials the peers in `dialled`, and keeps the links that the peers in `accepted`
        have opened. Neither kind of peer is observed for failures.
        """
        self._role_peers = dialled
        self._served_peers = accepted

    def is_neighbour(self, peer: str) -> bool:
        """Return whether this node and a peer observe each other by heartbeats."""
        return peer in self._neighbours

    @property
    def has_seeds(self) -> bool:
        """Return whether the address of any other node is known."""
        return bool(self._seeds)

    def link_opened(self, peer: Member, now: float) -> None:
        """Process a new link to a member."""
        self._last_needed_s[peer.name] = now
        self.record_contact(peer.name, now)
        self._merge_member(peer, "", now)
        held = self.members.get(peer.name)
        if held is not None and held != peer:
            self._outbox.send(peer.name, MembershipUpdates((), statuses([held]), ()))
        if now - self._join_started_s > JOIN_PHASE_S and len(self._last_needed_s) == 1:
            self._join_started_s = now
        if now - self._join_started_s < JOIN_PHASE_S and len(self._last_needed_s) <= MAX_JOIN_PULLS:
            self._outbox.send(peer.name, MembersPull(()))

    def link_closed(self, peer: str) -> None:
        """Process the end of the link to a member."""
        self._last_needed_s.pop(peer, None)
        self._differs_since_s.pop(peer, None)

    def record_contact(self, peer: str, now: float) -> None:
        """Record that a message of a peer has arrived, which shows that the peer is alive."""
        self._last_contact_s[peer] = now

    def receive_updates(self, peer: str, updates: MembershipUpdates, now: float) -> None:
        """Merge membership updates from a peer, and pass on those that are new."""
        before = self.members.generation
        for member in updates.members:
            self._merge_member(member, peer, now)
        for status in updates.statuses:
            self._merge_status(status, peer, now)
        for suspicion in updates.suspicions:
            self._merge_suspicion(suspicion, peer, now)
        if self.members.generation != before:
            self._last_change_s = now

    def receive_pull(self, peer: str, pull: MembersPull) -> None:
        """Send members to a peer.

        Without bucket hashes, these are all members; else, a random sample of the members in the
        buckets that differ.
        """
        wanted = self.members.in_differing_buckets(pull.bucket_hashes)
        if pull.bucket_hashes:
            wanted = self._rng.sample(wanted, min(len(wanted), MEMBERS_PER_MESSAGE))
        for start in range(0, len(wanted), MEMBERS_PER_MESSAGE):
            page = tuple(wanted[start : start + MEMBERS_PER_MESSAGE])
            self._outbox.send(peer, MembershipUpdates(page, (), ()))

    def receive_hash(self, peer: str, members_hash: int, now: float) -> None:
        """Compare a peer's hash of the members with the own, and pull if a difference persists."""
        if members_hash == self.members.hash:
            self._differs_since_s.pop(peer, None)
            return
        since_s = max(self._differs_since_s.setdefault(peer, now), self._last_change_s)
        is_joining = now - self._join_started_s < JOIN_PHASE_S
        delay_s = JOIN_PULL_INTERVAL_S if is_joining else PULL_DELAY_S
        interval_s = JOIN_PULL_INTERVAL_S if is_joining else PULL_INTERVAL_S
        if now - since_s >= delay_s and now - self._last_pull_s >= interval_s:
            self._last_pull_s = now
            self._outbox.send(peer, MembersPull(self.members.bucket_hashes))

    def tick(self, now: float) -> None:
        """Do all work that is due; must be called several times a second."""
        self._discount_own_pause(now)
        if self.members.get(self.own.name) is None:
            self._merge_member(self.own, "", now)
        self._choose_neighbours(now)
        self._dial_peers(now)
        self._dial_seeds(now)
        self._probe_missing(now)
        self._suspect_silent(now)
        self._declare_dead(now)
        self._close_unused_links(now)
        self._suspicions.expire(now)
        self.members.forget_dead(now)
        self.flush(now)

    @property
    def due_s(self) -> float | None:
        """Return when to call `flush`, or None if no update is pending."""
        return self._updates.due_s

    def flush(self, now: float) -> None:
        """Send the pending updates."""
        self._updates.flush(now)

    def leave(self, now: float) -> None:
        """Announce that this node is leaving; the node still passes messages on."""
        self._change_own(MemberState.LEAVING, now)

    def announce_end(self, now: float) -> None:
        """Announce that this node is about to stop."""
        self._change_own(MemberState.DEAD, now)

    def _change_own(self, state: MemberState, now: float) -> None:
        self.own = replace(self.own, state=state)
        self.members.merge(self.own, now)
        self._updates.add(statuses([self.own])[0], "", now)

    def _merge_member(self, member: Member, source: str, now: float) -> None:
        if member.name == self.own.name and member != self.own:
            self._refute(member.incarnation, member.state, now)
            return
        held = self.members.get(member.name)
        if not self.members.merge(member, now):
            return
        self._suspicions.clear(member.name)
        is_address_known = held is not None and held.nodes == member.nodes
        self._updates.add(statuses([member])[0] if is_address_known else member, source, now)
        if member.state is not MemberState.DEAD:
            self._replace_at_address(member, now)

    def _merge_status(self, status: MemberStatus, source: str, now: float) -> None:
        if status.name == self.own.name:
            self._refute(status.incarnation, status.state, now)
        elif self.members.merge_status(status, now):
            self._suspicions.clear(status.name)
            self._updates.add(status, source, now)

    def _merge_suspicion(self, suspicion: Suspicion, source: str, now: float) -> None:
        if suspicion.name == self.own.name:
            if suspicion.incarnation == self.own.incarnation:
                self._refute(suspicion.incarnation, MemberState.DEAD, now)
            return
        held = self.members.get(suspicion.name)
        if held is None or held.incarnation != suspicion.incarnation:
            return
        if held.state is not MemberState.DEAD and self._suspicions.add(suspicion, now):
            self._updates.add(suspicion, source, now)

    def _refute(self, incarnation: int, state: MemberState, now: float) -> None:
        if self.own.state is MemberState.DEAD:
            return
        if (incarnation, state) <= (self.own.incarnation, self.own.state):
            return
        if now - self._last_refuted_s < REFUTE_INTERVAL_S:
            return
        self._last_refuted_s = now
        self.own = replace(self.own, incarnation=incarnation + 1)
        self.members.merge(self.own, now)
        self._updates.add(statuses([self.own])[0], "", now)

    def _replace_at_address(self, member: Member, now: float) -> None:
        for old in self.members.others_at_address(member):
            older = min(old, member, key=lambda m: (m.incarnation, m.name))
            if older.name != self.own.name:
                self._merge_status(
                    MemberStatus(older.name, older.incarnation, MemberState.DEAD), "", now
                )

    def _discount_own_pause(self, now: float) -> None:
        """Extend the peers' deadlines by the time for which this process was paused."""
        gap_s = 0.0 if self._last_tick_s is None else now - self._last_tick_s
        self._last_tick_s = now
        if gap_s > MIN_OWN_PAUSE_S:
            self._last_contact_s = {
                peer: last_contact_s + gap_s
                for peer, last_contact_s in self._last_contact_s.items()
            }

    def _choose_neighbours(self, now: float) -> None:
        key = (self.members.generation, self._suspicions.generation)
        if key == self._neighbours_key:
            return
        self._neighbours_key = key
        eligible = [m for m in self.members.present() if not self._suspicions.is_excluded(m.name)]
        before, self._neighbours = self._neighbours, neighbours(self.own, eligible)
        for peer in self._neighbours - before:
            self._last_contact_s[peer] = now
            self._last_dialled_s.pop(peer, None)

    def _dial_peers(self, now: float) -> None:
        for peer in sorted((self._neighbours | self._role_peers) - self._outbox.links):
            waits_for_peer = peer in self._neighbours and peer < self.own.name
            earliest_s = self._last_contact_s.get(peer, now) + (
                DIAL_DELAY_S if waits_for_peer else 0.0
            )
            retry_s = self._last_dialled_s.get(peer, float("-inf")) + DIAL_INTERVAL_S
            member = self.members.get(peer)
            if member is not None and now >= max(earliest_s, retry_s):
                self._last_dialled_s[peer] = now
                self._outbox.dial(peer, self._address(member))

    def _address(self, member: Member) -> str:
        """Return a member's address in this region's list of VMs, or the one that it announces."""
        return (self._listed or {}).get(member.name, member.nodes)

    def _dial_seeds(self, now: float) -> None:
        if self._outbox.links or now - self._last_seed_dial_s < DIAL_INTERVAL_S:
            return
        self._last_seed_dial_s = now
        count = min(SEEDS_PER_ATTEMPT, len(self._seeds))
        for address in self._rng.sample(self._seeds, count):
            self._outbox.dial("", address)

    def _probe_missing(self, now: float) -> None:
        """Dial one member that was declared dead, or a seed or listed VM that is not a member.

        This lets partitioned parts of the fleet find each other again.
        """
        if now < self._next_probe_s:
            return
        present = {self._address(member) for member in self.members.present()}
        interval_s = max(MIN_PROBE_INTERVAL_S, len(present) / FLEET_PROBES_PER_S)
        self._next_probe_s = now + interval_s * (0.75 + 0.5 * self._rng.random())
        known = {self._address(member) for member in self.members.dead()}
        candidates = sorted((known | set(self._seeds)) - present - {self.own.nodes})
        if candidates:
            self._outbox.dial("", self._rng.choice(candidates))

    def _suspect_silent(self, now: float) -> None:
        for peer in sorted(self._neighbours):
            member = self.members.get(peer)
            if member is None or now - self._last_contact_s[peer] < SUSPECT_AFTER_S:
                continue
            if now - self._last_suspected_s.get(peer, float("-inf")) < SUSPICION_INTERVAL_S:
                continue
            self._last_suspected_s[peer] = now
            suspicion = Suspicion(peer, member.incarnation, self.own.name)
            self._merge_suspicion(suspicion, "", now)

    def _declare_dead(self, now: float) -> None:
        if not self._suspicions.suspected_names():
            return
        present = sum(1 for _ in self.members.present())
        listed = self._listed
        unlisted = [
            n for n in self._suspicions.suspected_names() if listed is not None and n not in listed
        ]
        for name, incarnation in self._suspicions.confirmed_dead(now, unlisted, present):
            self.members.merge_status(MemberStatus(name, incarnation, MemberState.DEAD), now)
            self._suspicions.clear(name)
            self._outbox.close(name)

    def _close_unused_links(self, now: float) -> None:
        for peer, last_needed_s in list(self._last_needed_s.items()):
            if peer in self._neighbours or peer in self._role_peers or peer in self._served_peers:
                self._last_needed_s[peer] = now
            elif now - last_needed_s > UNUSED_LINK_TIMEOUT_S:
                self._outbox.close(peer)
