"""Parse what takes long to parse one after the other, so that others are served meanwhile."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

MAX_WAITING = 16  # so that the last of them is answered within a fraction of a second

_T = TypeVar("_T")


class ParseTurns:
    """The turns of connections whose input takes long to parse, for its length, at one server.

    A turn takes milliseconds. The event loop gets as long for everything else after each.
    """

    __slots__ = ("_lock", "_waiting")

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._waiting = 0

    @property
    def is_full(self) -> bool:
        """Return whether so many wait that a new request should not."""
        return self._waiting >= MAX_WAITING

    async def parse(self, parse: Callable[[], _T]) -> _T:
        """Return the result of `parse`, which is called when those before have had their turns."""
        loop = asyncio.get_running_loop()
        self._waiting += 1
        try:
            async with self._lock:
                began_s = loop.time()
                try:
                    return parse()
                finally:
                    await asyncio.sleep(loop.time() - began_s)
        finally:
            self._waiting -= 1
