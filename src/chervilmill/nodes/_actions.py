"""Define the actions that a node's state machines request from the transport."""

from dataclasses import dataclass

from chervilmill.nodes._messages import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message over the link to a peer; without a link the message is dropped."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a link to an address written as `IP:port`; `peer` is empty if its name is unknown."""

    peer: str
    address: str


@dataclass(frozen=True, slots=True)
class Close:
    """Close the link to a peer."""

    peer: str


Action = Send | Dial | Close


class Outbox:
    """A queue of actions for the transport, and the set of peers that have a link now."""

    def __init__(self) -> None:
        self.links: set[str] = set()
        self._actions: list[Action] = []

    def send(self, peer: str, message: Message) -> None:
        """Queue a message to a peer; do nothing if the peer has no link."""
        if peer in self.links:
            self._actions.append(Send(peer, message))

    def broadcast(self, message: Message, *, except_peer: str = "") -> None:
        """Queue a message to every linked peer except one."""
        self._actions.extend(
            Send(peer, message) for peer in sorted(self.links) if peer != except_peer
        )

    def dial(self, peer: str, address: str) -> None:
        """Queue the opening of a link."""
        self._actions.append(Dial(peer, address))

    def close(self, peer: str) -> None:
        """Queue the closing of a link."""
        self._actions.append(Close(peer))

    def take_actions(self) -> list[Action]:
        """Return the queued actions and empty the queue."""
        actions, self._actions = self._actions, []
        return actions
