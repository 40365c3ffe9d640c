"""Test that logging stays within its budget and never waits for the reader."""

import json
import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TextIO

from chervilmill._log_budget import (
    LINES_PER_S,
    MAX_PENDING_BYTES,
    PRIORITY_KEY,
    PROBLEM_LINES_PER_S,
    BoundedHandler,
)


@contextmanager
def _pipe() -> Iterator[tuple[int, TextIO]]:
    read, write = os.pipe()
    stream = os.fdopen(write, "w")
    try:
        yield read, stream
    finally:
        stream.close()
        os.close(read)


def _record(
    text: str, level: int = logging.INFO, *, is_priority: bool = False
) -> logging.LogRecord:
    record = logging.LogRecord("test", level, "", 0, text, (), None)
    setattr(record, PRIORITY_KEY, is_priority)
    return record


def _lines(read: int) -> list[str]:
    os.set_blocking(read, False)
    try:
        return os.read(read, 1 << 22).decode().splitlines()
    except BlockingIOError:
        return []


def test_ordinary_lines_beyond_the_budget_are_counted() -> None:
    with _pipe() as (read, stream):
        now_s = [0.5]
        handler = BoundedHandler(stream, lambda: now_s[0])
        for _ in range(LINES_PER_S + 20):
            handler.emit(_record("usual"))
        handler.emit(_record("failed", is_priority=True))
        lines = _lines(read)
        assert lines.count("usual") == LINES_PER_S
        assert lines[-2] == "failed"
        assert json.loads(lines[-1]) == {"event": "log lines left out", "count": 20}
        now_s[0] = 1.5
        handler.emit(_record("usual"))
        assert _lines(read) == ["usual"]


def test_problems_have_a_separate_budget() -> None:
    with _pipe() as (read, stream):
        handler = BoundedHandler(stream, lambda: 0.0)
        for _ in range(LINES_PER_S * 2):
            handler.emit(_record("usual"))
        _lines(read)
        for _ in range(PROBLEM_LINES_PER_S + 5):
            handler.emit(_record("problem", logging.WARNING))
        assert _lines(read).count("problem") == PROBLEM_LINES_PER_S


def test_stalled_reader_does_not_block_logging() -> None:
    with _pipe() as (read, stream):
        now_s = [0.0]
        handler = BoundedHandler(stream, lambda: now_s[0])
        for number in range(4000):
            now_s[0] = number
            handler.emit(_record("x" * 1000))
        assert handler.left_out_count >= 4000 - (MAX_PENDING_BYTES + 70_000) // 1001
        _lines(read)
        handler.flush()
        assert _lines(read)


def test_line_that_cannot_be_formatted_is_reported() -> None:
    with _pipe() as (read, stream):
        handler = BoundedHandler(stream, lambda: 0.0)
        handler.emit(logging.LogRecord("test", logging.INFO, "", 0, "%d", ("x",), None))
        assert "not formatted" in _lines(read)[0]
