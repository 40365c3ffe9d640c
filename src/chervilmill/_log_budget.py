"""Limit the log lines of a process, and write them without blocking."""

import logging
import os
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from typing import TextIO

MAX_PENDING_BYTES = 1024 * 1024  # buffered while the reader is slow
# Of the lines left out, so many events are counted by name, and the rest together.
MAX_NAMED_EVENTS = 16
MAX_NAME_CHARS = 40
OTHER_EVENTS = "other"

BUDGET_KEY = "chervilmill_budget"
"""Name of the attribute that states the budget of a log record."""

FIELDS_KEY = "chervilmill_fields"
"""Name of the attribute that has the fields of a log record."""


class Budget(Enum):
    """What lines are about; lines of one budget never displace those of another."""

    REQUESTS = "requests"  # what became of single requests, most of which were answered
    DECISIONS = "decisions"  # what many requests were decided by
    STATE = "state"  # changes of what the process believes and does
    FAILURES = "failures"  # decisions that failed a request or an attempt
    PROBLEMS = "problems"  # what an operator should look at


# A line has about 500 bytes, and a VM writes 13.5 KB of lines a second on a busy day.
LINES_PER_S = dict.fromkeys(Budget, 150)


class BoundedHandler(logging.Handler):
    """A handler that writes lines to a stream without blocking, within a budget per second.

    Each budget has its own number of lines. Warnings and errors count as problems, and other
    records as the state unless BUDGET_KEY states another budget. Lines beyond a budget are left
    out. Their number by event, and the time since the first, are logged after the next line.
    """

    def __init__(self, stream: TextIO, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._clock = clock
        self._second = 0
        self._used_lines: Counter[Budget] = Counter()
        self._pending: deque[tuple[str, bytes]] = deque()
        self._pending_bytes = 0
        self._left_out: Counter[str] = Counter()
        self._left_out_since_s = 0.0

    @property
    def left_out_count(self) -> int:
        """Return how many lines were left out and have not been reported."""
        return self._left_out.total()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        if not self._has_budget(record):
            self._leave_out(_event(record))
            return
        try:
            line = self.format(record)
        except (TypeError, ValueError) as exc:
            line = f'{{"level": "error", "event": "log line not formatted", "error": "{exc!r}"}}'
        if self._left_out:
            line += "\n" + self._left_out_line()
        if self._append(_event(record), line.encode() + b"\n"):
            self._left_out.clear()
        else:
            self._leave_out(_event(record))
        self.flush()

    def flush(self) -> None:
        """Write pending lines until the stream would block."""
        while self._pending:
            try:
                event, data = self._pending[0]
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError as exc:
                self._drop_all(exc)
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending[0] = event, data[written:]
            else:
                self._pending.popleft()

    def _append(self, event: str, data: bytes) -> bool:
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending.append((event, data))
        self._pending_bytes += len(data)
        return True

    def _drop_all(self, exc: OSError) -> None:
        """Discard the pending lines after a write error, which only stderr can still report."""
        for event, _ in self._pending:
            self._leave_out(event)
        self._pending.clear()
        self._pending_bytes = 0
        print(f"log lines lost: {exc}", file=sys.stderr)

    def _has_budget(self, record: logging.LogRecord) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._used_lines.clear()
        budget: Budget = getattr(record, BUDGET_KEY, Budget.STATE)
        if record.levelno >= logging.WARNING:
            budget = Budget.PROBLEMS
        self._used_lines[budget] += 1
        return self._used_lines[budget] <= LINES_PER_S[budget]

    def _leave_out(self, event: str) -> None:
        if not self._left_out:
            self._left_out_since_s = self._clock()
        is_named = event in self._left_out or len(self._left_out) < MAX_NAMED_EVENTS
        self._left_out[event if is_named else OTHER_EVENTS] += 1

    def _left_out_line(self) -> str:
        fields = {
            "count": self.left_out_count,
            "within_s": round(self._clock() - self._left_out_since_s, 3),
            "by_event": dict(self._left_out),
        }
        attributes = {"msg": "log lines left out", "levelname": "WARNING", FIELDS_KEY: fields}
        return self.format(logging.makeLogRecord(attributes))


def _event(record: logging.LogRecord) -> str:
    """Return the name of the event of a record, or the start of another logger's text."""
    return str(record.msg)[:MAX_NAME_CHARS]
