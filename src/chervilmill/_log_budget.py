"""Bound what a process logs, and never wait for whoever reads it."""

import logging
import os
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import TextIO

LINES_PER_S = 150  # about 400 bytes a line; a VM writes 13.5 KB a second on a busy day
PROBLEM_LINES_PER_S = 150  # about 400 bytes a line; a VM writes 13.5 KB a second on a busy day
MAX_PENDING_BYTES = 1024 * 1024  # held while the reader is behind

KEPT_KEY = "chervilmill_kept"
"""Marks a record, by an attribute of this name, that is never left out as one of many."""


class BoundedHandler(logging.Handler):
    """Write lines to a stream without blocking, and count what is left out.

    Ordinary lines are left out beyond their budget of each second; warnings, errors and lines
    marked as kept have one of their own. The number left out is told with the next line.
    """

    def __init__(self, stream: TextIO, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._clock = clock
        self._second = 0
        self._used = {True: 0, False: 0}
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        if not self._has_budget(record):
            self.left_out += 1
            return
        try:
            line = self.format(record)
        except (TypeError, ValueError) as exc:
            line = f'{{"level": "error", "event": "log line not formatted", "error": "{exc!r}"}}'
        if self.left_out:
            line += f'\n{{"event": "log lines left out", "count": {self.left_out}}}'
        if self._append(line.encode() + b"\n"):
            self.left_out = 0
        else:
            self.left_out += 1
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
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
        """Give up lines whose reader is gone; there is nowhere else to tell it but stderr."""
        self.left_out += len(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        print(f"log lines lost: {exc}", file=sys.stderr)

    def _has_budget(self, record: logging.LogRecord) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._used = {True: 0, False: 0}
        is_kept = record.levelno >= logging.WARNING or getattr(record, KEPT_KEY, False)
        self._used[is_kept] += 1
        return self._used[is_kept] <= (PROBLEM_LINES_PER_S if is_kept else LINES_PER_S)
