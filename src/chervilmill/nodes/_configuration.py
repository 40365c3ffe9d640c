"""Spread configuration objects between nodes and repair what was lost on the way.

Small objects are pushed over every link; of large ones only the version is announced and each
node fetches the value once. A hash in the heartbeats shows a difference that remained. Objects
merge by version, so no order of messages and no old answer of a store can take one back.
"""

from collections.abc import Iterable

import xxhash

from chervilmill.coordination import CONFIGURATION_KIND, HeldConfiguration, StoredObject
from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._messages import (
    ConfigurationEnd,
    ConfigurationGet,
    ConfigurationNotice,
    ConfigurationObject,
    ConfigurationObjects,
    ConfigurationPull,
    ObjectVersion,
)

PUSHED_BYTES = 1024
PAGE_BYTES = 256 * 1024
ASK_AGAIN_S = 0.4
FIRST_PEERS = 3
DIFFERENCE_S = 0.6


class _Fetch:
    """Follow one object that was announced and is not here yet."""

    __slots__ = ("version", "sources", "asked_s")

    def __init__(self, version: int) -> None:
        self.version = version
        self.sources: list[str] = []
        self.asked_s = float("-inf")


class ConfigurationSpread:
    """Bring every configuration object to this node and on to its peers."""

    def __init__(self, held: HeldConfiguration, outbox: Outbox) -> None:
        self._held = held
        self._outbox = outbox
        self._versions: dict[str, int] = {}
        self._fetches: dict[str, _Fetch] = {}
        self._differs_s: dict[str, float] = {}
        self._confirmed_s = float("-inf")
        self.confirmation = 0
        self.hash = 0
        self.is_whole = False
        self.is_told = False
        self._told_objects: int | None = None

    @property
    def revision(self) -> int:
        """Return the highest version held."""
        return max(self._versions.values(), default=0)

    def confirm(self, now: float) -> None:
        """Note that the store has just confirmed the configuration held."""
        self._confirmed_s = now
        self.confirmation += 1
        self.is_whole = True

    def age_s(self, now: float) -> float:
        """Return the time since the store last confirmed what is held, as far as is known."""
        return now - self._confirmed_s

    def offer(self, objects: Iterable[StoredObject], source: str) -> None:
        """Merge objects of the store (no source) or of a peer and pass on what is news."""
        news = [stored for stored in objects if self._is_news(stored.name, stored.version)]
        if not news:
            return
        for stored in news:
            self._note(stored)
        self._held.receive(news)
        self._check_told()
        small = [stored for stored in news if len(stored.value) <= PUSHED_BYTES]
        large = [stored for stored in news if len(stored.value) > PUSHED_BYTES]
        if small:
            self._outbox.spread(ConfigurationObjects(tuple(map(_message, small))), but=source)
        if large:
            named = tuple(ObjectVersion(stored.name, stored.version) for stored in large)
            self._outbox.spread(ConfigurationNotice(named), but=source)

    def linked(self, peer: str) -> None:
        """Ask the first peers for what is missing here; hashes show what is missing later."""
        if len(self._outbox.links) <= FIRST_PEERS:
            self._pull(peer)

    def unlinked(self, peer: str) -> None:
        """Forget what was measured against a peer."""
        self._differs_s.pop(peer, None)

    def receive_objects(self, peer: str, message: ConfigurationObjects) -> None:
        """Merge the objects that a peer sent."""
        self.offer([_stored(item) for item in message.objects], peer)

    def receive_end(self, end: ConfigurationEnd) -> None:
        """Note how many objects make up what a peer holds."""
        self._told_objects = end.objects
        self._check_told()

    def _check_told(self) -> None:
        if self._told_objects is not None and len(self._versions) >= self._told_objects:
            self.is_whole = True
            self.is_told = True

    def receive_notice(self, peer: str, notice: ConfigurationNotice, now: float) -> None:
        """Fetch announced objects, each from one peer at a time."""
        for item in notice.objects:
            if not self._is_news(item.name, item.version):
                continue
            fetch = self._fetches.get(item.name)
            if fetch is None or fetch.version < item.version:
                fetch = self._fetches[item.name] = _Fetch(item.version)
            fetch.sources.append(peer)
        self.tick(now)

    def receive_get(self, peer: str, get: ConfigurationGet) -> None:
        """Send one object to a peer."""
        stored = self._held.snapshot().objects.get(get.name)
        if stored is not None:
            self._outbox.send(peer, ConfigurationObjects((_message(stored),)))

    def receive_pull(self, peer: str, pull: ConfigurationPull) -> None:
        """Send everything that a peer lacks, and take a difference the other way as a hint."""
        theirs = {item.name: item.version for item in pull.held}
        for page in _pages(self._held.snapshot().objects.values(), theirs):
            self._outbox.send(peer, ConfigurationObjects(page))
        if self.is_whole:
            self._outbox.send(peer, ConfigurationEnd(len(self._versions)))
        if any(self._is_news(name, version) for name, version in theirs.items()):
            self._pull(peer)

    def receive_confirmation(self, number: int, age_s: float, now: float) -> None:
        """Take a newer confirmation; an equal one went round and must not look younger for it."""
        if number > self.confirmation:
            self.confirmation = number
            self._confirmed_s = now - age_s

    def receive_hash(self, peer: str, peer_hash: int, now: float) -> None:
        """Compare a peer's configuration with the own and repair a difference that lasts."""
        if peer_hash == self.hash:
            self._differs_s.pop(peer, None)
            return
        since_s = self._differs_s.setdefault(peer, now)
        if now - since_s >= DIFFERENCE_S:
            self._differs_s[peer] = now
            self._pull(peer)

    def tick(self, now: float) -> None:
        """Ask for announced objects, again from the next peer when an answer stays out."""
        for name, fetch in self._fetches.items():
            if fetch.sources and now - fetch.asked_s >= ASK_AGAIN_S:
                fetch.asked_s = now
                peer = fetch.sources.pop(0)
                fetch.sources.append(peer)
                self._outbox.send(peer, ConfigurationGet(name))

    def _pull(self, peer: str) -> None:
        held = tuple(ObjectVersion(name, v) for name, v in sorted(self._versions.items()))
        self._outbox.send(peer, ConfigurationPull(held))

    def _is_news(self, name: str, version: int) -> bool:
        return version > self._versions.get(name, 0)

    def _note(self, stored: StoredObject) -> None:
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


def _message(stored: StoredObject) -> ConfigurationObject:
    return ConfigurationObject(stored.name, stored.version, stored.value)


def _stored(item: ConfigurationObject) -> StoredObject:
    return StoredObject(CONFIGURATION_KIND, item.name, item.version, item.value)


def _pages(
    objects: Iterable[StoredObject], theirs: dict[str, int]
) -> Iterable[tuple[ConfigurationObject, ...]]:
    page: list[ConfigurationObject] = []
    page_bytes = 0
    for stored in objects:
        if stored.version <= theirs.get(stored.name, 0):
            continue
        if page and page_bytes + len(stored.value) > PAGE_BYTES:
            yield tuple(page)
            page, page_bytes = [], 0
        page.append(_message(stored))
        page_bytes += len(stored.value)
    if page:
        yield tuple(page)
