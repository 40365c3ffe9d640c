"""Tell the other entry VMs which targets say that they leave."""

from collections.abc import Mapping

from chervilmill.callers._crash_news import NewsLinks, ReceivedNews
from chervilmill.callers._services import ServiceParts
from chervilmill.logs import log_event

TOPIC = "target_leaving"
LIFETIME_S = 30.0


def publish_leaving(links: NewsLinks, service: str, target: str) -> None:
    """Tell the other entry VMs that a target said that it leaves."""
    log_event("target leaves", service=service, peer=target)
    links.publish(TOPIC, f"{service}/{target}", b"", LIFETIME_S)


def receive_leaving(links: NewsLinks, services: Mapping[str, ServiceParts]) -> None:
    """Hand the news of other entry VMs to the services that they are about."""

    def receive(item: ReceivedNews) -> None:
        service, _, target = item.key.partition("/")
        parts = services.get(service)
        if parts is not None:
            parts.places.hear_leaving(target)

    links.on_news(TOPIC, receive)
