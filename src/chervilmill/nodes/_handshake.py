"""Authenticate two nodes to each other with the shared key before any other message.

The accepting node sends a nonce. The dialling node answers with an HMAC over both nonces and its
member record, and the accepting node returns an HMAC of its own. A recorded handshake cannot be
replayed, because the nonces differ each time.
"""

import hmac
import secrets
from enum import Enum

from chervilmill.nodes._codec import encode
from chervilmill.nodes._messages import Challenge, Hello, Member, Message, Welcome

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
MAX_HANDSHAKE_BYTES = 4096


class LinkRefusal(Enum):
    """Reasons to refuse a link or a message on a link; the values are labels of a metric."""

    WRONG_KEY = "wrong_key"
    WRONG_VERSION = "wrong_version"
    WRONG_NODE = "wrong_node"
    UNEXPECTED_MESSAGE = "unexpected_message"
    TIMEOUT = "timeout"
    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown_type"
    WRONG_FIELD = "wrong_field"
    QUEUE_FULL = "queue_full"


class LinkRefusedError(Exception):
    """A peer's link is refused."""

    def __init__(self, refusal: LinkRefusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


class Handshake:
    """Creates and verifies the handshake messages of one node."""

    def __init__(self, key: str) -> None:
        self._key = key.encode()

    def challenge(self) -> Challenge:
        """Return the first message of the accepting node."""
        return Challenge(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES))

    def hello(self, message: Message, own: Member) -> Hello:
        """Return the dialling node's answer to a challenge, or raise LinkRefusedError."""
        if not isinstance(message, Challenge):
            raise LinkRefusedError(LinkRefusal.UNEXPECTED_MESSAGE)
        if message.version != PROTOCOL_VERSION:
            raise LinkRefusedError(LinkRefusal.WRONG_VERSION)
        nonce = secrets.token_bytes(NONCE_BYTES)
        proof = self._proof(b"dial", message.nonce, nonce, own)
        return Hello(PROTOCOL_VERSION, nonce, proof, own)

    def welcome(self, challenge: Challenge, message: Message, own: Member) -> Welcome:
        """Verify the dialling node and return the answer, or raise LinkRefusedError."""
        if not isinstance(message, Hello):
            raise LinkRefusedError(LinkRefusal.UNEXPECTED_MESSAGE)
        if message.version != PROTOCOL_VERSION:
            raise LinkRefusedError(LinkRefusal.WRONG_VERSION)
        expected = self._proof(b"dial", challenge.nonce, message.nonce, message.member)
        if not hmac.compare_digest(expected, message.proof):
            raise LinkRefusedError(LinkRefusal.WRONG_KEY)
        if message.member.name == own.name:
            raise LinkRefusedError(LinkRefusal.WRONG_NODE)
        return Welcome(self._proof(b"accept", message.nonce, challenge.nonce, own), own)

    def check_welcome(self, challenge: Message, hello: Hello, message: Message) -> Member:
        """Verify the accepting node and return its member record, or raise LinkRefusedError."""
        if not isinstance(message, Welcome) or not isinstance(challenge, Challenge):
            raise LinkRefusedError(LinkRefusal.UNEXPECTED_MESSAGE)
        expected = self._proof(b"accept", hello.nonce, challenge.nonce, message.member)
        if not hmac.compare_digest(expected, message.proof):
            raise LinkRefusedError(LinkRefusal.WRONG_KEY)
        return message.member

    def _proof(self, side: bytes, first: bytes, second: bytes, member: Member) -> bytes:
        # Without the lengths, two different pairs of nonces could give the same bytes.
        lengths = bytes([len(first) % 256, len(second) % 256])
        member_bytes = encode(Welcome(b"", member))
        text = b"|".join((side, lengths, first, second, member_bytes))
        return hmac.digest(self._key, text, "sha256")
