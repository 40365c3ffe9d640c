"""Send malformed, oversized, slow and smuggled requests as raw bytes."""

import asyncio
from pathlib import Path

import pytest

from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

HEAD = b"Host: site.example\r\nX-Chervilmill-Request-Id: bad\r\n"

CASES = {
    "length and encoding": (
        b"POST /order/a HTTP/1.1\r\n" + HEAD + b"Content-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "two lengths": (
        b"POST /order/a HTTP/1.1\r\n"
        + HEAD
        + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        400,
    ),
    "negative length": (
        b"POST /order/a HTTP/1.1\r\n" + HEAD + b"Content-Length: -1\r\n\r\n",
        400,
    ),
    "two hosts": (b"GET /read/a HTTP/1.1\r\n" + HEAD + b"Host: other\r\n\r\n", 400),
    "no host": (b"GET /read/a HTTP/1.1\r\nX-Other: 1\r\n\r\n", 400),
    "space before colon": (b"GET /read/a HTTP/1.1\r\n" + HEAD + b"X-Odd : 1\r\n\r\n", 400),
    "unknown encoding": (
        b"POST /order/a HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
        501,
    ),
    "bad chunk": (
        b"POST /order/a HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        400,
    ),
    "no request": (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    "headers too large": (
        b"GET /read/a HTTP/1.1\r\n" + HEAD + b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n",
        431,
    ),
    "body too long": (
        b"POST /order/a HTTP/1.1\r\n" + HEAD + b"Content-Length: 2000000\r\n\r\n",
        413,
    ),
    "chunked body too long": (
        b"POST /bundle/a HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        b"200000\r\n" + b"x" * 0x200000 + b"\r\n0\r\n\r\n",
        413,
    ),
    "unknown host": (b"GET /read/a HTTP/1.1\r\nHost: other.example\r\n\r\n", 404),
}


async def _send(site: SiteUnderTest, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(
        site.caller_address.host, site.caller_address.port
    )
    try:
        writer.write(data)
        async with asyncio.timeout(8.0):
            return await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.close()


@pytest.mark.parametrize("name", sorted(CASES))
def test_bad_request_is_refused_and_runs_nothing(tmp_path: Path, name: str) -> None:
    data, status = CASES[name]

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            answer = await _send(site, data)
            assert int(answer.split(b" ")[1]) == status
            whole = [
                run
                for target in site.targets.values()
                for run in target.records.runs
                if run.path != "/bundle/a"
            ]
            assert not whole
            assert (await site.ask("/read/a")).status == 200

    run_async(scenario)


def test_slow_headers_are_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            answer = await _send(site, b"GET /read/a HTTP/1.1\r\nHost: si")
            assert answer.startswith(b"HTTP/1.1 408")

    run_async(scenario)


def test_request_smuggled_in_a_body_is_not_run(tmp_path: Path) -> None:
    inner = b"GET /read/inner HTTP/1.1\r\nHost: site.example\r\n\r\n"
    data = b"POST /order/a HTTP/1.1\r\n" + HEAD
    data += b"Content-Length: " + str(len(inner)).encode() + b"\r\n\r\n" + inner

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            assert (await _send(site, data)).startswith(b"HTTP/1.1 200")
            runs = [run.path for t in site.targets.values() for run in t.records.runs]
            assert runs == ["/order/a"]

    run_async(scenario)


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    one = b"GET /read/a HTTP/1.1\r\n" + HEAD + b"\r\n"
    two = one.replace(b"Id: bad", b"Id: second")

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            reader, writer = await asyncio.open_connection(
                site.caller_address.host, site.caller_address.port
            )
            writer.write(one + two)
            bodies = []
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                (line,) = [x for x in head.split(b"\r\n") if x.startswith(b"content-length")]
                bodies.append(await reader.readexactly(int(line.split(b":")[1])))
            writer.close()
            assert b"ran bad" in bodies[0]
            assert b"ran second" in bodies[1]

    run_async(scenario)
