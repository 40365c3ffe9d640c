"""Test gossip over UDP, with one loopback address for each VM and a common port."""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import cbor2
import pytest

from chervilmill.addresses import Address
from chervilmill.overload import LimitReport
from chervilmill.peers import (
    Digest,
    GossipEndpoint,
    HeartbeatEntry,
    MalformedDigestError,
    Membership,
    MemberState,
    Peer,
    ReportChannel,
    _endpoint,
    peer_key,
)
from chervilmill.peers._crash_reports import (
    MAX_LOSSES_PER_REPORT,
    decode_reports,
    encode_reports,
)
from chervilmill.peers._digest import PROTOCOL_VERSION, UNSTATED_PROTOCOL_VERSION
from chervilmill.peers._endpoint import LEAVING_REPEATS
from chervilmill.peers._limit_reports import REPORTS_PER_DATAGRAM, decode_limits, encode_limits
from chervilmill.peers._membership import ROUND_S
from chervilmill.platform import StoreVersion
from chervilmill.requests import CrashReport, Lifetime, ReportedLoss
from tests.support import free_address, run_async

LATER_VERSION = PROTOCOL_VERSION + 1

CONVERGENCE_S = 3.0
MAX_DATAGRAM_BYTES = 1400


class _Reports:
    """A report exchange that sends one report, always or to newcomers only."""

    def __init__(self) -> None:
        self.to_send: tuple[CrashReport, ...] = ()
        self.for_newcomer: tuple[CrashReport, ...] = ()
        self.received: list[CrashReport] = []

    @property
    def has_new_reports(self) -> bool:
        return bool(self.to_send)

    def next_reports(self, now_s: float) -> tuple[CrashReport, ...]:
        return self.to_send

    def reports_for_newcomer(self, now_s: float) -> tuple[CrashReport, ...]:
        return self.for_newcomer

    def receive_reports(self, reports: tuple[CrashReport, ...], now_s: float) -> None:
        self.received += reports


class _Node:
    """The membership and endpoint of one VM, and the digests that it received."""

    def __init__(self, name: str, host: str, port: int) -> None:
        self.peer = Peer(name, host, f"domain-{name}")
        self.membership = Membership(name, 1, random.Random(name), self.peer.failure_domain)
        self.received: list[Digest] = []
        self.reports = _Reports()
        self.endpoint = GossipEndpoint(
            self.membership,
            port,
            lambda: {"config": StoreVersion(0, 7)},
            [ReportChannel(self.reports, encode_reports, decode_reports)],
            self.received.append,
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
            assert {"config": StoreVersion(0, 7)} in [
                digest.revisions for digest in nodes[0].received
            ]
            leaving = asyncio.create_task(nodes[2].endpoint.announce_leaving())
            await asyncio.sleep(ROUND_S / LEAVING_REPEATS)
            await _wait_until_all_see(nodes, nodes[2], MemberState.IDLE)
            await leaving

    asyncio.run(scenario())


def _report(number: int) -> CrashReport:
    callers = frozenset({b"abcd", b"efgh"})
    loss = ReportedLoss(Lifetime("t" * 20, 1_800_000_000_000), 123.5, True, False, callers)
    return CrashReport(bytes([number]) * 16, (loss,) * MAX_LOSSES_PER_REPORT, "u" * 20, 12.5)


def test_reports_reach_other_vms_and_newcomers_get_all() -> None:
    async def scenario() -> None:
        async with _gossiping_nodes(3) as nodes:
            for node in nodes:
                await _wait_until_all_see(nodes, node, MemberState.SERVING)
            nodes[0].reports.to_send = (_report(1),)
            await asyncio.sleep(2 * ROUND_S)
            assert _report(1) in nodes[1].reports.received
            nodes[0].reports.to_send = ()
            nodes[0].reports.for_newcomer = tuple(_report(number) for number in range(20))
            nodes[1].reports.received.clear()
            nodes[1].membership._incarnation += 1  # as after a restart
            await asyncio.sleep(3 * ROUND_S)
            assert set(nodes[0].reports.for_newcomer) <= set(nodes[1].reports.received)

    asyncio.run(scenario())


def test_report_on_a_crash_waits_for_the_next_round() -> None:
    async def scenario() -> None:
        async with _gossiping_nodes(3) as nodes:
            for node in nodes:
                await _wait_until_all_see(nodes, node, MemberState.SERVING)
            await asyncio.sleep(ROUND_S / 10)  # the next round is far
            nodes[0].reports.to_send = (_report(1),)
            nodes[0].endpoint.request_urgent_round()
            await asyncio.sleep(ROUND_S / 3)
            assert all(_report(1) in node.reports.received for node in nodes[1:])

    asyncio.run(scenario())


def test_largest_datagram_of_reports_fits_a_packet() -> None:
    datagrams = list(encode_reports(tuple(_report(number) for number in range(20))))
    assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    decoded = [report for data in datagrams for report in decode_reports(data, "x") or ()]
    assert decoded == [_report(number) for number in range(20)]


def test_digest_is_no_report() -> None:
    digest = Membership("vm", 1, random.Random(1)).digest({}, 0.0)
    assert decode_reports(digest.encode(), "x") is None


@pytest.mark.parametrize(
    "rows", [1, [1], [[b"f", "t", [["t", 1, -1.0, 0]]]], [["f", "t", []]], [[b"f", "t", [[1]]]]]
)
def test_malformed_reports_are_refused(rows: object) -> None:
    with pytest.raises(MalformedDigestError):
        decode_reports(cbor2.dumps(["crash reports", rows]), "x")


@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"GET / HTTP/1.1\r\n\r\n", b"\x80"])
def test_foreign_datagrams_are_dropped(data: bytes) -> None:
    async def scenario() -> None:
        async with _gossiping_nodes(2) as nodes:
            nodes[0].endpoint.datagram_received(data, ("127.0.4.9", 1))
            await _wait_until_all_see(nodes, nodes[1], MemberState.SERVING)

    asyncio.run(scenario())


def test_largest_datagram_of_limits_fits_a_packet() -> None:
    lifetime = Lifetime("t" * 40, 1_800_000_000_000)
    limits = (LimitReport(lifetime, 4.1, 2.0), LimitReport(lifetime, None, 30.0))
    reports = limits * REPORTS_PER_DATAGRAM
    datagrams = list(encode_limits(reports))
    assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    decoded = tuple(report for data in datagrams for report in decode_limits(data, "x") or ())
    assert decoded == reports


@pytest.mark.parametrize(
    "row",
    [["t", 1, -2.0, 1], ["t", 1, "2", 1], ["t", 1, float("inf"), 1], ["t", 1, 2.0, -1], ["t", 1]],
)
def test_malformed_limits_are_refused(row: list[object]) -> None:
    with pytest.raises(MalformedDigestError):
        decode_limits(cbor2.dumps(["limits", [row]]), "127.0.0.1")


def test_datagram_of_another_kind_holds_no_limits() -> None:
    assert decode_limits(cbor2.dumps(["crash reports", []]), "127.0.0.1") is None


def test_peer_of_another_version_goes_unnoticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is logged once for each version that a registered peer states."""
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(_endpoint, "log_event", lambda *_, **fields: logged.append(fields))

    async def scenario() -> None:
        async with _gossiping_nodes(2) as nodes:
            for version in (*[UNSTATED_PROTOCOL_VERSION] * 2, *[LATER_VERSION] * 2):
                for name in ("vm-1", "stranger"):
                    heartbeat = HeartbeatEntry(peer_key(name), 1, 1, True)
                    digest = Digest(heartbeat.key, (heartbeat,), {}, protocol_version=version)
                    nodes[0].endpoint.datagram_received(digest.encode(), ("127.0.4.2", 1))

    asyncio.run(scenario())
    assert [fields["protocol_version"] for fields in logged] == [
        UNSTATED_PROTOCOL_VERSION,
        LATER_VERSION,
    ]


# Ages counted from the reading of a digest, so true changes were dropped as older than a proof.
@pytest.mark.parametrize(("blocked_s", "least_s", "most_s"), [(0.0, 0.2, 0.4), (1.5, 1.6, 2.0)])
def test_digest_that_waited_in_the_socket_counts_as_just_sent(
    blocked_s: float, least_s: float, most_s: float
) -> None:
    async def scenario() -> None:
        async with _gossiping_nodes(2) as (sender, receiver):
            await asyncio.sleep(0.3)
            receiver.endpoint.poll()
            receiver.received.clear()
            sender.endpoint.confirmed_age_s = lambda: 0.2
            sender.endpoint.send_digest(Address(receiver.peer.host, 1))
            time.sleep(blocked_s)
            await asyncio.sleep(0.02)
            ages_s = [digest.confirmed_age_s for digest in receiver.received]
            stated_s = [age_s for age_s in ages_s if age_s is not None]
            assert least_s <= stated_s[0] <= most_s

    run_async(scenario)


def test_all_datagrams_that_wait_are_received_at_once() -> None:
    async def scenario() -> None:
        async with _gossiping_nodes(2) as (sender, receiver):
            await asyncio.sleep(0.05)
            receiver.received.clear()
            for _ in range(100):
                sender.endpoint.send_digest(Address(receiver.peer.host, 1))
            receiver.endpoint.poll()
            assert len(receiver.received) >= 100

    run_async(scenario)
