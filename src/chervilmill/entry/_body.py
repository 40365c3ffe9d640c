"""Buffer the body of a request, so that it can be sent to more than one target."""

from collections.abc import AsyncIterator

from chervilmill.aio import BadRequestError, RequestHead, ServerConnection

# Longer bodies are not buffered and can be sent only once. Uploads are currently under 360 KB.
MAX_REPLAY_BYTES = 1024 * 1024


class ReplayableBody:
    """The body of a caller's request, read on demand and buffered for replay.

    A body longer than `max_bytes` raises BadRequestError with status 413. A body is not buffered
    while the connections of the process hold much, and its buffer is dropped when they are full.
    """

    def __init__(self, conn: ServerConnection, head: RequestHead, max_bytes: int) -> None:
        self._conn = conn
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0
        self._can_replay = True
        self._is_claimed = False
        self._has_ended = not head.has_body
        conn.replay_buffer = self

    @property
    def is_empty(self) -> bool:
        """Return whether the request has no body."""
        return self._has_ended and not self._size

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body has been read from the caller."""
        return self._has_ended

    def claim(self) -> bool:
        """Return whether the body can still be sent from the beginning.

        Its buffer is then kept until that was done.
        """
        self._is_claimed = self._can_replay
        return self._can_replay

    def release(self) -> bool:
        """Drop the buffer unless it is claimed, and return whether it had any bytes."""
        if self._is_claimed or not self._parts:
            return False
        self._drop_buffer()
        return True

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the buffered parts from the beginning, then read the rest from the caller."""
        index = 0
        while index < len(self._parts):
            yield self._parts[index]
            index += 1
        self._is_claimed = False
        while not self._has_ended:
            part = await self._conn.read_part()
            if part is None:
                self._has_ended = True
                return
            self._store_part(part)
            yield part

    def _store_part(self, part: bytes) -> None:
        self._size += len(part)
        if self._size > self._max_bytes:
            raise BadRequestError(
                "the body is too long", step="read body", peer=self._conn.host, status=413
            )
        if self._can_replay and (self._size > MAX_REPLAY_BYTES or self._conn.is_low_on_memory):
            self._drop_buffer()
        if self._can_replay:
            self._parts.append(part)
            self._conn.keep(len(part))

    def _drop_buffer(self) -> None:
        self._can_replay = False
        self._conn.keep(-sum(map(len, self._parts)))
        self._parts.clear()
