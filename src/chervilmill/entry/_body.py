"""Read a request's body once and send it as often as needed."""

from collections.abc import AsyncIterator

from chervilmill.aio import BadRequestError, RequestHead, ServerConnection

MAX_KEPT_BYTES = 1024 * 1024  # longer bodies are sent once; uploads of today are under 360 KB


class ReplayBody:
    """Hold what was read of a body so far."""

    def __init__(self, conn: ServerConnection, head: RequestHead, max_bytes: int) -> None:
        self._conn = conn
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0
        self._is_kept = True
        self._has_ended = not head.has_body

    @property
    def is_empty(self) -> bool:
        """Return whether there is no body."""
        return self._has_ended and not self._size

    @property
    def is_whole(self) -> bool:
        """Return whether the caller has sent all of it."""
        return self._has_ended

    @property
    def can_replay(self) -> bool:
        """Return whether the body can be sent from its beginning."""
        return self._is_kept

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body from its beginning, reading from the caller what is not here yet."""
        index = 0
        while index < len(self._parts):
            yield self._parts[index]
            index += 1
        while not self._has_ended:
            part = await self._conn.read_part()
            if part is None:
                self._has_ended = True
                return
            self._keep(part)
            yield part

    def _keep(self, part: bytes) -> None:
        self._size += len(part)
        if self._size > self._max_bytes:
            raise BadRequestError(
                "the body is too long", step="read body", peer=self._conn.host, status=413
            )
        if self._size > MAX_KEPT_BYTES:
            self._is_kept = False
            self._parts.clear()
        if self._is_kept:
            self._parts.append(part)
