"""TCP proxy that injects faults into the connections that it relays."""

import asyncio
import contextlib
from dataclasses import dataclass

from chervilmill.addresses import Address

READ_BYTES = 65_536


@dataclass(slots=True)
class LinkFaults:
    """Faults of a link.

    `drops_requests` and `drops_answers` drop the bytes of one direction and leave the
    connections open.
    """

    delay_s: float = 0.0
    refuses: bool = False
    drops_requests: bool = False
    drops_answers: bool = False


class Proxy:
    """Relays each accepted connection to a target address."""

    def __init__(self, target: Address) -> None:
        self.faults = LinkFaults()
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start accepting connections on an address."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Refuse new connections and reset all open ones."""
        self.stop_listening()
        self.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.faults.refuses:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
            self._writers.add(target_writer)
            try:
                await asyncio.gather(
                    self._relay(reader, target_writer, is_request=True),
                    self._relay(target_reader, writer, is_request=False),
                )
            finally:
                self._writers.discard(target_writer)
                target_writer.transport.abort()
        except (OSError, asyncio.CancelledError):  # expected: connections end by injected faults
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_request: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                is_dropped = self.faults.drops_requests if is_request else self.faults.drops_answers
                if not is_dropped:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()
