"""Send a request to one target and relay its answer to the caller.

The start of an answer is buffered for a short time. If the target's connection breaks during that
time, the caller has seen nothing yet and the request can still be retried. Once the first byte has
gone to the caller, a broken answer is passed on as broken.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

from chervilmill.aio import (
    AnswerHead,
    ClientConnection,
    ConnectError,
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    Headers,
    RequestHead,
    ServerConnection,
    end_to_end,
    header_value,
)
from chervilmill.entry._answer_time import AnswerTime
from chervilmill.entry._body import ReplayableBody
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._reader_pace import ReaderPace
from chervilmill.errors import ChervilmillError
from chervilmill.logs import log_problem
from chervilmill.platform import (
    ORGANISATION_HEADERS,
    TARGET_HEADERS,
    AnswerHeaders,
    LoadReport,
    RequestHeaders,
    deadline_headers,
    organisation_headers,
    proves_not_run_by_status,
    read_answer,
    relayed_key_headers,
    target_headers,
)
from chervilmill.routing import Organisation, Target

# Most answers are complete within this time, and streamed answers are delayed only a little.
ANSWER_BUFFER_S = 0.03
# If the target has already closed a reused connection, the reset arrives within one round trip.
# When a connection breaks later than this, the target was already working on the request.
DROP_DETECTION_S = 0.2
ANSWER_BUFFER_BYTES = 64 * 1024
# Answers to other requests that are skipped before the connection is closed.
MAX_MISMATCHED_ANSWERS = 8
# Of an answer that is of no use, more is not read: the connection is closed instead.
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_S = 0.25
MAX_DETAIL_CHARACTERS = 200
# Sent by a target that is not the one named in the request.
MISDIRECTED_STATUS = 421

# A target that answers with a lower status before the end of the body still needs the rest.
MIN_ERROR_STATUS = 400

OnAnswer = Callable[[AnswerHeaders], None]
_T = TypeVar("_T")


class AttemptEnd(Enum):
    """How an attempt ended; the values appear in logs."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"  # no connection, so the target has seen nothing of the request
    WITHDRAWN = "withdrawn"  # not sent, as it may not be sent there any more
    NOT_RUN = "not_run"  # the target states that it did not run the request
    LOST = "lost"  # the exchange failed before the caller got any part of the answer
    OVERDUE = "overdue"  # abandoned without an answer
    SPOILED = "spoiled"  # the answer cannot be the target's own
    BROKEN_OFF = "broken_off"  # the exchange failed after the answer to the caller had started


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt; `status` is 0 if there was no answer.

    `has_timed_out` says that nothing but the end of its time showed that the target was silent.
    `reader_wait_s` is the longest time for which the caller did not take a part of the answer.
    """

    end: AttemptEnd
    status: int = 0
    detail: str = ""
    load: LoadReport | None = None
    connect_s: float | None = None
    has_timed_out: bool = False
    reader_wait_s: float = 0.0

    @property
    def proves_not_run(self) -> bool:
        """Return whether the target cannot have run the request."""
        return self.end in (AttemptEnd.NOT_SENT, AttemptEnd.WITHDRAWN, AttemptEnd.NOT_RUN)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request in the form in which it is sent to targets.

    If `is_identified`, the configuration has organisations: the headers of the caller that identify
    its organisation are replaced by the name of `organisation`, if that is known.
    """

    head: RequestHead
    request_headers: RequestHeaders
    body: ReplayableBody
    is_identified: bool = False
    organisation: Organisation | None = None
    time: AnswerTime = field(default_factory=AnswerTime)

    @property
    def relayed_key(self) -> bytes | None:
        """Return the key that a peer needs to identify the caller, or None if it needs none."""
        return self.request_headers.key if self.is_identified else None

    def headers(self, target: Target, time_left_s: float) -> Headers:
        """Return the headers to send to a target, which has `time_left_s` to answer."""
        name = None if self.organisation is None else self.organisation.name
        own = organisation_headers(name) + target_headers(target.name, time_left_s)
        return self._forwarded_headers() + own

    def headers_without_target(self, time_left_s: float) -> Headers:
        """Return the headers to send to a peer, which identifies the caller and chooses the target.

        A name of an organisation is not sent, because the peer acts on its own configuration.
        """
        own = relayed_key_headers(self.relayed_key) + deadline_headers(time_left_s)
        return self._forwarded_headers() + own

    def _forwarded_headers(self) -> Headers:
        dropped = TARGET_HEADERS | ORGANISATION_HEADERS if self.is_identified else TARGET_HEADERS
        kept = [item for item in end_to_end(self.head.headers) if item[0] not in dropped]
        if header_value(self.head.headers, b"transfer-encoding") is not None:
            kept.append((b"transfer-encoding", b"chunked"))
        return kept


class Attempt:
    """One try to have a request answered by one target.

    `is_sent` is True once the target may have received any part of the request. `on_answer` is
    called with the headers of the answer, before its body arrives. `may_send` is called once a
    connection is there, right before the request is sent.
    """

    requires_ids = True  # once the peer has stated one on the connection

    def __init__(
        self,
        caller: ServerConnection,
        outgoing: OutgoingRequest,
        pool: TargetPool,
        target: Target,
        on_answer: OnAnswer,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._caller = caller
        self._outgoing = outgoing
        self._pool = pool
        self._target = target
        self._on_answer = on_answer
        self._may_send = may_send
        self.is_sent = False
        self._is_answer_identified = False
        self._reader_pace = ReaderPace()
        self._sending: asyncio.Task[None] | None = None

    @property
    def result_if_abandoned(self) -> AttemptResult:
        """Return the result of the attempt if it is abandoned now, without an answer."""
        end = AttemptEnd.OVERDUE if self.is_sent else AttemptEnd.NOT_SENT
        return AttemptResult(end, has_timed_out=True)

    async def run(self, deadline_s: float) -> AttemptResult:
        """Send the request and return the result.

        If the result is ANSWERED, the answer has been relayed to the caller. A request is not sent
        after its deadline, a reading of the event loop's clock; the target gets the time that is
        left when it is sent.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            conn = await self._connect()
        except ConnectError as exc:
            has_timed_out = isinstance(exc, ConnectTimeoutError)
            return AttemptResult(AttemptEnd.NOT_SENT, detail=str(exc), has_timed_out=has_timed_out)
        except Exception as exc:
            return AttemptResult(AttemptEnd.NOT_SENT, detail=_describe_unforeseen(exc))
        connect_s = loop.time() - began_s if conn.exchanges == 0 else None
        time_left_s = deadline_s - loop.time()
        if time_left_s <= 0.0 or not self._may_send():
            self._pool.put_back(self._target, conn)
            return AttemptResult(AttemptEnd.WITHDRAWN)
        is_done = False
        self.is_sent = True
        idle_s = loop.time() - conn.idle_since_s if conn.exchanges else None
        try:
            result = await self._exchange(conn, time_left_s, connect_s)
            is_done = True
            return result
        except ExchangeError as exc:
            broke_early = loop.time() - began_s < DROP_DETECTION_S
            if idle_s is not None and not conn.has_answer_head and broke_early:
                self._pool.close_idle(self._target)
                self._pool.record_drop(self._target, idle_s)
            has_timed_out = isinstance(exc, ExchangeTimeoutError)
            return self._unanswered_result(str(exc), connect_s, has_timed_out=has_timed_out)
        except ChervilmillError:  # of the caller, who breaks off or sends a malformed body
            raise
        except Exception as exc:
            return self._unanswered_result(_describe_unforeseen(exc), connect_s)
        finally:
            await self._stop_sending()
            if is_done and (self._is_answer_identified or not self.requires_ids):
                self._pool.release(self._target, conn)
            else:
                conn.abort()

    async def _connect(self) -> ClientConnection:
        """Return a connection for the request, or raise ConnectError.

        No answer can be told from those to other requests by the id of a request without one, so it
        gets a connection that no other request uses.
        """
        if self.requires_ids and not self._outgoing.request_headers.request_id:
            return await self._pool.open_unshared(self._target)
        return await self._pool.acquire(self._target)

    def _unanswered_result(
        self, detail: str, connect_s: float | None, *, has_timed_out: bool = False
    ) -> AttemptResult:
        """Return the result of an attempt that was sent and whose answer is not complete."""
        end = AttemptEnd.BROKEN_OFF if self._caller.has_begun_answer else AttemptEnd.LOST
        wait_s = self._reader_pace.longest_wait_s
        return AttemptResult(
            end,
            detail=detail,
            connect_s=connect_s,
            has_timed_out=has_timed_out,
            reader_wait_s=wait_s,
        )

    async def _exchange(
        self, conn: ClientConnection, time_left_s: float, connect_s: float | None
    ) -> AttemptResult:
        head = self._outgoing.head
        await conn.send_head(
            head.method, head.target, self._outgoing.headers(self._target, time_left_s)
        )
        answer = await self._finish_request(conn)
        answer_headers = read_answer(answer.status, answer.headers)
        if answer.status != MISDIRECTED_STATUS:
            self._on_answer(answer_headers)
        if answer_headers.proves_not_run:
            await self._stop_sending()
            await _discard_body(conn)
            return AttemptResult(
                AttemptEnd.NOT_RUN, answer.status, load=answer_headers.load, connect_s=connect_s
            )
        problem = _spoiled_reason(answer, answer_headers)
        if problem:
            conn.abort()
            return AttemptResult(AttemptEnd.SPOILED, answer.status, problem, connect_s=connect_s)
        await self._finish_answer(conn, answer)
        return AttemptResult(
            AttemptEnd.ANSWERED, answer.status, load=answer_headers.load, connect_s=connect_s
        )

    async def _finish_request(self, conn: ClientConnection) -> AnswerHead:
        """Send the body, if there is one, and return the head of the answer.

        A target may answer before it has read the whole body, which is still sent after that.
        """
        if self._outgoing.body.is_empty:
            conn.end_body()
            return await self._read_matching_head(conn)
        self._sending = asyncio.create_task(self._send_body(conn))
        return await self._while_sending(self._read_matching_head(conn))

    async def _while_sending(self, reading: Coroutine[Any, Any, _T]) -> _T:
        """Return the result of `reading`, or raise the error of a caller whose body breaks off.

        A target that takes no more of the body may still answer.
        """
        sending = self._sending
        if sending is None or (sending.done() and sending.exception() is None):
            return await reading
        read = asyncio.create_task(reading)
        try:
            await asyncio.wait({sending, read}, return_when=asyncio.FIRST_COMPLETED)
            if not read.done() and not isinstance(sending.exception(), ExchangeError):
                sending.result()
            return await read
        finally:
            read.cancel()
            await asyncio.gather(read, return_exceptions=True)

    async def _finish_answer(self, conn: ClientConnection, answer: AnswerHead) -> None:
        """Relay an answer, and send the rest of the body unless the answer is an error."""
        await self._while_sending(self._relay_answer(conn, answer))
        if self._sending is None or answer.status >= MIN_ERROR_STATUS:
            return
        if not self._sending.done() or conn.has_untaken:
            await self._finish_sending(conn, self._sending)

    async def _finish_sending(self, conn: ClientConnection, sending: asyncio.Task[None]) -> None:
        """Send the rest of the body after the answer, until the target has taken all of it.

        The caller has its answer, so no error of either side is raised. A target that has not taken
        the body when the time of the request ends loses its connection.
        """
        self._outgoing.time.begin_delivery()
        try:
            async with self._outgoing.time.until_deadline():
                await sending
                await conn.wait_until_taken()
        except (ChervilmillError, TimeoutError) as exc:
            log_problem(
                "rest of a body not sent",
                step="send body",
                peer=conn.host,
                target=self._target.name,
                error=repr(exc)[:MAX_DETAIL_CHARACTERS],
            )
            conn.abort()

    async def _stop_sending(self) -> None:
        if self._sending is not None:
            self._sending.cancel()
            await asyncio.gather(self._sending, return_exceptions=True)

    async def _send_body(self, conn: ClientConnection) -> None:
        async for part in self._outgoing.body.parts():
            await conn.send_part(part)
        conn.end_body()

    async def _read_matching_head(self, conn: ClientConnection) -> AnswerHead:
        """Return the head of the answer to this request, skipping late answers to others."""
        for _ in range(1 + MAX_MISMATCHED_ANSWERS):
            answer = await conn.read_head()
            stated_id = read_answer(answer.status, answer.headers).request_id
            if self._is_own(conn, stated_id):
                return answer
            if not await _discard_body(conn):
                break
            conn.discard_answer()
        raise ExchangeError(
            "received only answers to other requests", step="read head", peer=conn.host
        )

    def _is_own(self, conn: ClientConnection, stated_id: str) -> bool:
        """Return whether an answer that states an id, or an empty one, is to this request.

        A peer that states ids states them in each answer, so one without is a late answer. On a new
        connection it can only be to this request, but nothing would tell a repetition of it from
        the answer to the next request, so the connection is not kept.
        """
        own_id = self._outgoing.request_headers.request_id
        if own_id and not stated_id:
            return not (self.requires_ids and conn.has_stated_ids)
        if not own_id:
            return True  # nothing else was asked on the connection
        conn.has_stated_ids = True
        self._is_answer_identified = stated_id == own_id
        return self._is_answer_identified

    async def _relay_answer(self, conn: ClientConnection, answer: AnswerHead) -> None:
        headers = end_to_end(answer.headers)
        buffered, is_whole = await _buffer_start(conn)
        if is_whole and answer.has_body:
            unframed = [item for item in headers if item[0] != b"content-length"]
            await self._caller.answer(answer.status, unframed, b"".join(buffered))
            return
        self._outgoing.time.begin_delivery()
        await self._caller.start_answer(answer.status, headers)
        for part in buffered:
            await self._reader_pace.send_part(self._caller, part)
        while not is_whole and (more := await self._read_part(conn)) is not None:
            await self._reader_pace.send_part(self._caller, more)
        self._caller.end_answer()

    async def _read_part(self, conn: ClientConnection) -> bytes | None:
        return await self._outgoing.time.read_part(conn, self._reader_pace.total_wait_s)


def _describe_unforeseen(exc: Exception) -> str:
    """Return the detail for an error that no step expects; the attempt fails as after any other."""
    return f"unforeseen error: {exc!r:.{MAX_DETAIL_CHARACTERS}}"


def _spoiled_reason(answer: AnswerHead, answer_headers: AnswerHeaders) -> str:
    """Return why an answer cannot be the target's own, or an empty string if it can."""
    if 200 <= answer.status < 300 and not answer_headers.is_sealed:
        return "successful status without the target's seal"
    if answer_headers.has_content_encoding:
        return "content encoding that the caller did not request"
    if proves_not_run_by_status(answer.status):
        return "status implies that the request did not run, but the target does not state so"
    return ""


async def _buffer_start(conn: ClientConnection) -> tuple[list[bytes], bool]:
    """Read the start of an answer's body, limited in time and size.

    Return the parts read and whether they are the complete body.
    """
    buffered: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(ANSWER_BUFFER_S):
            while size <= ANSWER_BUFFER_BYTES:
                part = await conn.read_part()
                if part is None:
                    return buffered, True
                buffered.append(part)
                size += len(part)
    except TimeoutError:
        return buffered, False
    return buffered, False


async def _discard_body(conn: ClientConnection) -> bool:
    """Read an answer's body, limited in time and size, and return whether that was all of it."""
    size = 0
    try:
        async with asyncio.timeout(DISCARD_S):
            while (part := await conn.read_part()) is not None:
                size += len(part)
                if size > MAX_DISCARDED_BYTES:
                    return False
    except (ExchangeError, TimeoutError):
        return False
    return True
