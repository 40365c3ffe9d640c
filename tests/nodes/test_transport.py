"""Test over real websockets how a node handles peers that send invalid messages."""

import random
from collections import Counter
from collections.abc import Iterator

import pytest
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import ClientConnection, connect

from bench.nodes_network import member
from chervilmill.coordination import ConfigurationCache
from chervilmill.nodes._codec import MAX_MESSAGE_BYTES, decode, encode
from chervilmill.nodes._handshake import Handshake, LinkRefusal
from chervilmill.nodes._machine import NodeMachine
from chervilmill.nodes._messages import Heartbeat, Member
from chervilmill.nodes._transport import Transport
from chervilmill.standins.store import retry_until
from tests.support import free_address

KEY = "the-key-of-the-nodes"
TIMEOUT_S = 10


class Node:
    """A state machine behind a real transport."""

    def __init__(self) -> None:
        address = free_address()
        base = member(0, 3, 2)
        place = (base.region, base.failure_domain)
        own = Member(base.name, *place, str(address), base.callers, 1, base.state)
        self.refusals: Counter[LinkRefusal] = Counter()
        self.machine = NodeMachine(own, ConfigurationCache(), random.Random(1))
        self.transport = Transport(
            address, KEY, self.machine, self._count, on_change=lambda _: None
        )
        self.url = f"ws://{address}"
        self.transport.start()

    def _count(self, refusal: LinkRefusal) -> None:
        self.refusals[refusal] += 1

    def join(self, index: int = 1, key: str = KEY) -> ClientConnection:
        """Open a link as another member."""
        connection = connect(self.url, compression=None, legacy=True)
        handshake = Handshake(key)
        hello = handshake.hello(decode(connection.recv()), member(index, 3, 2))
        connection.send(encode(hello))
        return connection


@pytest.fixture
def node() -> Iterator[Node]:
    running = Node()
    yield running
    running.transport.stop()


def is_ended(connection: ClientConnection) -> bool:
    try:
        while True:
            connection.recv(timeout=TIMEOUT_S)
    except ConnectionClosed:
        return True


@pytest.mark.parametrize(
    ("raw", "refusal"),
    [
        (b"\xff\xff", LinkRefusal.MALFORMED),
        ("text", LinkRefusal.MALFORMED),
        (encode(Heartbeat(0, 0, 0, 0, 0, 0)), LinkRefusal.UNEXPECTED_MESSAGE),
        (bytes(5000), LinkRefusal.OVERSIZED),
        (bytes(MAX_MESSAGE_BYTES + 1), LinkRefusal.OVERSIZED),
    ],
    ids=["no message", "text", "no hello", "large hello", "larger than any message"],
)
def test_invalid_handshake_is_refused_and_counted(node: Node, raw, refusal: LinkRefusal) -> None:
    connection = connect(node.url, compression=None, legacy=True)
    connection.recv()
    connection.send(raw)
    assert is_ended(connection)
    assert retry_until(lambda: node.refusals == {refusal: 1}, TIMEOUT_S)
    assert node.machine.outbox.links == set()


def test_wrong_key_is_refused_and_counted(node: Node) -> None:
    assert is_ended(node.join(key="the-key-of-a-stranger"))
    assert retry_until(lambda: node.refusals == {LinkRefusal.WRONG_KEY: 1}, TIMEOUT_S)


def test_invalid_message_closes_its_link_and_no_other(node: Node) -> None:
    good, bad = node.join(1), node.join(2)
    assert retry_until(lambda: len(node.machine.outbox.links) == 2, TIMEOUT_S)
    bad.send(b"\x81\x18\x63")
    assert is_ended(bad)
    assert retry_until(lambda: node.machine.outbox.links == {"entry-1"}, TIMEOUT_S)
    assert node.refusals == {LinkRefusal.UNKNOWN_TYPE: 1}
    good.send(encode(Heartbeat(0, 0, 0, 0, 0, 0)))
    assert good.recv(timeout=TIMEOUT_S)
