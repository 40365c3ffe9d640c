"""Tell live entry VMs from dead ones: a few watch each, and only changes are told to all.

Each VM counts rounds and sends its count to its watchers. A watcher that waits in vain tells so;
whoever has a later sign of life answers, the VM itself above all, and a VM whose silence stands is
dead until it counts on. So what a VM sends doesn't grow with the fleet. After Das, Gupta and
Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(2002), with the heartbeats of van Renesse, Minsky and Hayden (1998) in place of its probes.

A VM that starts anew counts in a higher incarnation.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

import xxhash

from chervilmill.peers._digest import Digest, HeartbeatEntry
from chervilmill.peers._news import MAX_TOLD, NewsQueue, TableWalk
from chervilmill.peers._ring import WatchRing
from chervilmill.requests import CrashNews

ROUND_S = 0.5  # three rounds fit the time after which a VM counts as silent
FANOUT = 1  # peers told a round besides the watchers, chosen at random
NEWS_FANOUT = 3  # the same while there is news; reaches a thousand in six rounds
REVIVAL_FANOUT = 1  # dead peers told a round, so that parted halves find each other again
SLICE = 4  # entries of the table a digest besides the news
SILENT_AFTER_S = 1.5  # three lost datagrams in a row
PROBE_S = 1.0  # for the answer of a VM that this one begins to watch; two datagrams
DEAD_AFTER_S = 3.5  # leaves four rounds for the answer to a report of silence


class MemberState(Enum):
    """Say what is believed of an entry VM."""

    SERVING = "serving"
    IDLE = "idle"  # starting or leaving: runs, and takes no callers
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Peer:
    """Describe an entry VM as it registered."""

    name: str
    host: str
    failure_domain: str


@dataclass(slots=True)
class _Heard:
    """Hold the last sign of life of a VM; `at_s` is when the VM gave it, on the own clock."""

    incarnation: int
    counter: int
    is_serving: bool
    is_silent: bool
    at_s: float

    @property
    def position(self) -> tuple[int, int]:
        return (self.incarnation, self.counter)

    @property
    def belief(self) -> tuple[int, bool, bool]:
        return (self.incarnation, self.is_serving, self.is_silent)


def peer_key(name: str) -> int:
    """Return the number by which digests name a VM."""
    return xxhash.xxh32_intdigest(name.encode())


class Membership:
    """Hold the signs of life known to one entry VM; times are readings of one clock in seconds."""

    def __init__(
        self, name: str, incarnation: int, rng: random.Random, failure_domain: str = ""
    ) -> None:
        self._key = peer_key(name)
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._counter = 0
        self._is_serving = False
        self._heard: dict[int, _Heard] = {}
        self._peers: dict[int, Peer] = {}
        self._rng = rng
        self._news = NewsQueue()
        self._walk = TableWalk()
        self._ring = WatchRing({})
        self._ring_keys: frozenset[int] = frozenset()
        self._watched: frozenset[int] = frozenset()
        self._probed: set[int] = set()
        self._beat_s: float | None = None
        self._revisions: dict[str, int] = {}

    def register(self, peers: Iterable[Peer]) -> None:
        """Take in the entry VMs that are registered in the store."""
        self._peers = {peer_key(peer.name): peer for peer in peers}

    def serve(self, is_serving: bool) -> None:
        """Tell the others from now on whether this VM takes callers."""
        self._is_serving = is_serving

    def beat(self, now_s: float) -> None:
        """Begin a round."""
        self._counter += 1
        self._forgive_own_pause(now_s)
        for key in self._watched:
            heard = self._heard[key]
            if not heard.is_silent and now_s - heard.at_s > SILENT_AFTER_S:
                heard.is_silent = True
                self._tell(key)
        self._renew_ring(now_s)
        self._renew_watch(now_s)

    def digest(
        self, revisions: dict[str, int], now_s: float, crashes: tuple[CrashNews, ...] = ()
    ) -> Digest:
        """Return what to tell in this round."""
        if revisions != self._revisions or crashes:
            self._revisions = dict(revisions)
            self._tell(self._key)  # nothing of this VM, but more peers are told
        news = [key for key in self._news.take() if key in self._heard]
        rest = [key for key in self._walk.take(self._heard, SLICE) if key not in news]
        return Digest(
            self._key,
            (self._own(), *self._entries([*news, *rest], now_s)),
            revisions,
            crashes,
            wants_answer=bool(self._probed),
        )

    def receive(self, digest: Digest, now_s: float) -> tuple[Digest, ...]:
        """Take in what another VM told, and return the answers to it.

        A VM in a lifetime that is news here, or thought dead, is answered with the whole table.
        """
        before = self._heard.get(digest.sender)
        was_dead = self._state(digest.sender, now_s) is MemberState.DEAD
        behind = [told.key for told in digest.heartbeats if self._is_behind(told, digest.sender)]
        for told in digest.heartbeats:
            if told.key != self._key:
                self._take(told, now_s)
        after = self._heard.get(digest.sender)
        is_new = after is not None and (before is None or before.incarnation != after.incarnation)
        if is_new or (was_dead and self._state(digest.sender, now_s) is not MemberState.DEAD):
            return tuple(self._table(now_s))
        return (self._reply(behind, now_s),) if behind or digest.wants_answer else ()

    def state(self, name: str, now_s: float) -> MemberState:
        """Return what is believed of a VM; one never heard of counts as dead."""
        return self._state(peer_key(name), now_s)

    def live(self, now_s: float) -> list[Peer]:
        """Return the peers that take callers."""
        return [
            peer
            for key, peer in self._peers.items()
            if key != self._key and self._state(key, now_s) is MemberState.SERVING
        ]

    def peer(self, key: int) -> Peer | None:
        """Return the peer with a key, or None where it is not registered."""
        return self._peers.get(key)

    def receivers(self, now_s: float, *, to_all: bool = False) -> list[Peer]:
        """Return the peers to tell in this round."""
        others = [key for key in self._peers if key != self._key]
        dead = [key for key in others if self._state(key, now_s) is MemberState.DEAD]
        alive = sorted({*others}.difference(dead))
        if to_all:
            return [self._peers[key] for key in alive]
        suspects = [key for key in self._watched if self._heard[key].is_silent]
        chosen = dict.fromkeys([*self._ring.watchers(self._key), *suspects, *self._probed])
        rest = [key for key in alive if key not in chosen]
        fanout = NEWS_FANOUT if self._news else FANOUT
        chosen.update(dict.fromkeys(self._sample(rest, fanout)))
        spare = max(0, FANOUT - len(rest)) + REVIVAL_FANOUT
        chosen.update(dict.fromkeys(self._sample(dead, spare)))
        return [self._peers[key] for key in chosen if key in self._peers and key != self._key]

    def _sample(self, keys: list[int], count: int) -> list[int]:
        return self._rng.sample(keys, min(count, len(keys)))

    def _state(self, key: int, now_s: float) -> MemberState:
        heard = self._heard.get(key)
        if heard is None or (heard.is_silent and now_s - heard.at_s > DEAD_AFTER_S):
            return MemberState.DEAD
        return MemberState.SERVING if heard.is_serving else MemberState.IDLE

    def _forgive_own_pause(self, now_s: float) -> None:
        """Leave the others as long as before, where this VM itself stood still."""
        paused_s = now_s - self._beat_s - ROUND_S if self._beat_s is not None else 0.0
        self._beat_s = now_s
        if paused_s > ROUND_S:
            for key in self._watched:
                self._heard[key].at_s += paused_s

    def _renew_ring(self, now_s: float) -> None:
        """Order those alive in a ring anew, where others are alive than before."""
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

    def _renew_watch(self, now_s: float) -> None:
        """Watch whom the ring says, or everybody where half of those are silent.

        So the few that survive a great loss don't find the others out one after the other.
        """
        watched = self._ring.watched(self._key)
        silent = sum(self._heard[key].is_silent for key in watched)
        if watched and 2 * silent >= len(watched):
            watched = self._ring_keys - {self._key}
        for key in watched - self._watched:
            heard = self._heard[key]
            if not heard.is_silent:
                heard.at_s = max(heard.at_s, now_s - SILENT_AFTER_S + PROBE_S)
                self._probed.add(key)
        self._probed = {key for key in self._probed if not self._heard[key].is_silent}
        self._watched = watched | self._probed

    def _is_behind(self, told: HeartbeatEntry, sender: int) -> bool:
        """Return whether the sender must hear what this VM knows of a VM.

        That is so where it takes a VM for silent that gave a later sign of life, this VM among
        them, and where it counts itself below what is known of an earlier lifetime of its own.
        """
        if told.key == self._key:
            return self._outlive(told) or told.is_silent
        heard = self._heard.get(told.key)
        if heard is None or (told.incarnation, told.counter) >= heard.position:
            return False
        return told.key == sender or (told.is_silent and not heard.is_silent)

    def _outlive(self, told: HeartbeatEntry) -> bool:
        """Count above an earlier lifetime of this VM that others still tell of."""
        if (told.incarnation, told.counter) <= (self._incarnation, self._counter):
            return False
        self._incarnation = told.incarnation + 1
        return True

    def _take(self, told: HeartbeatEntry, now_s: float) -> None:
        """Take in an entry, and tell it on if it changes what is believed."""
        heard = self._heard.get(told.key)
        if heard is not None and (told.incarnation, told.counter) < heard.position:
            return
        at_s = now_s - told.age_s
        if heard is not None and (told.incarnation, told.counter) == heard.position:
            if told.is_silent and not heard.is_silent:
                heard.is_silent = True
                heard.at_s = min(heard.at_s, at_s)
                self._tell(told.key)
            else:
                self._news.lose_interest(told.key)
            return
        if not told.is_silent:
            self._probed.discard(told.key)
        new = _Heard(told.incarnation, told.counter, told.is_serving, told.is_silent, at_s)
        self._heard[told.key] = new
        if heard is None or new.belief != heard.belief:
            self._tell(told.key)
        else:
            self._news.lose_interest(told.key)

    def _tell(self, key: int) -> None:
        self._news.add(key, len(self._peers))

    def _own(self) -> HeartbeatEntry:
        return HeartbeatEntry(self._key, self._incarnation, self._counter, self._is_serving)

    def _entries(self, keys: Iterable[int], now_s: float) -> Iterator[HeartbeatEntry]:
        for key in keys:
            heard = self._heard[key]
            yield HeartbeatEntry(
                key,
                heard.incarnation,
                heard.counter,
                heard.is_serving,
                heard.is_silent,
                max(0.0, now_s - heard.at_s),
            )

    def _reply(self, keys: Iterable[int], now_s: float) -> Digest:
        known = [key for key in keys if key in self._heard]
        return Digest(self._key, (self._own(), *self._entries(known, now_s)), self._revisions)

    def _table(self, now_s: float) -> Iterator[Digest]:
        """Yield all that is known of registered VMs, in datagrams of one packet."""
        keys = list(self._heard)
        for at in range(0, max(1, len(keys)), MAX_TOLD):
            yield self._reply(keys[at : at + MAX_TOLD], now_s)
