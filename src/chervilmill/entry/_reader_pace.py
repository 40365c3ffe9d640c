"""Measure how long a caller leaves parts of an answer unread."""

import asyncio

from chervilmill.aio import ServerConnection


class ReaderPace:
    """For how long a caller did not take parts of one answer: the longest time, and all times."""

    def __init__(self) -> None:
        self.longest_wait_s = 0.0
        self.total_wait_s = 0.0

    async def send_part(self, caller: ServerConnection, part: bytes) -> None:
        """Send a part of an answer and measure how long the caller took to make room for it."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            await caller.send_part(part)
        finally:
            wait_s = loop.time() - began_s
            self.longest_wait_s = max(self.longest_wait_s, wait_s)
            self.total_wait_s += wait_s
