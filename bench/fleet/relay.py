"""Relay TCP connections between regions with a delay, except over partitioned links.

Runs as a process. The first line of standard input is a JSON list of routes. Each further line is
`part LINK`, which partitions a link, or `join LINK`, which restores the link. Connections over a
partitioned link stay open, but no data passes through them.
"""

import asyncio
import json
import sys
from collections import defaultdict
from dataclasses import dataclass

READ_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Route:
    """A relayed connection: the link, its delay, the address to listen on and the destination."""

    link: str
    delay_s: float
    listen_host: str
    listen_port: int
    to_host: str
    to_port: int


class Relay:
    """Relays connections over links that can be partitioned and restored."""

    def __init__(self) -> None:
        self._connected_links: dict[str, asyncio.Event] = defaultdict(_set_event)

    async def serve(self, route: Route) -> None:
        """Start listening for connections of a route."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._connect(route, reader, writer)

        await asyncio.start_server(accept, route.listen_host, route.listen_port)

    def command(self, line: str) -> None:
        """Execute a command that partitions or restores a link."""
        verb, _, link = line.strip().partition(" ")
        if verb == "part":
            self._connected_links[link].clear()
        elif verb == "join":
            self._connected_links[link].set()

    async def _connect(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._connected_links[route.link].wait()
        await asyncio.sleep(2 * route.delay_s)
        try:
            far_reader, far_writer = await asyncio.open_connection(route.to_host, route.to_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(route, reader, far_writer), self._forward(route, far_reader, writer)
        )

    async def _forward(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=256)
        sending = asyncio.ensure_future(self._send_delayed(route, queue, writer))
        clock = asyncio.get_running_loop().time
        try:
            while chunk := await reader.read(READ_BYTES):
                await queue.put((clock() + route.delay_s, chunk))
            await queue.put((clock() + route.delay_s, b""))
            await sending
        except OSError:
            sending.cancel()
            writer.transport.abort()

    async def _send_delayed(
        self,
        route: Route,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        clock = asyncio.get_running_loop().time
        try:
            while True:
                due_s, chunk = await queue.get()
                await asyncio.sleep(max(0.0, due_s - clock()))
                await self._connected_links[route.link].wait()
                if not chunk:
                    writer.close()
                    return
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()


def _set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


async def main() -> None:
    """Serve the routes from standard input until the input ends."""
    loop = asyncio.get_running_loop()
    stdin = asyncio.StreamReader(limit=1024**2)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(stdin), sys.stdin)
    relay = Relay()
    for raw in json.loads(await stdin.readline()):
        await relay.serve(Route(**raw))
    print("relay ready", flush=True)
    while line := await stdin.readline():
        relay.command(line.decode())


if __name__ == "__main__":
    asyncio.run(main())
