"""Pass TCP connections on, with faults on the way."""

import asyncio
import contextlib
from dataclasses import dataclass

from chervilmill.addresses import Address

PART_BYTES = 65_536


@dataclass(slots=True)
class LinkFaults:
    """Hold what goes wrong on a link; silenced bytes are dropped, and nothing is closed."""

    delay_s: float = 0.0
    refuses: bool = False
    silences_requests: bool = False
    silences_answers: bool = False


class Proxy:
    """Pass on what connects to one address to another."""

    def __init__(self, target: Address) -> None:
        self.faults = LinkFaults()
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Begin to accept."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Accept no more and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.faults.refuses:
                return
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
            self._writers.add(far_writer)
            try:
                await asyncio.gather(
                    self._pass(reader, far_writer, is_request=True),
                    self._pass(far_reader, writer, is_request=False),
                )
            finally:
                self._writers.discard(far_writer)
                far_writer.transport.abort()
        except (OSError, asyncio.CancelledError):  # the link's end is the fault being played
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_request: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(PART_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                is_silent = (
                    self.faults.silences_requests if is_request else self.faults.silences_answers
                )
                if not is_silent:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()
