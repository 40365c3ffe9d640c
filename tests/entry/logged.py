"""Collect the lines that an entry VM logs."""

import json
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from absl import logging as absl_logging

from chervilmill._log_budget import BUDGET_KEY, Budget
from chervilmill.logs import _JsonFormatter

Line = dict[str, Any]


class _Collector(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(_JsonFormatter("vm-1", None))
        self.lines: list[Line] = []

    def emit(self, record: logging.LogRecord) -> None:
        budget = getattr(record, BUDGET_KEY, Budget.STATE)
        self.lines.append(json.loads(self.format(record)) | {"budget": budget})


@contextmanager
def logged_lines() -> Iterator[list[Line]]:
    """Yield a list to which each line logged meanwhile is appended, with its budget."""
    logger = absl_logging.get_absl_logger()
    collector, level = _Collector(), logger.level
    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    try:
        yield collector.lines
    finally:
        logger.removeHandler(collector)
        logger.setLevel(level)


def of_event(lines: list[Line], event: str) -> list[Line]:
    """Return the lines of an event."""
    return [line for line in lines if line["event"] == event]
