"""Transport messages between nodes over websockets, in a thread with its own event loop."""

import asyncio
import contextlib
import logging
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from chervilmill.addresses import Address
from chervilmill.logs import log_problem
from chervilmill.nodes._actions import Dial, Send
from chervilmill.nodes._codec import MAX_MESSAGE_BYTES, DecodeError, decode, encode
from chervilmill.nodes._handshake import (
    MAX_HANDSHAKE_BYTES,
    Handshake,
    LinkRefusal,
    LinkRefusedError,
)
from chervilmill.nodes._machine import TICK_S, NodeMachine
from chervilmill.nodes._messages import Member, Message
from chervilmill.supervision import keep_running

HANDSHAKE_TIMEOUT_S = 2.0
DIAL_TIMEOUT_S = 1.5
STOP_TIMEOUT_S = 2.0
MAX_QUEUED_MESSAGES = 512
MESSAGE_TOO_BIG_CODE = 1009

CountRefusal = Callable[[LinkRefusal], None]

_LOGGER = logging.getLogger("chervilmill.nodes.websockets")
_LOGGER.setLevel(logging.CRITICAL)


class _Link:
    """A connection to a peer and the queue of messages to send on it."""

    def __init__(self, connection: Connection, peer: Member) -> None:
        self.connection = connection
        self.peer = peer
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)

    async def write(self) -> None:
        """Send the queued messages until the connection ends."""
        with contextlib.suppress(ConnectionClosed):
            while True:
                await self.connection.send(await self.queue.get())


class Transport:
    """Drives a NodeMachine with websocket links and the monotonic clock."""

    def __init__(
        self,
        address: Address,
        key: str,
        machine: NodeMachine,
        count_refusal: CountRefusal,
        on_change: Callable[[NodeMachine], None],
    ) -> None:
        self._address = address
        self._machine = machine
        self._handshake = Handshake(key)
        self._count_refusal = count_refusal
        self._on_change = on_change
        self._links: dict[str, list[_Link]] = {}
        self._dialling: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.new_event_loop()
        self._server: Server | None = None
        self._thread = threading.Thread(target=self._loop.run_forever, name="nodes", daemon=True)

    def start(self) -> None:
        """Bind the address and start to run the machine, or raise OSError."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result()

    def stop(self) -> None:
        """Close every link and stop the thread."""
        stopping = asyncio.run_coroutine_threadsafe(self._stop(), self._loop)
        with contextlib.suppress(TimeoutError):
            stopping.result(STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)

    def call(self, change: Callable[[NodeMachine, float], None]) -> None:
        """Apply a change to the machine in the loop's thread, and perform the resulting actions."""
        self._loop.call_soon_threadsafe(self._apply, change)

    async def _start(self) -> None:
        self._server = await serve(
            self._accept,
            self._address.host,
            self._address.port,
            compression=None,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            server_header=None,
            logger=_LOGGER,
        )
        self._spawn(keep_running("node ticks", self._tick, lambda _: None))

    async def _stop(self) -> None:
        await self._flush_queues()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for links in list(self._links.values()):
            for link in links:
                await link.connection.close()

    async def _flush_queues(self) -> None:
        for _ in range(10):
            if all(link.queue.empty() for links in self._links.values() for link in links):
                return
            await asyncio.sleep(0.02)

    async def _tick(self) -> None:
        while True:
            self._apply(NodeMachine.tick)
            await asyncio.sleep(TICK_S)

    def _apply(self, change: Callable[[NodeMachine, float], None]) -> None:
        try:
            change(self._machine, time.monotonic())
            self._on_change(self._machine)
        except Exception as exc:
            log_problem("node machine failed", step="change", peer="", error=repr(exc))
        self._perform_actions()

    def _perform_actions(self) -> None:
        for action in self._machine.take_actions():
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Dial):
                self._start_dial(action)
            else:
                for link in self._links.get(action.peer, []):
                    self._spawn(link.connection.close())
        due_s = self._machine.due_s
        if due_s is not None:
            self._loop.call_later(max(0.0, due_s - time.monotonic()), self._flush)

    def _flush(self) -> None:
        due_s = self._machine.due_s
        if due_s is not None and due_s <= time.monotonic():
            self._apply(NodeMachine.flush)

    def _send(self, action: Send) -> None:
        links = self._links.get(action.peer)
        if not links:
            return
        try:
            links[-1].queue.put_nowait(encode(action.message))
        except asyncio.QueueFull:
            self._count_refusal(LinkRefusal.QUEUE_FULL)

    def _start_dial(self, action: Dial) -> None:
        if action.address not in self._dialling:
            self._dialling.add(action.address)
            self._spawn(self._dial(action))

    async def _dial(self, action: Dial) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                connection = await connect(
                    f"ws://{action.address}",
                    compression=None,
                    ping_interval=None,
                    max_size=MAX_MESSAGE_BYTES,
                    proxy=None,
                    user_agent_header=None,
                    logger=_LOGGER,
                )
        except (OSError, TimeoutError, InvalidHandshake, EOFError):
            return
        except Exception as exc:  # of an address that another writer listed
            log_problem("link not opened", step="dial", peer=action.address, error=repr(exc)[:256])
            return
        finally:
            self._dialling.discard(action.address)
        await self._run_link(connection, self._dialling_handshake(connection))

    async def _dialling_handshake(self, connection: Connection) -> Member:
        challenge = await self._receive_handshake(connection)
        hello = self._handshake.hello(challenge, self._machine.membership.own)
        await connection.send(encode(hello))
        welcome = await self._receive_handshake(connection)
        return self._handshake.check_welcome(challenge, hello, welcome)

    async def _accept(self, connection: Connection) -> None:
        await self._run_link(connection, self._accepting_handshake(connection))

    async def _accepting_handshake(self, connection: Connection) -> Member:
        challenge = self._handshake.challenge()
        await connection.send(encode(challenge))
        hello = await self._receive_handshake(connection)
        welcome = self._handshake.welcome(challenge, hello, self._machine.membership.own)
        await connection.send(encode(welcome))
        return hello.member  # type: ignore[union-attr]

    async def _receive_handshake(self, connection: Connection) -> Message:
        raw = _as_bytes(await connection.recv())
        if len(raw) > MAX_HANDSHAKE_BYTES:
            raise LinkRefusedError(LinkRefusal.OVERSIZED)
        return decode(raw)

    async def _run_link(
        self, connection: Connection, handshake: Coroutine[Any, Any, Member]
    ) -> None:
        """Complete the handshake, then read messages until the connection ends or is refused."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await handshake
            await self._read_messages(_Link(connection, peer))
        except LinkRefusedError as exc:
            self._count_refusal(exc.refusal)
        except DecodeError as exc:
            self._count_refusal(LinkRefusal(exc.problem.value))
        except TimeoutError:
            self._count_refusal(LinkRefusal.TIMEOUT)
        except ConnectionClosed as exc:
            if exc.sent is not None and exc.sent.code == MESSAGE_TOO_BIG_CODE:
                self._count_refusal(LinkRefusal.OVERSIZED)
        finally:
            await connection.close()

    async def _read_messages(self, link: _Link) -> None:
        name = link.peer.name
        self._links.setdefault(name, []).append(link)
        writer = asyncio.create_task(link.write())
        if len(self._links[name]) == 1:
            self._apply(lambda machine, now: machine.link_opened(link.peer, now))
        try:
            while True:
                message = decode(_as_bytes(await link.connection.recv()))
                self._receive(name, message)
        finally:
            writer.cancel()
            self._links[name].remove(link)
            if not self._links[name]:
                del self._links[name]
                self._apply(lambda machine, _: machine.link_closed(name))

    def _receive(self, peer: str, message: Message) -> None:
        self._apply(lambda machine, now: machine.receive(peer, message, now))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _as_bytes(raw: str | bytes) -> bytes:
    if isinstance(raw, str):
        raise LinkRefusedError(LinkRefusal.MALFORMED)
    return raw
