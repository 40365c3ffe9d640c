"""Provide the client side of an HTTP/1.1 connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import h11

from chervilmill.addresses import Address
from chervilmill.aio._flow import BodyBatch, H11Connection
from chervilmill.aio._guard import HeldBytes
from chervilmill.aio._headers import Headers, header_value
from chervilmill.aio._sockets import discard_unsent_on_close
from chervilmill.errors import ChervilmillError
from chervilmill.framing import BodyCount, Framing, FramingError, read_framing

DEFAULT_IDLE_TIMEOUT_S = 4.0  # for a peer that sends no Keep-Alive time-out
MAX_INTERIM_ANSWERS = 16  # before the final answer; a peer may send them without end
MAX_STATUS = 599
UNTAKEN_CHECK_S = 0.01  # nothing reports that a peer has taken bytes, so it is asked
IDLE_TIMEOUT_SHARE = 0.85  # of the peer's time-out, so that no request crosses the peer's close

_T = TypeVar("_T")


class ConnectError(ChervilmillError):
    """Raised when no connection could be made, so that nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """Raised when the peer did not take the connection in time."""


class ExchangeError(ChervilmillError):
    """Raised when an exchange breaks off after parts of the request may have been sent."""


class ExchangeTimeoutError(ExchangeError):
    """Raised when the whole answer did not come in time."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and the headers of an answer, of which at most one length frames the body.

    The length of an answer without a body is that of the body a GET would get (RFC 9110, 8.6).
    """

    status: int
    headers: Headers
    has_body: bool = True


class ClientConnection(H11Connection):
    """A connection to a peer that carries one exchange at a time.

    `exchanges` counts the exchanges begun, and `has_answer_head` is true once the head of the
    present answer has arrived. `has_stated_ids` is for the user of the connection, who sets it once
    the peer has stated the id of a request in an answer. Between two exchanges, `idle_since_s` and
    `idle_until_s` bound the time in which the connection may be reused, as readings of the event
    loop's clock.

    An answer without a length is whole if the peer ends the connection in an orderly way and began
    the answer after the whole request was written. A peer that fails while the request is still
    being written resets the connection, and an orderly end may come before the reset.

    The request is written by the parser with which its exchange began. An answer to another request
    replaces only the parser that reads, since a part of the body may still have to be sent.
    """

    def __init__(self, held: HeldBytes | None = None) -> None:
        super().__init__(h11.Connection(h11.CLIENT), held or HeldBytes())
        self.idle_since_s = 0.0
        self.idle_until_s = 0.0
        self.exchanges = 0
        self.has_answer_head = False
        self.has_stated_ids = False
        self._framing = Framing(has_body=False, is_chunked=False, length=None)
        self._body_count = BodyCount(self._framing)
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._method = b"GET"
        self._is_answer_early = False
        self._has_small_parts = False
        self._sending_h11 = self._h11

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        super().connection_made(transport)
        discard_unsent_on_close(transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or abort the connection if they arrive while no request is pending."""
        if self._h11.our_state is h11.IDLE:
            self.abort()
            return
        super().data_received(data)

    async def send_head(self, method: bytes, path: bytes, headers: Headers) -> None:
        """Begin an exchange by sending the head of a request."""
        self.exchanges += 1
        self.has_answer_head = False
        self._method = method
        self._sending_h11 = self._h11
        self._send_event(h11.Request(method=method, target=path, headers=headers))
        await self._flush()

    async def send_part(self, data: bytes) -> None:
        """Send a part of the request's body."""
        self._send_event(h11.Data(data=data))
        await self._flush()

    def end_body(self) -> None:
        """End the request."""
        self._send_event(h11.EndOfMessage())

    async def read_head(self) -> AnswerHead:
        """Return the head of the final answer, or raise ExchangeError."""
        for _ in range(1 + MAX_INTERIM_ANSWERS):
            event = await self._read_event()
            if isinstance(event, h11.Response):
                headers = self._check_head(event)
                self.has_answer_head = True
                self._is_answer_early = not self._is_request_written
                self._update_idle_timeout(event)
                return AnswerHead(event.status_code, headers, self._framing.has_body)
            if not isinstance(event, h11.InformationalResponse):
                raise self._exchange_error("read head", "the connection ended before an answer")
        raise self._exchange_error("read head", "too many interim answers")

    def _check_head(self, event: h11.Response) -> Headers:
        """Note how the answer ends and return the headers to use, or raise ExchangeError."""
        if event.status_code > MAX_STATUS:  # h11 refuses those below 200
            raise self._exchange_error("read head", f"invalid status {event.status_code}")
        headers = list(event.headers)
        try:
            self._framing = read_framing(self._method, event.status_code, headers)
        except FramingError as exc:
            raise self._exchange_error("read head", str(exc)) from exc
        self._body_count = BodyCount(self._framing)
        return self._framing.forwarded_headers(headers)

    async def read_part(self) -> bytes | None:
        """Return the next part of the answer's body, or None at its end."""
        if self._has_read_body:
            return None
        if self._has_small_parts:
            await asyncio.sleep(0)  # lets other connections run
        batch = await self._read_batch()
        self._has_small_parts = batch.is_small
        self._count_body(batch)
        if isinstance(batch.event, h11.EndOfMessage):
            if self._framing.is_ended_by_close and self._is_answer_early:
                message = "the answer without a length began before the request was written"
                raise self._exchange_error("read body", message)
            return batch.data or None
        if not batch.data:
            raise self._exchange_error("read body", "the connection ended within the answer")
        return batch.data

    @property
    def has_untaken(self) -> bool:
        """Return whether the peer has not taken all that was sent; closing drops the rest."""
        return self._transport is not None and self._count_unread(self._transport) > 0

    async def wait_until_taken(self) -> None:
        """Wait until the peer has taken all that was sent; raise ExchangeError if it is lost."""
        while not self.is_lost and self.has_untaken:
            await asyncio.sleep(UNTAKEN_CHECK_S)
        if self.is_lost:
            raise self._exchange_error("send", self._describe_loss())

    def _count_body(self, batch: BodyBatch) -> None:
        try:
            self._body_count.add(len(batch.data))
            if isinstance(batch.event, h11.EndOfMessage):
                self._body_count.end()
        except FramingError as exc:
            raise self._exchange_error("read body", str(exc)) from exc

    @property
    def _is_request_written(self) -> bool:
        """Return whether the whole request has been passed to the system."""
        transport = self._transport
        is_unsent = transport is None or transport.get_write_buffer_size() > 0
        return self._sending_h11.our_state is not h11.SEND_BODY and not is_unsent

    def discard_answer(self) -> None:
        """Drop the answer just read, which belongs to another request, and expect a further one.

        The request goes on being sent; what is still due of it is not affected.
        """
        trailing, has_ended = self._h11.trailing_data
        replacement = h11.Connection(h11.CLIENT)
        replacement.send(h11.Request(method=self._method, target=b"/", headers=[(b"host", b"-")]))
        replacement.send(h11.EndOfMessage())
        if trailing:
            replacement.receive_data(trailing)
        if has_ended:
            replacement.receive_data(b"")
        self._h11 = replacement

    def finish_exchange(self, now_s: float) -> bool:
        """End the exchange and return whether the connection can carry another."""
        is_sent = self._sending_h11.our_state is h11.DONE
        is_whole = is_sent and self._h11.their_state is h11.DONE
        is_whole = is_whole and not self._framing.is_stated_twice
        if not is_whole or self._parser_bytes or self.is_lost or self.has_ended:
            return False
        self._begin_next_cycle()
        self.idle_since_s = now_s
        self.idle_until_s = now_s + self._idle_timeout_s * IDLE_TIMEOUT_SHARE
        return True

    async def _read_event(self) -> object:
        while (event := self._parse(self._next_event)) is h11.NEED_DATA:
            await self._wait_for_data()
        return event

    async def _read_batch(self) -> BodyBatch:
        while True:
            batch = self._parse(self._next_batch)
            if batch.data or batch.event is not h11.NEED_DATA:
                return batch
            await self._wait_for_data()

    def _parse(self, parse: Callable[[], _T]) -> _T:
        try:
            return parse()
        except h11.RemoteProtocolError as exc:
            message = "the connection was closed before the answer" if self._is_cut else str(exc)
            raise self._exchange_error("read answer", message) from exc

    async def _wait_for_data(self) -> None:
        if self.is_lost:
            raise self._exchange_error("read answer", self._describe_loss())
        await self._wait_for_change()

    @property
    def _is_cut(self) -> bool:
        """Return whether the peer ended the connection before any byte of the answer."""
        return self.has_ended and not self.has_answer_head and not self._parser_bytes

    def _update_idle_timeout(self, event: h11.Response) -> None:
        value = header_value(event.headers, b"keep-alive") or b""
        for item in value.split(b","):
            key, _, number = item.strip().partition(b"=")
            if key == b"timeout" and number.isdigit():
                self._idle_timeout_s = float(number)

    def _send_event(self, event: h11.Request | h11.Data | h11.EndOfMessage) -> None:
        if self.is_lost:
            raise self._exchange_error("send", self._describe_loss())
        try:
            self._write(event, self._sending_h11)
        except h11.LocalProtocolError as exc:
            raise self._exchange_error("send", str(exc)) from exc

    def _describe_loss(self) -> str:
        return "the peer is silent" if self.is_peer_silent else "the connection was reset"

    def _exchange_error(self, step: str, message: str) -> ExchangeError:
        return ExchangeError(message, step=step, peer=self.host)


async def connect(
    address: Address, timeout_s: float, held: HeldBytes | None = None
) -> ClientConnection:
    """Return a new connection to an address, or raise ConnectError.

    What the connection holds counts in `held`.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                lambda: ClientConnection(held), address.host, address.port
            )
    except Exception as exc:  # nothing was sent, whatever the reason
        message = str(exc) or type(exc).__name__
        error = ConnectTimeoutError if isinstance(exc, TimeoutError) else ConnectError
        raise error(message, step="connect", peer=str(address)) from exc
    return conn
