"""Send a request to one target and bring its answer to the caller.

An answer is held back until it is whole, or a moment has passed, so that one that breaks off early
can be replaced. From the first byte to the caller on, a break is passed on as a break.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from chervilmill.aio import (
    AnswerHead,
    ClientConnection,
    ConnectError,
    ExchangeError,
    Headers,
    RequestHead,
    ServerConnection,
    end_to_end,
    header_value,
)
from chervilmill.entry._body import ReplayBody
from chervilmill.entry._pool import TargetPool
from chervilmill.platform import (
    TARGET_HEADERS,
    AnswerFacts,
    LoadReport,
    RequestFacts,
    read_answer,
    target_headers,
)
from chervilmill.routing import Target

HOLD_S = 0.03  # most answers are whole by then; streamed ones reach the caller soon
DROP_SHOWS_S = 0.2  # a reset comes back within a round trip; what breaks later was at work
HOLD_BYTES = 64 * 1024
MAX_CROSSED = 2  # answers of other requests skipped before the connection is given up


class AttemptEnd(Enum):
    """Say how an attempt ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"
    OVERDUE = "overdue"  # given up without an answer
    SPOILED = "spoiled"
    BROKEN_OFF = "broken_off"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Hold the end of an attempt; `status` is 0 without an answer."""

    end: AttemptEnd
    status: int = 0
    detail: str = ""
    load: LoadReport | None = None
    connect_s: float | None = None

    @property
    def proves_not_run(self) -> bool:
        """Return whether the target cannot have run the request."""
        return self.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold a request as it goes to targets."""

    head: RequestHead
    facts: RequestFacts
    body: ReplayBody

    def headers(self, target: Target, patience_s: float) -> Headers:
        """Return the headers for one target."""
        kept = [item for item in end_to_end(self.head.headers) if item[0] not in TARGET_HEADERS]
        if header_value(self.head.headers, b"transfer-encoding") is not None:
            kept.append((b"transfer-encoding", b"chunked"))
        return kept + target_headers(target.name, patience_s)


class Attempt:
    """Carry one request to one target; `is_sent` says that the target may have some of it."""

    def __init__(
        self, caller: ServerConnection, outgoing: Outgoing, pool: TargetPool, target: Target
    ) -> None:
        self._caller = caller
        self._outgoing = outgoing
        self._pool = pool
        self._target = target
        self.is_sent = False

    @property
    def given_up(self) -> AttemptResult:
        """Return how the attempt ended if it ends now, without an answer."""
        return AttemptResult(AttemptEnd.OVERDUE if self.is_sent else AttemptEnd.NOT_SENT)

    async def run(self, patience_s: float) -> AttemptResult:
        """Return how the attempt ended; the caller has the answer where it was ANSWERED."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            conn = await self._pool.take(self._target)
        except ConnectError as exc:
            return AttemptResult(AttemptEnd.NOT_SENT, detail=str(exc))
        connect_s = loop.time() - began_s if conn.exchanges == 0 else None
        is_done = False
        self.is_sent = True
        idle_s = loop.time() - conn.idle_since_s if conn.exchanges else None
        try:
            result = await self._exchange(conn, patience_s, connect_s)
            is_done = True
            return result
        except ExchangeError as exc:
            broke_soon = loop.time() - began_s < DROP_SHOWS_S
            if idle_s is not None and not conn.has_answered and broke_soon:
                self._pool.drop(self._target)
                self._pool.learn_dropped(self._target, idle_s)
            end = AttemptEnd.BROKEN_OFF if self._caller.has_begun_answer else AttemptEnd.LOST
            return AttemptResult(end, detail=str(exc), connect_s=connect_s)
        finally:
            if is_done:
                self._pool.put_back(self._target, conn)
            else:
                conn.abort()

    async def _exchange(
        self, conn: ClientConnection, patience_s: float, connect_s: float | None
    ) -> AttemptResult:
        head = self._outgoing.head
        headers = self._outgoing.headers(self._target, patience_s)
        await conn.send_head(head.method, head.target, headers)
        if self._outgoing.body.is_empty:
            conn.end_body()
            answer = await self._read_own_head(conn)
        else:
            answer = await self._send_body_and_read(conn)
        facts = read_answer(answer.status, answer.headers)
        if facts.proves_not_run:
            await _read_whole(conn)
            return AttemptResult(
                AttemptEnd.NOT_RUN, answer.status, load=facts.load, connect_s=connect_s
            )
        problem = _spoiled(answer, facts)
        if problem:
            conn.abort()
            return AttemptResult(AttemptEnd.SPOILED, answer.status, problem, connect_s=connect_s)
        await self._deliver(conn, answer)
        return AttemptResult(
            AttemptEnd.ANSWERED, answer.status, load=facts.load, connect_s=connect_s
        )

    async def _send_body_and_read(self, conn: ClientConnection) -> AnswerHead:
        """Send the body while listening, as a target may answer before it has read all."""
        send = asyncio.create_task(self._send_body(conn))
        read = asyncio.create_task(self._read_own_head(conn))
        try:
            await asyncio.wait({send, read}, return_when=asyncio.FIRST_COMPLETED)
            if not read.done() and not isinstance(send.exception(), ExchangeError):
                send.result()
            return await read
        finally:
            send.cancel()
            read.cancel()
            await asyncio.gather(send, read, return_exceptions=True)

    async def _send_body(self, conn: ClientConnection) -> None:
        async for part in self._outgoing.body.parts():
            await conn.send_part(part)
        conn.end_body()

    async def _read_own_head(self, conn: ClientConnection) -> AnswerHead:
        """Return the head of this request's answer; late answers to others are skipped."""
        own_id = self._outgoing.facts.request_id
        for _ in range(MAX_CROSSED):
            answer = await conn.read_head()
            facts = read_answer(answer.status, answer.headers)
            if not own_id or not facts.request_id or facts.request_id == own_id:
                return answer
            await _read_whole(conn)
            conn.skip_answer()
        raise ExchangeError("answers of other requests", step="read head", peer=conn.host)

    async def _deliver(self, conn: ClientConnection, answer: AnswerHead) -> None:
        headers = end_to_end(answer.headers)
        held, is_whole = await _hold(conn)
        if is_whole:
            unframed = [item for item in headers if item[0] != b"content-length"]
            await self._caller.answer(answer.status, unframed, b"".join(held))
            return
        await self._caller.start_answer(answer.status, headers)
        for part in held:
            await self._caller.send_part(part)
        while (more := await conn.read_part()) is not None:
            await self._caller.send_part(more)
        self._caller.end_answer()


def _spoiled(answer: AnswerHead, facts: AnswerFacts) -> str:
    """Return why an answer cannot be the target's, or nothing."""
    if 200 <= answer.status < 300 and not facts.is_sealed:
        return "a success without the target's seal"
    if facts.is_encoded:
        return "an encoding that the caller did not ask for"
    if answer.status in (408, 421, 429, 503):
        return "a status that promises what the target does not state"
    return ""


async def _hold(conn: ClientConnection) -> tuple[list[bytes], bool]:
    """Return the parts that have come in a moment and whether they are all."""
    held: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(HOLD_S):
            while size <= HOLD_BYTES:
                part = await conn.read_part()
                if part is None:
                    return held, True
                held.append(part)
                size += len(part)
    except TimeoutError:
        return held, False
    return held, False


async def _read_whole(conn: ClientConnection) -> None:
    while await conn.read_part() is not None:
        pass
