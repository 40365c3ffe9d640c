"""Exchange the news of crash requests with the other entry VMs."""

from collections.abc import Callable, Mapping
from typing import Protocol

import cbor2

from chervilmill.callers._services import ServiceParts
from chervilmill.logs import log_problem
from chervilmill.requests import CrashNews

TOPIC = "crash"
FINGERPRINT_BYTES = 16
MAX_CRASHES = 2


class ReceivedNews(Protocol):
    """Hold one piece of news of another entry VM."""

    @property
    def key(self) -> str:
        """Return what the news is about."""
        ...

    @property
    def value(self) -> bytes:
        """Return the encoded news."""
        ...


class NewsLinks(Protocol):
    """Carry news between entry VMs."""

    def publish(self, topic: str, key: str, value: bytes, lifetime_s: float) -> None:
        """Tell every node a piece of news."""
        ...

    def on_broadcast(self, topic: str, listener: Callable[[ReceivedNews], None]) -> None:
        """Call a listener with each new item of a topic."""
        ...


def publish_crash(links: NewsLinks, service: str, news: CrashNews) -> None:
    """Tell the other entry VMs of a suspect or a quarantined request."""
    log_problem(
        "request crashed a target",
        service=service,
        fingerprint=news.fingerprint.hex(),
        crashes=news.crashes,
        limited_to=news.limited_to,
    )
    key = f"{service}/{news.fingerprint.hex()}"
    value = cbor2.dumps((news.crashes, news.limited_to, news.lapses_in_s))
    links.publish(TOPIC, key, value, news.lapses_in_s)


def receive_crashes(links: NewsLinks, services: Mapping[str, ServiceParts]) -> None:
    """Hand the news of other entry VMs to the services that they are about."""

    def receive(item: ReceivedNews) -> None:
        service, _, fingerprint = item.key.partition("/")
        parts = services.get(service)
        if parts is None:
            return
        try:
            news = _decoded(fingerprint, item.value)
        except (cbor2.CBORDecodeError, ValueError, TypeError) as exc:
            log_problem("news dropped", step="decode", peer=TOPIC, error=str(exc))
            return
        parts.suspects.receive(news, parts.places)

    links.on_broadcast(TOPIC, receive)


def _decoded(fingerprint: str, value: bytes) -> CrashNews:
    """Return the news of an item, or raise CBORDecodeError, ValueError or TypeError."""
    crashes, limited_to, lapses_in_s = cbor2.loads(value)
    decoded = bytes.fromhex(fingerprint)
    if len(decoded) != FINGERPRINT_BYTES or crashes not in range(1, MAX_CRASHES + 1):
        raise ValueError(f"{fingerprint!r} with {crashes!r} crashes")
    if not isinstance(limited_to, str) or not float(lapses_in_s) >= 0:
        raise ValueError(f"limit {limited_to!r} for {lapses_in_s!r} s")
    return CrashNews(decoded, crashes, limited_to, float(lapses_in_s))
