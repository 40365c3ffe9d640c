"""Test that only nodes with the shared key and the same protocol version are accepted."""

from dataclasses import replace

import pytest

from bench.nodes_network import member
from chervilmill.nodes._handshake import Handshake, LinkRefusal, LinkRefusedError
from chervilmill.nodes._messages import VmsPull

OWN, PEER = member(0, 3, 2), member(1, 3, 2)
RIGHT, WRONG = Handshake("the-key-of-the-nodes"), Handshake("the-key-of-a-stranger")


def refusal_of(step) -> LinkRefusal:
    with pytest.raises(LinkRefusedError) as caught:
        step()
    return caught.value.refusal


def test_both_sides_accept_the_shared_key() -> None:
    challenge = RIGHT.challenge()
    hello = RIGHT.hello(challenge, PEER)
    welcome = RIGHT.welcome(challenge, hello, OWN)
    assert RIGHT.check_welcome(challenge, hello, welcome) == OWN


CHALLENGE = RIGHT.challenge()
HELLO = RIGHT.hello(CHALLENGE, PEER)


@pytest.mark.parametrize(
    ("hello", "refusal"),
    [
        (WRONG.hello(CHALLENGE, PEER), LinkRefusal.WRONG_KEY),
        (RIGHT.hello(RIGHT.challenge(), PEER), LinkRefusal.WRONG_KEY),
        (replace(HELLO, member=replace(PEER, nodes="10.9.9.9:1")), LinkRefusal.WRONG_KEY),
        (replace(HELLO, version=0), LinkRefusal.WRONG_VERSION),
        (RIGHT.hello(CHALLENGE, OWN), LinkRefusal.WRONG_NODE),
        (VmsPull(), LinkRefusal.UNEXPECTED_MESSAGE),
    ],
    ids=["other key", "replayed", "changed member", "old version", "own name", "no hello"],
)
def test_accepting_node_refuses(hello, refusal: LinkRefusal) -> None:
    assert refusal_of(lambda: RIGHT.welcome(CHALLENGE, hello, OWN)) is refusal


def test_dialling_node_refuses() -> None:
    welcome = WRONG.welcome(CHALLENGE, WRONG.hello(CHALLENGE, PEER), OWN)
    assert refusal_of(lambda: RIGHT.check_welcome(CHALLENGE, HELLO, welcome)) is (
        LinkRefusal.WRONG_KEY
    )
    old = replace(CHALLENGE, version=0)
    assert refusal_of(lambda: RIGHT.hello(old, PEER)) is LinkRefusal.WRONG_VERSION
    assert refusal_of(lambda: RIGHT.hello(VmsPull(), PEER)) is LinkRefusal.UNEXPECTED_MESSAGE
