"""Limit the log lines of a process, and write them without blocking."""

import logging
import os
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import TextIO

# A line has about 400 bytes, and a VM writes 13.5 KB of lines a second on a busy day.
LINES_PER_S = 150
PROBLEM_LINES_PER_S = 150
MAX_PENDING_BYTES = 1024 * 1024  # buffered while the reader is slow

PRIORITY_KEY = "chervilmill_kept"
"""Name of the attribute that marks log records for the budget of problems."""


class BoundedHandler(logging.Handler):
    """A handler that writes lines to a stream without blocking, within a budget per second.

    Ordinary lines have one budget. Warnings, errors and records marked by PRIORITY_KEY have
    another, which ordinary lines cannot use up. Lines beyond a budget are left out, and their
    number is logged after the next line.
    """

    def __init__(self, stream: TextIO, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._clock = clock
        self._second = 0
        self._used_lines = {True: 0, False: 0}
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.left_out_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        if not self._has_budget(record):
            self.left_out_count += 1
            return
        try:
            line = self.format(record)
        except (TypeError, ValueError) as exc:
            line = f'{{"level": "error", "event": "log line not formatted", "error": "{exc!r}"}}'
        if self.left_out_count:
            line += f'\n{{"event": "log lines left out", "count": {self.left_out_count}}}'
        if self._append(line.encode() + b"\n"):
            self.left_out_count = 0
        else:
            self.left_out_count += 1
        self.flush()

    def flush(self) -> None:
        """Write pending lines until the stream would block."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            except OSError as exc:
                self._drop_all(exc)
                return
            self._pending_bytes -= written
            rest = self._pending[0][written:]
            if rest:
                self._pending[0] = rest
            else:
                self._pending.popleft()

    def _append(self, data: bytes) -> bool:
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending.append(data)
        self._pending_bytes += len(data)
        return True

    def _drop_all(self, exc: OSError) -> None:
        """Discard the pending lines after a write error, which only stderr can still report."""
        self.left_out_count += len(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        print(f"log lines lost: {exc}", file=sys.stderr)

    def _has_budget(self, record: logging.LogRecord) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._used_lines = {True: 0, False: 0}
        is_priority = record.levelno >= logging.WARNING or getattr(record, PRIORITY_KEY, False)
        self._used_lines[is_priority] += 1
        return self._used_lines[is_priority] <= (
            PROBLEM_LINES_PER_S if is_priority else LINES_PER_S
        )
