"""Parse heads with many headers one after the other, so that others are served meanwhile."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

MAX_WAITING = 16  # so that the last of them is answered within a fraction of a second

_T = TypeVar("_T")


class LongHeads:
    """The heads with many headers that wait to be parsed by one server.

    One takes milliseconds. The event loop gets as long for everything else after each.
    """

    __slots__ = ("_lock", "_waiting")

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._waiting = 0

    @property
    def is_full(self) -> bool:
        """Return whether no further head may wait."""
        return self._waiting >= MAX_WAITING

    async def parse(self, parse: Callable[[], _T]) -> _T:
        """Return the result of `parse`, which is called when the heads before have been parsed."""
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
