"""Detect which entry VMs are alive: a few VMs watch each VM, and only changes are sent to all.

Each VM counts rounds and sends its counter to its watchers as a heartbeat. A watcher that misses
heartbeats reports a suspicion. Any VM that knows a later heartbeat refutes the suspicion, above all
the suspected VM itself. A VM whose suspicion stands is dead until its counter rises again. What a
VM sends therefore doesn't grow with the fleet. After Das, Gupta and Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol" (2002), with the heartbeats of
van Renesse, Minsky and Hayden (1998) in place of its probes.

A restarted VM counts in a higher incarnation.
"""

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

import xxhash

from chervilmill.peers._digest import (
    FLAGGED_VERSION,
    PROTOCOL_VERSION,
    Digest,
    HeartbeatEntry,
)
from chervilmill.peers._dissemination import MAX_UPDATES_PER_DIGEST, TableCursor, UpdateQueue
from chervilmill.peers._replica import CopyProof
from chervilmill.peers._ring import WatchRing
from chervilmill.platform import StoreVersion

ROUND_S = 0.5  # SUSPECT_AFTER_S spans three rounds
RANDOM_FANOUT = 1  # random peers that receive a digest each round, besides the watchers
UPDATE_FANOUT = 3  # the same while updates are queued; reaches a thousand VMs in six rounds
READER_FANOUT = 12  # the same of a reader, from which changes of the store start
DEAD_PEER_FANOUT = 1  # dead peers a round, so that the halves of a partition find each other again
TABLE_SLICE_ENTRIES = 4  # table entries in a digest besides the updates
SUSPECT_AFTER_S = 1.5  # three lost datagrams in a row
PROBE_TIMEOUT_S = 1.0  # for the reply of a newly watched VM; two datagrams
DEAD_AFTER_S = 3.5  # leaves four rounds to refute a suspicion


class MemberState(Enum):
    """The state of an entry VM as another VM sees it."""

    SERVING = "serving"
    IDLE = "idle"  # starting or leaving: runs but takes no callers
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Peer:
    """An entry VM as it registered in the store."""

    name: str
    host: str
    failure_domain: str


@dataclass(slots=True)
class _PeerRecord:
    """The latest known heartbeat of a VM; `alive_at_s` is its time on the local clock."""

    incarnation: int
    counter: int
    is_serving: bool
    is_suspected: bool
    is_cut_off: bool
    alive_at_s: float
    is_version_6: bool = False

    @property
    def version(self) -> tuple[int, int]:
        return (self.incarnation, self.counter)

    @property
    def status(self) -> tuple[int, bool, bool, bool, bool]:
        return (
            self.incarnation,
            self.is_serving,
            self.is_suspected,
            self.is_cut_off,
            self.is_version_6,
        )


def peer_key(name: str) -> int:
    """Return the number that identifies a VM in digests."""
    return xxhash.xxh32_intdigest(name.encode())


class Membership:
    """The heartbeats known to one entry VM; all times are readings of one clock in seconds."""

    def __init__(
        self, name: str, incarnation: int, rng: random.Random, failure_domain: str = ""
    ) -> None:
        self._key = peer_key(name)
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._counter = 0
        self._is_serving = False
        self._is_cut_off = False
        self._records: dict[int, _PeerRecord] = {}
        self._peers: dict[int, Peer] = {}
        self._rng = rng
        self._updates: UpdateQueue[int] = UpdateQueue()
        self._table_cursor: TableCursor[int] = TableCursor()
        self._ring = WatchRing({})
        self._ring_keys: frozenset[int] = frozenset()
        self._readers: tuple[int, ...] = ()
        self._watched: frozenset[int] = frozenset()
        self._probed: set[int] = set()
        self._last_round_s: float | None = None
        self._revisions: dict[str, StoreVersion] = {}

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the known peers by the entry VMs that are registered in the store."""
        self._peers = {peer_key(peer.name): peer for peer in peers}

    def set_serving(self, is_serving: bool) -> None:
        """Set whether this VM announces that it takes callers."""
        self._is_serving = is_serving

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Set whether this VM announces that it reaches no target."""
        self._is_cut_off = is_cut_off
        self.raise_fanout()

    @property
    def reader_rank(self) -> int | None:
        """Return the place of this VM among the readers of the store, or None if it is none.

        A VM that has heard no registered peer yet cannot know its place.
        """
        if not self._records and self._peers.keys() - {self._key}:
            return None
        return self._readers.index(self._key) if self._key in self._readers else None

    def confirmation_receivers(self) -> list[Peer]:
        """Return the peers to tell at once that this VM has read the store.

        They are the other readers, which then need not read it, and as many VMs as a reader sends
        digests to in a round.
        """
        others = sorted(self._ring_keys - {self._key} - set(self._readers))
        readers = [key for key in self._readers if key != self._key]
        chosen = [*readers, *self._sample(others, max(0, READER_FANOUT - len(readers)))]
        return [self._peers[key] for key in chosen if key in self._peers]

    def relay_receivers(self) -> list[Peer]:
        """Return the peers to which this VM passes on at once that copies are confirmed.

        In a fleet whose readers reach all others themselves there are none.
        """
        if len(self._ring_keys) <= READER_FANOUT + 1:
            return []
        return [self._peers[key] for key in self._ring.relays(self._key) if key in self._peers]

    def begin_round(self, now_s: float) -> None:
        """Begin a round: suspect overdue VMs and update which VMs are watched."""
        self._counter += 1
        self._compensate_own_pause(now_s)
        for key in self._watched:
            record = self._records[key]
            if not record.is_suspected and now_s - record.alive_at_s > SUSPECT_AFTER_S:
                record.is_suspected = True
                self._queue_update(key)
        self._rebuild_ring(now_s)
        self._update_watched(now_s)

    def raise_fanout(self) -> None:
        """Send to more peers in the next rounds, as there is something new to tell."""
        self._queue_update(self._key)  # adds no entry

    def digest(
        self,
        revisions: dict[str, StoreVersion],
        now_s: float,
        confirmed_age_s: float | None = None,
        proofs: Mapping[str, CopyProof] | None = None,
    ) -> Digest:
        """Return the digest to send in this round."""
        if revisions != self._revisions:
            self._revisions = dict(revisions)
            self.raise_fanout()
        updated = [key for key in self._updates.next_updates() if key in self._records]
        table_slice = [
            key
            for key in self._table_cursor.next_slice(self._records, TABLE_SLICE_ENTRIES)
            if key not in updated
        ]
        return Digest(
            self._key,
            (self._own_entry(), *self._entries([*updated, *table_slice], now_s)),
            revisions,
            wants_reply=bool(self._probed),
            confirmed_age_s=confirmed_age_s,
            proofs=proofs or {},
        )

    def is_joining(self, digest: Digest, now_s: float) -> bool:
        """Return whether a digest, not yet received, is of a lifetime that is new or dead here."""
        known = self._records.get(digest.sender)
        own = next((entry for entry in digest.heartbeats if entry.key == digest.sender), None)
        if own is None:
            return False
        is_new = known is None or known.incarnation != own.incarnation
        return is_new or self._state(digest.sender, now_s) is MemberState.DEAD

    def receive(self, digest: Digest, now_s: float) -> tuple[Digest, ...]:
        """Merge the digest of another VM and return the replies to send.

        The reply is the whole table if the sender's incarnation is new here, or if the sender
        counted as dead until this digest.
        """
        before = self._records.get(digest.sender)
        was_dead = self._state(digest.sender, now_s) is MemberState.DEAD
        outdated = [
            entry.key for entry in digest.heartbeats if self._is_sender_behind(entry, digest.sender)
        ]
        for entry in digest.heartbeats:
            if entry.key != self._key:
                self._merge(entry, now_s)
        after = self._records.get(digest.sender)
        is_new = after is not None and (before is None or before.incarnation != after.incarnation)
        if is_new or (was_dead and self._state(digest.sender, now_s) is not MemberState.DEAD):
            return tuple(self._table_digests(now_s))
        return (self._make_reply(outdated, now_s),) if outdated or digest.wants_reply else ()

    def state(self, name: str, now_s: float) -> MemberState:
        """Return the state of a VM; a VM without any known heartbeat counts as dead."""
        return self._state(peer_key(name), now_s)

    def registered_peers(self) -> list[Peer]:
        """Return all peers, whether they are alive or not."""
        return [peer for key, peer in self._peers.items() if key != self._key]

    def serving_peers(self, now_s: float) -> list[Peer]:
        """Return the peers that take callers."""
        return [
            peer
            for key, peer in self._peers.items()
            if key != self._key and self._state(key, now_s) is MemberState.SERVING
        ]

    def peers_with_targets(self, now_s: float) -> list[Peer]:
        """Return the peers that take callers and are not cut off from all targets."""
        return [
            peer
            for peer in self.serving_peers(now_s)
            if not self._records[peer_key(peer.name)].is_cut_off
        ]

    def left_peers(self) -> list[Peer]:
        """Return the peers that have said that they take no callers, whether they are alive or not.

        They are leaving, gone after that, or have not begun to take callers.
        """
        known = ((peer, self._records.get(key)) for key, peer in self._peers.items())
        return [peer for peer, record in known if record is not None and not record.is_serving]

    def version_6_peers(self, now_s: float) -> list[Peer]:
        """Return the peers that take callers and are known to be of protocol version 6 or later."""
        return [
            peer
            for peer in self.serving_peers(now_s)
            if self._records[peer_key(peer.name)].is_version_6
        ]

    def uptime_s(self, name: str, now_s: float) -> float:
        """Return for how long a live VM has run, by its rounds and the age of its heartbeat."""
        record = self._records.get(peer_key(name))
        return record.counter * ROUND_S + now_s - record.alive_at_s if record is not None else 0.0

    def peer(self, key: int) -> Peer | None:
        """Return the peer with a key, or None if no such peer is registered."""
        return self._peers.get(key)

    def receivers(self, now_s: float, *, to_all: bool = False) -> list[Peer]:
        """Return the peers to send this round's digest to."""
        others = [key for key in self._peers if key != self._key]
        dead = [key for key in others if self._state(key, now_s) is MemberState.DEAD]
        alive = sorted({*others}.difference(dead))
        if to_all:
            return [self._peers[key] for key in alive]
        suspects = [key for key in self._watched if self._records[key].is_suspected]
        chosen = dict.fromkeys([*self._ring.watchers(self._key), *suspects, *self._probed])
        unchosen = [key for key in alive if key not in chosen]
        update_fanout = UPDATE_FANOUT if self.reader_rank is None else READER_FANOUT
        fanout = update_fanout if self._updates else RANDOM_FANOUT
        chosen.update(dict.fromkeys(self._sample(unchosen, fanout)))
        dead_fanout = max(0, RANDOM_FANOUT - len(unchosen)) + DEAD_PEER_FANOUT
        chosen.update(dict.fromkeys(self._sample(dead, dead_fanout)))
        return [self._peers[key] for key in chosen if key in self._peers and key != self._key]

    def _sample(self, keys: list[int], count: int) -> list[int]:
        return self._rng.sample(keys, min(count, len(keys)))

    def _state(self, key: int, now_s: float) -> MemberState:
        record = self._records.get(key)
        if record is None or (record.is_suspected and now_s - record.alive_at_s > DEAD_AFTER_S):
            return MemberState.DEAD
        return MemberState.SERVING if record.is_serving else MemberState.IDLE

    def _compensate_own_pause(self, now_s: float) -> None:
        """Extend the deadlines of the watched VMs by the time for which this VM was paused."""
        paused_s = now_s - self._last_round_s - ROUND_S if self._last_round_s is not None else 0.0
        self._last_round_s = now_s
        if paused_s > ROUND_S:
            for key in self._watched:
                self._records[key].alive_at_s += paused_s

    def _rebuild_ring(self, now_s: float) -> None:
        """Build a new ring if the set of live VMs has changed."""
        keys = frozenset(
            key
            for key in self._peers
            if key == self._key or self._state(key, now_s) is not MemberState.DEAD
        )
        if keys == self._ring_keys:
            return
        self._ring_keys = keys
        domains = {key: self._peers[key].failure_domain for key in keys}
        domains[self._key] = self._failure_domain
        self._ring = WatchRing(domains)
        self._readers = self._ring.readers()

    def _update_watched(self, now_s: float) -> None:
        """Watch the assigned VMs, or all live VMs if at least half of the assigned are suspected.

        The few survivors of a great loss then detect the dead VMs together, not one by one.
        """
        watched = self._ring.watched(self._key)
        suspected = sum(self._records[key].is_suspected for key in watched)
        if watched and 2 * suspected >= len(watched):
            watched = self._ring_keys - {self._key}
        for key in watched - self._watched:
            record = self._records[key]
            if not record.is_suspected:
                record.alive_at_s = max(
                    record.alive_at_s, now_s - SUSPECT_AFTER_S + PROBE_TIMEOUT_S
                )
                self._probed.add(key)
        self._probed = {key for key in self._probed if not self._records[key].is_suspected}
        self._watched = watched | self._probed

    def _is_sender_behind(self, entry: HeartbeatEntry, sender: int) -> bool:
        """Return whether the sender needs the entry that this VM has for the same VM.

        The sender needs the entry if it suspects a VM, possibly this VM, of which a later heartbeat
        is known here. It also needs the entry if its own counter is below the one known here from
        its earlier lifetime. If the entry is of an earlier lifetime of this VM, this VM raises its
        own incarnation.
        """
        if entry.key == self._key:
            return self._raise_incarnation(entry) or entry.is_suspected
        record = self._records.get(entry.key)
        if record is None or (entry.incarnation, entry.counter) >= record.version:
            return False
        return entry.key == sender or (entry.is_suspected and not record.is_suspected)

    def _raise_incarnation(self, entry: HeartbeatEntry) -> bool:
        """Move to an incarnation above that of an earlier lifetime which peers still know."""
        if (entry.incarnation, entry.counter) <= (self._incarnation, self._counter):
            return False
        self._incarnation = entry.incarnation + 1
        return True

    def _merge(self, entry: HeartbeatEntry, now_s: float) -> None:
        """Merge an entry, and queue it as an update if it changes the state of its VM."""
        record = self._records.get(entry.key)
        if record is not None and (entry.incarnation, entry.counter) < record.version:
            return
        alive_at_s = now_s - entry.age_s
        # Peers of earlier versions pass heartbeats on without this flag.
        is_version_6 = entry.is_version_6 or (
            record is not None and record.incarnation == entry.incarnation and record.is_version_6
        )
        if record is not None and (entry.incarnation, entry.counter) == record.version:
            if is_version_6 and not record.is_version_6:
                record.is_version_6 = True
                self._queue_update(entry.key)
            if entry.is_suspected and not record.is_suspected:
                record.is_suspected = True
                record.alive_at_s = min(record.alive_at_s, alive_at_s)
                self._queue_update(entry.key)
            else:
                self._updates.decrement(entry.key)
            return
        if not entry.is_suspected:
            self._probed.discard(entry.key)
        new = _PeerRecord(
            entry.incarnation,
            entry.counter,
            entry.is_serving,
            entry.is_suspected,
            entry.is_cut_off,
            alive_at_s,
            is_version_6,
        )
        self._records[entry.key] = new
        if record is None or new.status != record.status:
            self._queue_update(entry.key)
        else:
            self._updates.decrement(entry.key)

    def _queue_update(self, key: int) -> None:
        self._updates.add(key, len(self._peers))

    def _own_entry(self) -> HeartbeatEntry:
        return HeartbeatEntry(
            self._key,
            self._incarnation,
            self._counter,
            self._is_serving,
            is_cut_off=self._is_cut_off,
            is_version_6=PROTOCOL_VERSION >= FLAGGED_VERSION,
        )

    def _entries(self, keys: Iterable[int], now_s: float) -> Iterator[HeartbeatEntry]:
        for key in keys:
            record = self._records[key]
            yield HeartbeatEntry(
                key,
                record.incarnation,
                record.counter,
                record.is_serving,
                record.is_suspected,
                record.is_cut_off,
                max(0.0, now_s - record.alive_at_s),
                record.is_version_6,
            )

    def _make_reply(self, keys: Iterable[int], now_s: float) -> Digest:
        known = [key for key in keys if key in self._records]
        return Digest(self._key, (self._own_entry(), *self._entries(known, now_s)), self._revisions)

    def _table_digests(self, now_s: float) -> Iterator[Digest]:
        """Yield all known heartbeats, in digests that fit one packet each."""
        keys = list(self._records)
        for start in range(0, max(1, len(keys)), MAX_UPDATES_PER_DIGEST):
            yield self._make_reply(keys[start : start + MAX_UPDATES_PER_DIGEST], now_s)
