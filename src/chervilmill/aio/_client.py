"""Hold one client connection and its exchange."""

import asyncio
from dataclasses import dataclass

import h11

from chervilmill.addresses import Address
from chervilmill.aio._flow import H11Connection
from chervilmill.aio._headers import Headers, header_value
from chervilmill.errors import ChervilmillError

DEFAULT_IDLE_S = 4.0  # where a peer does not state its own time-out
IDLE_SHARE = 0.85  # of the stated time-out, so that a close does not cross a request


class ConnectError(ChervilmillError):
    """Report that no connection was made, so nothing was sent."""


class ExchangeError(ChervilmillError):
    """Report an exchange that broke off after something may have been sent."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the status and the headers of an answer."""

    status: int
    headers: Headers


class ClientConnection(H11Connection):
    """Carry one exchange at a time to a peer."""

    def __init__(self) -> None:
        super().__init__(h11.Connection(h11.CLIENT))
        self.idle_since_s = 0.0
        self.idle_until_s = 0.0
        self.exchanges = 0
        self.has_answered = False
        self._idle_s = DEFAULT_IDLE_S
        self._method = b"GET"

    def data_received(self, data: bytes) -> None:
        """Take bytes in; those that come while nothing is asked belong to no request."""
        if self._h11.our_state is h11.IDLE:
            self.abort()
            return
        super().data_received(data)

    async def send_head(self, method: bytes, path: bytes, headers: Headers) -> None:
        """Begin an exchange."""
        self.exchanges += 1
        self.has_answered = False
        self._method = method
        self._write_checked(h11.Request(method=method, target=path, headers=headers))
        await self._flush()

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        self._write_checked(h11.Data(data=data))
        await self._flush()

    def end_body(self) -> None:
        """Finish the body."""
        self._write_checked(h11.EndOfMessage())

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer, or raise ExchangeError."""
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Response):
                self.has_answered = True
                self._note_idle(event)
                return AnswerHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("read head", "the connection ended before an answer")

    async def read_part(self) -> bytes | None:
        """Return a part of the answer's body, or None at its end."""
        event = await self._read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._broken("read body", "the connection ended within the answer")

    def skip_answer(self) -> None:
        """Expect a further answer where the one read belongs to another request."""
        trailing, has_ended = self._h11.trailing_data
        fresh = h11.Connection(h11.CLIENT)
        fresh.send(h11.Request(method=self._method, target=b"/", headers=[(b"host", b"-")]))
        fresh.send(h11.EndOfMessage())
        if trailing:
            fresh.receive_data(trailing)
        if has_ended:
            fresh.receive_data(b"")
        self._h11 = fresh

    def finish(self, now_s: float) -> bool:
        """End the exchange and return whether the connection may carry another."""
        is_whole = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        trailing, _ = self._h11.trailing_data
        if not is_whole or trailing or self.is_lost or self.has_ended:
            return False
        self._h11.start_next_cycle()
        self._unread = 0
        self.idle_since_s = now_s
        self.idle_until_s = now_s + self._idle_s * IDLE_SHARE
        return True

    async def _read_event(self) -> object:
        while True:
            try:
                event = self._next_event()
            except h11.RemoteProtocolError as exc:
                raise self._broken("read answer", str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if self.is_lost:
                raise self._broken("read answer", "the connection was reset")
            await self._wait_for_news()

    def _note_idle(self, event: h11.Response) -> None:
        value = header_value(event.headers, b"keep-alive") or b""
        for item in value.split(b","):
            key, _, number = item.strip().partition(b"=")
            if key == b"timeout" and number.isdigit():
                self._idle_s = float(number)

    def _write_checked(self, event: h11.Request | h11.Data | h11.EndOfMessage) -> None:
        if self.is_lost:
            raise self._broken("send", "the connection was reset")
        try:
            self._write(event)
        except h11.LocalProtocolError as exc:
            raise self._broken("send", str(exc)) from exc

    def _broken(self, step: str, message: str) -> ExchangeError:
        return ExchangeError(message, step=step, peer=self.host)


async def connect(address: Address, timeout_s: float) -> ClientConnection:
    """Return a new connection, or raise ConnectError."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(ClientConnection, address.host, address.port)
    except (OSError, TimeoutError) as exc:
        message = str(exc) or type(exc).__name__
        raise ConnectError(message, step="connect", peer=str(address)) from exc
    return conn
