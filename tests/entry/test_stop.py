"""Stop an entry VM while callers go on sending requests."""

import asyncio
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import ServerConnection
from chervilmill.entry._entry_vm import EntryVm
from soak.site import HOST, RouteRow
from tests.entry.harness import SiteUnderTest, running_site
from tests.entry.test_slow_readers import PausingTarget
from tests.support import run_async

GRACE_S = 6.0
TIMEOUT_S = 5.0
CALLERS = 4  # as many as the target has slots
ANSWER_BYTES = 4 * 65_536 + 20_000  # the last part is held without waiting for the caller
READ_BYTES_PER_S = 110_000
ROUTES = (
    RouteRow("orders", "/order/", "unsafe", timeout_s=TIMEOUT_S),
    RouteRow("short", "/short/", "unsafe", timeout_s=1.0),
)


def _request_stop(site: SiteUnderTest, grace_s: float) -> None:
    vm = site.vm
    vm._settings = replace(vm._settings, bounds=replace(vm._settings.bounds, stop_grace_s=grace_s))
    vm.request_stop()


# Such requests were passed on, and cut without an answer when the grace period ended.
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_that_cannot_end_within_the_grace_period_is_refused_at_once(
    tmp_path: Path, method: str
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, routes=ROUTES) as site:
            await site.ask("/short/a", "POST", b"x")
            _request_stop(site, GRACE_S)
            await asyncio.sleep(GRACE_S - TIMEOUT_S)
            loop = asyncio.get_running_loop()
            sent_s = loop.time()
            answer = await site.ask("/order/late", method, deadline_ms=9000, request_id="late")
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) < 0.2
            assert loop.time() - sent_s < 0.5
            assert site.runs("late") == 0

    run_async(scenario)


@pytest.mark.parametrize(("path", "deadline_ms"), [("/short/a", 9000), ("/order/a", 1000)])
def test_request_that_can_end_within_the_grace_period_is_served(
    tmp_path: Path, path: str, deadline_ms: int
) -> None:
    """Its route's time-out, or its caller's, ends it in time."""

    async def scenario() -> None:
        async with running_site(tmp_path, routes=ROUTES) as site:
            _request_stop(site, GRACE_S)
            await asyncio.sleep(GRACE_S - TIMEOUT_S)
            answer = await site.ask(path, "POST", b"x", deadline_ms=deadline_ms)
            assert answer.status == 200

    run_async(scenario)


def _read_steadily(address: Address, request_id: str) -> int:
    """Send an order, read its answer at a steady pace, and return the length of the body."""
    head = (
        f"POST /order/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
        f"X-Chervilmill-Request-Id: {request_id}\r\nX-Chervilmill-Deadline-Milliseconds: 3000\r\n"
    )
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        sock.settimeout(5.0)
        sock.connect((address.host, address.port))
        sock.sendall(head.encode() + b"\r\n")
        data, began_s = b"", time.monotonic()
        while part := sock.recv(4096):
            data += part
            time.sleep(max(0.0, len(data) / READ_BYTES_PER_S - (time.monotonic() - began_s)))
    return len(data.partition(b"\r\n\r\n")[2])


# The process ended while it still held the ends of answers, as no request was busy any more.
def test_planned_stop_ends_while_answers_are_unsent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    stop, connection_made = EntryVm._stop, ServerConnection.connection_made
    unsent: list[int] = []

    async def stop_and_count(vm: EntryVm) -> None:
        await stop(vm)
        transports = [conn._transport for conn in vm._caller_server.connections]
        unsent.extend(transport.get_write_buffer_size() for transport in transports if transport)

    def hold_little(conn: ServerConnection, transport: asyncio.BaseTransport) -> None:
        """Make the process, and not the system, hold what the caller has not taken."""
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        connection_made(conn, transport)

    async def scenario() -> None:
        monkeypatch.setattr(EntryVm, "_stop", stop_and_count)
        monkeypatch.setattr(ServerConnection, "connection_made", hold_little)
        target = PausingTarget(answer_bytes=ANSWER_BYTES, chunk_pause_s=0.02)
        async with running_site(tmp_path, targets=(), routes=ROUTES) as site:
            await target.listen(site.store)
            await site.settle()
            _request_stop(site, GRACE_S)
            await asyncio.sleep(2.2)
            asked = [
                asyncio.to_thread(_read_steadily, site.caller_address, f"o-{number}")
                for number in range(CALLERS)
            ]
            sizes = await asyncio.gather(*asked)
            target.stop()
        assert sizes == [ANSWER_BYTES] * CALLERS
        assert sum(unsent) == 0

    run_async(scenario)


def test_planned_stop_waits_for_a_caller_that_reads_nothing_beyond_its_grace(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    stop = EntryVm._stop
    took_s: list[float] = []

    async def stop_and_time(vm: EntryVm) -> None:
        began_s = asyncio.get_running_loop().time()
        await stop(vm)
        took_s.append(asyncio.get_running_loop().time() - began_s)

    async def scenario() -> None:
        monkeypatch.setattr(EntryVm, "_stop", stop_and_time)
        target = PausingTarget(answer_bytes=20_000_000)
        async with running_site(tmp_path, targets=(), routes=ROUTES) as site:
            await target.listen(site.store)
            await site.settle()
            with socket.create_connection(
                (site.caller_address.host, site.caller_address.port)
            ) as s:
                s.sendall(f"POST /order/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
                await asyncio.sleep(0.5)
                _request_stop(site, GRACE_S)
                await asyncio.sleep(GRACE_S)
            target.stop()
        assert took_s and took_s[0] < GRACE_S

    run_async(scenario)
