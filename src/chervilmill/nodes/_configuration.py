"""Replicate configuration objects between nodes and repair the effects of lost messages.

Small objects are pushed over every link. For a large object only the version is announced, and
each node fetches the value once. A hash in the heartbeats reveals any remaining difference. The
higher version of an object always wins, so neither reordered messages nor a stale answer of the
store can replace a newer object by an older one.
"""

from collections.abc import Iterable

import xxhash

from chervilmill.coordination import CONFIGURATION_KIND, ConfigurationCache, StoredObject
from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._messages import (
    ConfigurationAnnouncement,
    ConfigurationEnd,
    ConfigurationFetch,
    ConfigurationObject,
    ConfigurationObjects,
    ConfigurationPull,
    ObjectVersion,
)

MAX_PUSHED_BYTES = 1024
MAX_PAGE_BYTES = 256 * 1024
FETCH_RETRY_INTERVAL_S = 0.4
INITIAL_PULL_PEERS = 3
PULL_AFTER_DIFFERENCE_S = 0.6


class _PendingFetch:
    """An announced object that this node has not received yet, and the peers that have it."""

    __slots__ = ("version", "sources", "last_request_s")

    def __init__(self, version: int) -> None:
        self.version = version
        self.sources: list[str] = []
        self.last_request_s = float("-inf")


class ConfigurationReplicator:
    """Keeps this node's copy of the configuration up to date and passes changes on to peers."""

    def __init__(self, cache: ConfigurationCache, outbox: Outbox) -> None:
        self._cache = cache
        self._outbox = outbox
        self._versions: dict[str, int] = {}
        self._fetches: dict[str, _PendingFetch] = {}
        self._differs_since_s: dict[str, float] = {}
        self._confirmed_s = float("-inf")
        self.confirmation = 0
        self.hash = 0
        self.is_complete = False
        self.has_peer_copy = False
        self._expected_objects: int | None = None

    @property
    def revision(self) -> int:
        """Return the highest version of the objects on this node."""
        return max(self._versions.values(), default=0)

    def confirm(self, at_s: float) -> None:
        """Record that the store has confirmed that this node's copy was current at a time."""
        self._confirmed_s = max(self._confirmed_s, at_s)
        self.confirmation += 1
        self.is_complete = True

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation by the store that this node knows of."""
        return now - self._confirmed_s

    def merge_objects(self, objects: Iterable[StoredObject], source: str) -> None:
        """Merge objects from a peer, or from the store if `source` is empty; pass on newer ones."""
        newer = [stored for stored in objects if self._is_newer(stored.name, stored.version)]
        if not newer:
            return
        for stored in newer:
            self._record_version(stored)
        self._cache.receive(newer)
        self._check_completeness()
        small = [stored for stored in newer if len(stored.value) <= MAX_PUSHED_BYTES]
        large = [stored for stored in newer if len(stored.value) > MAX_PUSHED_BYTES]
        if small:
            self._outbox.broadcast(
                ConfigurationObjects(tuple(map(_to_message, small))), except_peer=source
            )
        if large:
            announced = tuple(ObjectVersion(stored.name, stored.version) for stored in large)
            self._outbox.broadcast(ConfigurationAnnouncement(announced), except_peer=source)

    def link_opened(self, peer: str) -> None:
        """Pull missing objects if this is one of the first links; later, hashes reveal them."""
        if len(self._outbox.links) <= INITIAL_PULL_PEERS:
            self._send_pull(peer)

    def link_closed(self, peer: str) -> None:
        """Discard the state of the comparison with a peer."""
        self._differs_since_s.pop(peer, None)

    def receive_objects(self, peer: str, message: ConfigurationObjects) -> None:
        """Merge the objects that a peer has sent."""
        self.merge_objects([_to_stored(item) for item in message.objects], peer)

    def receive_end(self, end: ConfigurationEnd) -> None:
        """Record the number of objects in the complete copy of a peer."""
        self._expected_objects = end.objects
        self._check_completeness()

    def _check_completeness(self) -> None:
        if self._expected_objects is not None and len(self._versions) >= self._expected_objects:
            self.is_complete = True
            self.has_peer_copy = True

    def receive_announcement(
        self, peer: str, announcement: ConfigurationAnnouncement, now: float
    ) -> None:
        """Fetch the announced objects that are newer, each from one peer at a time."""
        for item in announcement.objects:
            if not self._is_newer(item.name, item.version):
                continue
            fetch = self._fetches.get(item.name)
            if fetch is None or fetch.version < item.version:
                fetch = self._fetches[item.name] = _PendingFetch(item.version)
            fetch.sources.append(peer)
        self.tick(now)

    def receive_fetch(self, peer: str, fetch: ConfigurationFetch) -> None:
        """Send the requested object to a peer."""
        stored = self._cache.snapshot().objects.get(fetch.name)
        if stored is not None:
            self._outbox.send(peer, ConfigurationObjects((_to_message(stored),)))

    def receive_pull(self, peer: str, pull: ConfigurationPull) -> None:
        """Send every object that a peer lacks, and pull if the peer has newer objects itself."""
        theirs = {item.name: item.version for item in pull.held}
        for page in _pages(self._cache.snapshot().objects.values(), theirs):
            self._outbox.send(peer, ConfigurationObjects(page))
        if self.is_complete:
            self._outbox.send(peer, ConfigurationEnd(len(self._versions)))
        if any(self._is_newer(name, version) for name, version in theirs.items()):
            self._send_pull(peer)

    def receive_confirmation(self, number: int, age_s: float, now: float) -> None:
        """Record a newer confirmation.

        An equal number is the same confirmation that came by another path. It is ignored, so that
        its age does not appear lower than it is.
        """
        if number > self.confirmation:
            self.confirmation = number
            self._confirmed_s = max(self._confirmed_s, now - age_s)

    def receive_hash(self, peer: str, peer_hash: int, now: float) -> None:
        """Compare a peer's configuration hash with the own, and pull if a difference persists."""
        if peer_hash == self.hash:
            self._differs_since_s.pop(peer, None)
            return
        since_s = self._differs_since_s.setdefault(peer, now)
        if now - since_s >= PULL_AFTER_DIFFERENCE_S:
            self._differs_since_s[peer] = now
            self._send_pull(peer)

    def tick(self, now: float) -> None:
        """Request announced objects; without an answer, retry with the next peer that has them."""
        for name, fetch in self._fetches.items():
            if fetch.sources and now - fetch.last_request_s >= FETCH_RETRY_INTERVAL_S:
                fetch.last_request_s = now
                peer = fetch.sources.pop(0)
                fetch.sources.append(peer)
                self._outbox.send(peer, ConfigurationFetch(name))

    def _send_pull(self, peer: str) -> None:
        held = tuple(ObjectVersion(name, v) for name, v in sorted(self._versions.items()))
        self._outbox.send(peer, ConfigurationPull(held))

    def _is_newer(self, name: str, version: int) -> bool:
        return version > self._versions.get(name, 0)

    def _record_version(self, stored: StoredObject) -> None:
        before = self._versions.get(stored.name)
        if before is not None:
            self.hash ^= _fingerprint(stored.name, before)
        self.hash ^= _fingerprint(stored.name, stored.version)
        self._versions[stored.name] = stored.version
        fetch = self._fetches.get(stored.name)
        if fetch is not None and fetch.version <= stored.version:
            del self._fetches[stored.name]


def _fingerprint(name: str, version: int) -> int:
    return xxhash.xxh32_intdigest(f"{name}:{version}".encode())


def _to_message(stored: StoredObject) -> ConfigurationObject:
    return ConfigurationObject(stored.name, stored.version, stored.value)


def _to_stored(item: ConfigurationObject) -> StoredObject:
    return StoredObject(CONFIGURATION_KIND, item.name, item.version, item.value)


def _pages(
    objects: Iterable[StoredObject], theirs: dict[str, int]
) -> Iterable[tuple[ConfigurationObject, ...]]:
    page: list[ConfigurationObject] = []
    page_bytes = 0
    for stored in objects:
        if stored.version <= theirs.get(stored.name, 0):
            continue
        if page and page_bytes + len(stored.value) > MAX_PAGE_BYTES:
            yield tuple(page)
            page, page_bytes = [], 0
        page.append(_to_message(stored))
        page_bytes += len(stored.value)
    if page:
        yield tuple(page)
