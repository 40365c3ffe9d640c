"""Limit how long a request waits for its answer, and how long its caller may take to read it.

The deadline of a request is about the target. An answer that is there is delivered, also when late:
the time for which a slow caller holds it up does not count. The extra time is bounded, since the
target is held up as well.
"""

import asyncio

from chervilmill.aio import ClientConnection, ExchangeTimeoutError

LATE_DELIVERY_S = 10.0  # beyond the limit of the request, for a caller that reads slowly
LATE_PART_S = 0.25  # for a target that was held up to send the next part


class AnswerTime:
    """The time that one request has; without a limit, it has any."""

    __slots__ = ("_scope", "_until_s")

    def __init__(self) -> None:
        self._scope: asyncio.Timeout | None = None
        self._until_s: float | None = None

    def limit(self, scope: asyncio.Timeout) -> None:
        """Bound the request by a scope, which is extended once an answer is being delivered."""
        self._scope, self._until_s = scope, scope.when()

    def begin_delivery(self) -> None:
        """Give the caller more time, as its answer has begun."""
        scope, until_s = self._scope, self._until_s
        if scope is not None and until_s is not None and not scope.expired():
            scope.reschedule(until_s + LATE_DELIVERY_S)

    def until_deadline(self) -> asyncio.Timeout:
        """Return a scope that ends when the time of the request for its target does."""
        return asyncio.timeout_at(self._until_s)

    async def read_part(self, conn: ClientConnection, held_up_s: float) -> bytes | None:
        """Return the next part of an answer that is being delivered, or None at its end.

        The caller has held up the answer for `held_up_s`. Raise ExchangeTimeoutError if the target
        does not send the part in time.
        """
        if self._until_s is None:
            return await conn.read_part()
        extra_s = held_up_s + LATE_PART_S if held_up_s else 0.0
        try:
            async with asyncio.timeout_at(self._until_s + extra_s):
                return await conn.read_part()
        except TimeoutError as exc:
            message = "the target did not send the rest in time"
            raise ExchangeTimeoutError(message, step="read body", peer=conn.host) from exc
