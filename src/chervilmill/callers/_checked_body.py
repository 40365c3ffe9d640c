"""Read the body of a caller's request and refuse the request if the body is incomplete."""

from typing import IO

from chervilmill.callers._refusal import Refusal
from chervilmill.reasons import Ran, RefusalReason


class CheckedBody:
    """A request body with a stated length.

    No target runs a request whose body is incomplete, so the refusal states `not_run`.
    """

    def __init__(self, body: IO[bytes], length: int) -> None:
        self._body = body
        self._length = length
        self._remaining = length

    @property
    def is_unread(self) -> bool:
        """Return whether nothing has been read, so that the body can still be sent whole."""
        return self._remaining == self._length

    def read(self, size: int = -1) -> bytes:
        """Return up to `size` bytes, never beyond the stated length, or raise Refusal."""
        wanted = self._remaining if size < 0 else min(size, self._remaining)
        if not wanted:
            return b""
        part = self._read(wanted)
        if not part:
            raise self._short_refusal()
        self._remaining -= len(part)
        return part

    def read_whole(self) -> bytes:
        """Return the rest of the body, or raise Refusal."""
        parts = []
        while part := self.read():
            parts.append(part)
        return b"".join(parts)

    def _read(self, wanted: int) -> bytes:
        try:
            return self._body.read(wanted)
        except TimeoutError as exc:
            detail = f"{self._remaining} bytes of the body came too slowly"
            raise Refusal(RefusalReason.REQUEST_TOO_SLOW, Ran.NOT_RUN, detail) from exc
        except OSError as exc:
            raise self._short_refusal() from exc

    def _short_refusal(self) -> Refusal:
        detail = f"{self._remaining} bytes of the body are missing"
        return Refusal(RefusalReason.REQUEST_SHORT, Ran.NOT_RUN, detail)
