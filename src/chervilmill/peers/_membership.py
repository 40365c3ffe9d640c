"""Tell live entry VMs from dead ones by gossiped heartbeats.

Each VM counts rounds and spreads the highest count it knows of every VM, after van Renesse, Minsky
and Hayden, "A Gossip-Style Failure Detection Service" (1998). A VM whose count stands still is dead
until it rises again. A VM that starts anew counts in a higher incarnation.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import xxhash

from chervilmill.peers._digest import Digest, HeartbeatEntry
from chervilmill.requests import CrashNews

FANOUT = 3  # peers told a round; reaches a hundred in five rounds
REVIVAL_FANOUT = 1  # dead peers told a round, so that parted halves find each other again
MAX_TOLD = 90  # heartbeats a datagram, so that it fits one packet
TOLD_FOR_S = 30.0  # after the last rise, so that a VM that starts anew hears where it had been
DEAD_AFTER_S = 3.0  # six rounds; a look-up must not name a dead VM for long


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
    incarnation: int
    counter: int
    is_serving: bool
    at_s: float


def peer_key(name: str) -> int:
    """Return the number by which digests name a VM."""
    return xxhash.xxh32_intdigest(name.encode())


class Membership:
    """Hold the heartbeats known to one entry VM; times are readings of one clock in seconds."""

    def __init__(self, name: str, incarnation: int, rng: random.Random) -> None:
        self._key = peer_key(name)
        self._incarnation = incarnation
        self._counter = 0
        self._is_serving = False
        self._heard: dict[int, _Heard] = {}
        self._peers: dict[int, Peer] = {}
        self._rng = rng

    def register(self, peers: Iterable[Peer]) -> None:
        """Take in the entry VMs that are registered in the store."""
        self._peers = {peer_key(peer.name): peer for peer in peers}

    def serve(self, is_serving: bool) -> None:
        """Tell the others from now on whether this VM takes callers."""
        self._is_serving = is_serving

    def beat(self) -> None:
        """Begin a round."""
        self._counter += 1

    def digest(
        self, revisions: dict[str, int], now_s: float, crashes: tuple[CrashNews, ...] = ()
    ) -> Digest:
        """Return what to tell in this round."""
        own = HeartbeatEntry(self._key, self._incarnation, self._counter, self._is_serving)
        known = [
            (key, heard) for key, heard in self._heard.items() if now_s - heard.at_s <= TOLD_FOR_S
        ]
        if len(known) > MAX_TOLD:
            known = self._rng.sample(known, MAX_TOLD)
        others = [
            HeartbeatEntry(key, heard.incarnation, heard.counter, heard.is_serving)
            for key, heard in known
        ]
        return Digest(self._key, (own, *others), revisions, crashes)

    def receive(self, digest: Digest, now_s: float) -> None:
        """Take in what another VM told."""
        for told in digest.heartbeats:
            if told.key == self._key:
                self._outlive(told)
                continue
            heard = self._heard.get(told.key)
            is_news = heard is None or (told.incarnation, told.counter) > (
                heard.incarnation,
                heard.counter,
            )
            if is_news:
                self._heard[told.key] = _Heard(
                    told.incarnation, told.counter, told.is_serving, now_s
                )

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
        others = {key: peer for key, peer in self._peers.items() if key != self._key}
        alive = [
            peer for key, peer in others.items() if self._state(key, now_s) != MemberState.DEAD
        ]
        if to_all:
            return alive
        dead = [peer for key, peer in others.items() if self._state(key, now_s) == MemberState.DEAD]
        told = self._rng.sample(alive, min(FANOUT, len(alive)))
        spare = FANOUT - len(told) + REVIVAL_FANOUT
        return told + self._rng.sample(dead, min(spare, len(dead)))

    def _state(self, key: int, now_s: float) -> MemberState:
        heard = self._heard.get(key)
        if heard is None or now_s - heard.at_s > DEAD_AFTER_S:
            return MemberState.DEAD
        return MemberState.SERVING if heard.is_serving else MemberState.IDLE

    def _outlive(self, told: HeartbeatEntry) -> None:
        """Count above an earlier lifetime of this VM that others still tell of."""
        if (told.incarnation, told.counter) > (self._incarnation, self._counter):
            self._incarnation = told.incarnation + 1
