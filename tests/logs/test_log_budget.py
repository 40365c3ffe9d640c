"""Test that logging stays within its budget and never waits for the reader."""

import json
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TextIO

import pytest

from chervilmill._log_budget import (
    BUDGET_KEY,
    LINES_PER_S,
    MAX_NAME_CHARS,
    MAX_NAMED_EVENTS,
    MAX_PENDING_BYTES,
    OTHER_EVENTS,
    BoundedHandler,
    Budget,
)
from chervilmill.logs import _JsonFormatter


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
    text: str, level: int = logging.INFO, budget: Budget = Budget.REQUESTS
) -> logging.LogRecord:
    record = logging.LogRecord("test", level, "", 0, text, (), None)
    setattr(record, BUDGET_KEY, budget)
    return record


def _json_handler(stream: TextIO, clock: Callable[[], float]) -> BoundedHandler:
    handler = BoundedHandler(stream, clock)
    handler.setFormatter(_JsonFormatter("vm-1", None))
    return handler


def _lines(read: int) -> list[str]:
    os.set_blocking(read, False)
    try:
        return os.read(read, 1 << 22).decode().splitlines()
    except BlockingIOError:
        return []


def test_lines_beyond_the_budget_are_counted_by_event() -> None:
    with _pipe() as (read, stream):
        now_s = [0.25]
        handler = _json_handler(stream, lambda: now_s[0])
        for _ in range(LINES_PER_S[Budget.REQUESTS]):
            handler.emit(_record("answered"))
        for event, count in (("answered", 20), ("caller gone", 3)):
            for _ in range(count):
                handler.emit(_record(event))
        now_s[0] = 0.75
        handler.emit(_record("failed", budget=Budget.FAILURES))
        lines = [json.loads(line) for line in _lines(read)]
        events = [line["event"] for line in lines]
        assert events.count("answered") == LINES_PER_S[Budget.REQUESTS]
        assert events[-2:] == ["failed", "log lines left out"]
        assert lines[-1] == {
            "time": lines[-1]["time"],
            "level": "warning",
            "node": "vm-1",
            "event": "log lines left out",
            "count": 23,
            "within_s": 0.5,
            "by_event": {"answered": 20, "caller gone": 3},
        }
        now_s[0] = 1.5
        handler.emit(_record("answered"))
        assert [json.loads(line)["event"] for line in _lines(read)] == ["answered"]


def test_count_by_event_is_bounded() -> None:
    with _pipe() as (read, stream):
        handler = _json_handler(stream, lambda: 0.0)
        for _ in range(LINES_PER_S[Budget.REQUESTS]):
            handler.emit(_record("answered"))
        for number in range(MAX_NAMED_EVENTS + 5):
            handler.emit(_record(f"{number} " + "x" * 1000))
        handler.emit(_record("failed", budget=Budget.FAILURES))
        last = json.loads(_lines(read)[-1])
        assert last["count"] == MAX_NAMED_EVENTS + 5
        assert len(last["by_event"]) == MAX_NAMED_EVENTS + 1
        assert last["by_event"][OTHER_EVENTS] == 5
        assert max(len(name) for name in last["by_event"]) == MAX_NAME_CHARS


@pytest.mark.parametrize(
    ("level", "budget"),
    [
        (logging.INFO, Budget.STATE),
        (logging.INFO, Budget.FAILURES),
        (logging.WARNING, Budget.PROBLEMS),
    ],
)
def test_each_budget_is_separate(level: int, budget: Budget) -> None:
    with _pipe() as (read, stream):
        handler = BoundedHandler(stream, lambda: 0.0)
        for other in Budget:
            if other is not budget:
                others = logging.WARNING if other is Budget.PROBLEMS else logging.INFO
                for _ in range(LINES_PER_S[other] * 2):
                    handler.emit(_record("other", others, other))
        _lines(read)
        for _ in range(LINES_PER_S[budget] + 5):
            handler.emit(_record("line", level, budget))
        assert _lines(read).count("line") == LINES_PER_S[budget]


def test_records_that_state_no_budget_are_about_the_state() -> None:
    with _pipe() as (read, stream):
        handler = BoundedHandler(stream, lambda: 0.0)
        for _ in range(LINES_PER_S[Budget.REQUESTS] * 2):
            handler.emit(_record("answered"))
        _lines(read)
        handler.emit(logging.LogRecord("test", logging.INFO, "", 0, "state", (), None))
        assert "state" in _lines(read)


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
