"""Read the bodies of callers' requests."""

from typing import IO


class BodyBrokenOffError(OSError):
    """Report a caller's body that ended before its stated length."""


class WholeBody:
    """Read a body of a stated length, or fail where it ends early."""

    def __init__(self, body: IO[bytes], length: int) -> None:
        self._body = body
        self._length = length
        self._remaining = length

    @property
    def is_untouched(self) -> bool:
        """Return whether nothing was read, so that the body can still be sent whole."""
        return self._remaining == self._length

    def read(self, size: int = -1) -> bytes:
        """Return up to `size` bytes, and nothing after the stated length."""
        wanted = self._remaining if size < 0 else min(size, self._remaining)
        if not wanted:
            return b""
        part = self._body.read(wanted)
        if not part:
            raise BodyBrokenOffError(f"{self._remaining} bytes of the body are missing")
        self._remaining -= len(part)
        return part

    def read_whole(self) -> bytes:
        """Return everything that is left."""
        parts = []
        while part := self.read():
            parts.append(part)
        return b"".join(parts)
