"""Test gossip over UDP, with one loopback address for each VM and a common port."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from chervilmill.peers import Digest, GossipEndpoint, Membership, MemberState, Peer
from chervilmill.peers._endpoint import LEAVING_REPEATS
from chervilmill.peers._membership import ROUND_S
from tests.support import free_address

CONVERGENCE_S = 3.0


class _Node:
    """The membership and endpoint of one VM, and the digests that it received."""

    def __init__(self, name: str, host: str, port: int) -> None:
        self.peer = Peer(name, host, f"domain-{name}")
        self.membership = Membership(name, 1, random.Random(name), self.peer.failure_domain)
        self.received: list[Digest] = []
        self.endpoint = GossipEndpoint(
            self.membership, port, lambda: {"config": 7}, tuple, self.received.append
        )

    def state(self, other: "_Node") -> MemberState:
        return self.membership.state(other.peer.name, asyncio.get_running_loop().time())


@asynccontextmanager
async def _gossiping_nodes(count: int) -> AsyncIterator[list[_Node]]:
    port = free_address().port
    nodes = [_Node(f"vm-{n}", f"127.0.4.{n + 1}", port) for n in range(count)]
    tasks = []
    for node in nodes:
        node.membership.set_peers(other.peer for other in nodes)
        node.membership.set_serving(True)
        await node.endpoint.open(node.peer.host)
        tasks.append(asyncio.create_task(node.endpoint.run()))
    try:
        yield nodes
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in nodes:
            node.endpoint.close()


async def _wait_until_all_see(nodes: list[_Node], seen: _Node, state: MemberState) -> None:
    others = [node for node in nodes if node is not seen]
    async with asyncio.timeout(CONVERGENCE_S):
        while any(node.state(seen) is not state for node in others):
            await asyncio.sleep(0.02)


def test_vms_find_each_other_and_a_leaving_vm_is_idle_at_once() -> None:
    async def scenario() -> None:
        async with _gossiping_nodes(5) as nodes:
            for node in nodes:
                await _wait_until_all_see(nodes, node, MemberState.SERVING)
            assert {"config": 7} in [digest.revisions for digest in nodes[0].received]
            leaving = asyncio.create_task(nodes[2].endpoint.announce_leaving())
            await asyncio.sleep(ROUND_S / LEAVING_REPEATS)
            await _wait_until_all_see(nodes, nodes[2], MemberState.IDLE)
            await leaving

    asyncio.run(scenario())


@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"GET / HTTP/1.1\r\n\r\n", b"\x80"])
def test_foreign_datagrams_are_dropped(data: bytes) -> None:
    async def scenario() -> None:
        async with _gossiping_nodes(2) as nodes:
            nodes[0].endpoint.datagram_received(data, ("127.0.4.9", 1))
            await _wait_until_all_see(nodes, nodes[1], MemberState.SERVING)

    asyncio.run(scenario())
