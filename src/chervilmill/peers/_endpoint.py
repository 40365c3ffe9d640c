"""Send and receive digests of the gossip protocol over UDP."""

import asyncio
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, Generic, Protocol, TypeVar

from chervilmill.addresses import Address
from chervilmill.errors import ChervilmillError
from chervilmill.logs import log_event, log_problem
from chervilmill.peers._allowance_messages import decode_allowance
from chervilmill.peers._datagram_socket import DatagramSocket
from chervilmill.peers._digest import PROTOCOL_VERSION, Digest, decode_digest
from chervilmill.peers._membership import ROUND_S, Membership, Peer
from chervilmill.peers._replica import CopyProof
from chervilmill.platform import StoreVersion

LEAVING_REPEATS = 3  # a single datagram may get lost
URGENT_ROUND_S = 0.1  # a fifth of a round; gathers the reports on one event
POLL_S = 0.1  # at which the user of an endpoint polls it, also when nothing arrives


Report = TypeVar("Report")


class ReportExchange(Protocol[Report]):
    """What this VM knows of one matter and shares with the other VMs, as reports."""

    @property
    def has_new_reports(self) -> bool:
        """Return whether reports wait that the other VMs may not know yet."""
        ...

    def next_reports(self, now_s: float) -> tuple[Report, ...]:
        """Return the reports to send in this round."""
        ...

    def reports_for_newcomer(self, now_s: float) -> tuple[Report, ...]:
        """Return the reports to send to a VM that has just started or was cut off."""
        ...

    def receive_reports(self, reports: tuple[Report, ...], now_s: float) -> None:
        """Merge the reports of another VM."""
        ...


@dataclass(frozen=True, slots=True)
class ReportChannel(Generic[Report]):
    """An exchange and the datagrams that carry its reports.

    `decode` returns None for a datagram of another kind, and raises MalformedDigestError for one
    that cannot be read.
    """

    exchange: ReportExchange[Report]
    encode: Callable[[tuple[Report, ...]], Iterator[bytes]]
    decode: Callable[[bytes, str], tuple[Report, ...] | None]

    def datagrams_for_round(self, now_s: float) -> Iterator[bytes]:
        """Yield the datagrams to send in this round."""
        yield from self.encode(self.exchange.next_reports(now_s))

    def datagrams_for_newcomer(self, now_s: float) -> Iterator[bytes]:
        """Yield the datagrams to send to a VM that has just started or was cut off."""
        yield from self.encode(self.exchange.reports_for_newcomer(now_s))

    def receive(self, data: bytes, peer: str, now_s: float) -> bool:
        """Merge the reports in a datagram and return whether it was of this kind."""
        reports = self.decode(data, peer)
        if reports is None:
            return False
        self.exchange.receive_reports(reports, now_s)
        return True


def _ignore_allowance(data: bytes, peer: str, now_s: float) -> bool:
    """Ignore a datagram about allowances, and return whether it is one."""
    return decode_allowance(data, peer) is not None


class GossipEndpoint(asyncio.DatagramProtocol):
    """The UDP endpoint of one VM: sends digests to a few peers each round and receives theirs.

    `confirmed_age_s` returns the age up to which this VM's copies reflect the store, if known, and
    `proofs` what is proven of them, by kind.

    A digest that waited in the socket, as the event loop was late or the process frozen, is older
    than it says. The age of its sender's confirmation is raised by the longest time that it may
    have waited beyond POLL_S.
    """

    def __init__(
        self,
        membership: Membership,
        port: int,
        revisions: Callable[[], dict[str, StoreVersion]],
        channels: Sequence[ReportChannel[Any]],
        on_digest: Callable[[Digest], None],
    ) -> None:
        self._membership = membership
        self._port = port
        self._revisions = revisions
        self._channels = channels
        self._on_digest = on_digest
        self.confirmed_age_s: Callable[[], float | None] = lambda: None
        self.proofs: Callable[[], Mapping[str, CopyProof]] = dict
        # Handles the datagrams that are sent to one VM and not passed on; see `send_to`.
        self.receive_direct: Callable[[bytes, str, float], bool] = _ignore_allowance
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: DatagramSocket | None = None
        self._urgent_round: asyncio.TimerHandle | None = None
        self._is_digest_urgent = False
        self._other_versions: dict[int, int] = {}

    async def open(self, host: str) -> None:
        """Bind the gossip port on a host, or raise OSError."""
        self._socket = DatagramSocket(host, self._port, self)
        self.connection_made(self._socket)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the bound transport."""
        assert isinstance(transport, asyncio.DatagramTransport)
        self._transport = transport

    def poll(self) -> None:
        """Receive the datagrams there are; call this every POLL_S."""
        if self._socket is not None:
            self._socket.poll()

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Merge received reports or a digest, and reply if needed; log and drop all else."""
        host = str(addr[0])
        try:
            self._handle_datagram(data, host)
        except Exception as exc:  # what others send never costs more than their datagram
            log_problem("datagram dropped", step="receive", peer=host, reason=repr(exc)[:256])

    def _handle_datagram(self, data: bytes, host: str) -> None:
        now_s = asyncio.get_running_loop().time()
        try:
            if any(channel.receive(data, host, now_s) for channel in self._channels):
                return
            if self.receive_direct(data, host, now_s):
                return
            digest = decode_digest(data, host)
        except ChervilmillError as exc:
            log_problem("datagram dropped", step=exc.step, peer=exc.peer, reason=exc.message)
            return
        digest = self._with_true_age(digest)
        self._log_other_version(digest, host)
        if self._membership.is_joining(digest, now_s):
            for channel in self._channels:
                for datagram in channel.datagrams_for_newcomer(now_s):
                    self._send(datagram, host)
        for reply in self._membership.receive(digest, now_s):
            self._send(reply.encode(), host)
        self._on_digest(digest)

    def _with_true_age(self, digest: Digest) -> Digest:
        held_s = self._socket.held_s() - POLL_S if self._socket is not None else 0.0
        if digest.confirmed_age_s is None or held_s <= 0.0:
            return digest
        return replace(digest, confirmed_age_s=digest.confirmed_age_s + held_s)

    def _log_other_version(self, digest: Digest, host: str) -> None:
        """Log that a registered peer is of another version, once for each version of it."""
        version = digest.protocol_version
        if version == PROTOCOL_VERSION:
            self._other_versions.pop(digest.sender, None)
            return
        is_known = self._other_versions.get(digest.sender) == version
        if is_known or self._membership.peer(digest.sender) is None:
            return
        self._other_versions[digest.sender] = version
        log_event(
            "peer of another version",
            step="gossip",
            peer=host,
            protocol_version=version,
            own_protocol_version=PROTOCOL_VERSION,
        )

    def error_received(self, exc: Exception) -> None:
        """Log an undeliverable datagram; its peer becomes suspected once it is overdue."""
        log_problem("datagram not delivered", step="gossip", peer="udp", error=str(exc))

    def close(self) -> None:
        """Close the socket."""
        if self._urgent_round is not None:
            self._urgent_round.cancel()
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send a digest each round until cancelled."""
        while True:
            self._membership.begin_round(asyncio.get_running_loop().time())
            self._send_round()
            await asyncio.sleep(ROUND_S)

    def request_urgent_round(self) -> None:
        """Send new reports at shorter intervals than the rounds, while there are any."""
        if self._urgent_round is None:
            loop = asyncio.get_running_loop()
            self._urgent_round = loop.call_later(URGENT_ROUND_S, self._send_urgent_round)

    def announce_revisions(self) -> None:
        """Send a digest before the next round, as a copy or the state of this VM has changed."""
        self._is_digest_urgent = True
        self.request_urgent_round()

    def _send_urgent_round(self) -> None:
        self._urgent_round = None
        now_s = asyncio.get_running_loop().time()
        new = [channel for channel in self._channels if channel.exchange.has_new_reports]
        datagrams = [datagram for channel in new for datagram in channel.datagrams_for_round(now_s)]
        if self._is_digest_urgent:
            self._is_digest_urgent = False
            datagrams.append(self._make_digest().encode())
        receivers = self._membership.receivers(now_s) if datagrams else []
        for datagram in datagrams:
            for peer in receivers:
                self._send(datagram, peer.host)
        if any(channel.exchange.has_new_reports for channel in new):
            self.request_urgent_round()

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

    def send_to(self, data: bytes, host: str) -> None:
        """Send a datagram to one VM, which states a protocol version that knows its kind."""
        self._send(data, host)

    def announce_confirmation(self) -> None:
        """Send a digest at once, as this VM has read that its copies are current."""
        self._send_digest_to(self._membership.confirmation_receivers())

    def relay_confirmation(self) -> None:
        """Send a digest at once, as a peer has confirmed the copies of this VM."""
        self._send_digest_to(self._membership.relay_receivers())

    def _send_digest_to(self, peers: Sequence[Peer]) -> None:
        data = self._make_digest().encode() if peers else b""
        for peer in peers:
            self._send(data, peer.host)

    def _make_digest(self) -> Digest:
        now_s = asyncio.get_running_loop().time()
        return self._membership.digest(
            self._revisions(), now_s, self.confirmed_age_s(), self.proofs()
        )

    def _send_round(self, *, to_all: bool = False) -> None:
        now_s = asyncio.get_running_loop().time()
        if any(channel.exchange.has_new_reports for channel in self._channels):
            self._membership.raise_fanout()
        reports = [
            datagram
            for channel in self._channels
            for datagram in channel.datagrams_for_round(now_s)
        ]
        receivers = self._membership.receivers(now_s, to_all=to_all)
        if not receivers:
            return
        for datagram in (self._make_digest().encode(), *reports):
            for peer in receivers:
                self._send(datagram, peer.host)

    def _send(self, data: bytes, host: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (host, self._port))
