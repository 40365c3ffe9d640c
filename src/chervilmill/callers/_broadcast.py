"""Define the channel on which entry VMs share what they learn from targets."""

from collections.abc import Callable
from typing import Protocol


class ReceivedItem(Protocol):
    """A broadcast item from another entry VM."""

    @property
    def key(self) -> str:
        """Return the key of the item."""
        ...

    @property
    def value(self) -> bytes:
        """Return the encoded value of the item."""
        ...

    @property
    def lifetime_ms(self) -> int:
        """Return how long the item was still valid when it was sent."""
        ...


class BroadcastChannel(Protocol):
    """A channel that distributes broadcast items among entry VMs."""

    def publish(self, topic: str, key: str, value: bytes, lifetime_s: float) -> None:
        """Send an item to every node."""
        ...

    def on_broadcast(self, topic: str, listener: Callable[[ReceivedItem], None]) -> None:
        """Call a listener with every new item of a topic."""
        ...
