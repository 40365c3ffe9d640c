"""Send and receive digests of the gossip protocol over UDP."""

import asyncio
from collections.abc import Callable
from typing import cast

from chervilmill.addresses import Address
from chervilmill.errors import ChervilmillError
from chervilmill.logs import log_problem
from chervilmill.peers._digest import Digest, decode_digest
from chervilmill.peers._membership import ROUND_S, Membership
from chervilmill.requests import CrashReport

LEAVING_REPEATS = 3  # a single datagram may get lost


class GossipEndpoint(asyncio.DatagramProtocol):
    """The UDP endpoint of one VM: sends digests to a few peers each round and receives theirs."""

    def __init__(
        self,
        membership: Membership,
        port: int,
        revisions: Callable[[], dict[str, int]],
        crashes: Callable[[], tuple[CrashReport, ...]],
        on_digest: Callable[[Digest], None],
    ) -> None:
        self._membership = membership
        self._port = port
        self._revisions = revisions
        self._crashes = crashes
        self._on_digest = on_digest
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str) -> None:
        """Bind the gossip port on a host, or raise OSError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, self._port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the bound transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Merge a received digest and reply if needed; log and drop any other datagram."""
        try:
            digest = decode_digest(data, str(addr[0]))
        except ChervilmillError as exc:
            log_problem("datagram dropped", step=exc.step, peer=exc.peer, reason=exc.message)
            return
        replies = self._membership.receive(digest, asyncio.get_running_loop().time())
        for reply in replies:
            self._send(reply.encode(), str(addr[0]))
        self._on_digest(digest)

    def error_received(self, exc: Exception) -> None:
        """Log an undeliverable datagram; its peer becomes suspected once it is overdue."""
        log_problem("datagram not delivered", step="gossip", peer="udp", error=str(exc))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send a digest each round until cancelled."""
        while True:
            self._membership.begin_round(asyncio.get_running_loop().time())
            self._send_round()
            await asyncio.sleep(ROUND_S)

    async def announce_leaving(self) -> None:
        """Announce to every live peer that this VM is leaving."""
        self._membership.set_serving(False)
        for _ in range(LEAVING_REPEATS):
            self._membership.begin_round(asyncio.get_running_loop().time())
            self._send_round(to_all=True)
            await asyncio.sleep(ROUND_S / LEAVING_REPEATS)

    def send_digest(self, address: Address) -> None:
        """Send a digest to one address at once, such as a seed that is not registered here yet."""
        self._send(self._make_digest().encode(), address.host)

    def _make_digest(self) -> Digest:
        now_s = asyncio.get_running_loop().time()
        return self._membership.digest(self._revisions(), now_s, self._crashes())

    def _send_round(self, *, to_all: bool = False) -> None:
        now_s = asyncio.get_running_loop().time()
        receivers = self._membership.receivers(now_s, to_all=to_all)
        if not receivers:
            return
        data = self._make_digest().encode()
        for peer in receivers:
            self._send(data, peer.host)

    def _send(self, data: bytes, host: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (host, self._port))
