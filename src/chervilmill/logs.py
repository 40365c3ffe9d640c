"""Write logs as JSON lines through absl.logging."""

import json
import logging
import sys
import time
from collections.abc import Callable
from typing import TextIO

from absl import logging as absl_logging

from chervilmill._log_budget import BUDGET_KEY, FIELDS_KEY, BoundedHandler, Budget

RevisionSource = Callable[[], int]


_encode = json.JSONEncoder(default=str).encode  # json.dumps would make an encoder for each line


class _JsonFormatter(logging.Formatter):
    def __init__(self, node: str, revision: RevisionSource | None) -> None:
        super().__init__()
        self._node = node
        self._revision = revision
        self._second = 0
        self._second_text = ""

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, object] = {
            "time": f"{self._second_of(record.created)}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "node": self._node,
            "event": record.getMessage(),
        }
        if self._revision is not None:
            line["revision"] = self._revision()
        line.update(getattr(record, FIELDS_KEY, {}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return _encode(line)

    def _second_of(self, created_s: float) -> str:
        """Return the text of a time without its fraction, which most lines share with another."""
        if int(created_s) != self._second or not self._second_text:
            self._second = int(created_s)
            self._second_text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(created_s))
        return self._second_text


def set_up_logs(
    node: str, revision: RevisionSource | None = None, stream: TextIO | None = None
) -> None:
    """Write every log line of this process to stderr as one JSON object.

    If a stream is given, lines are written there instead, within a budget per second and without
    waiting for the reader of the stream.

    Each line names the node and, if `revision` is given, the revision of the configuration that the
    node's decision was based on.
    """
    handler = logging.StreamHandler(sys.stderr) if stream is None else BoundedHandler(stream)
    handler.setFormatter(_JsonFormatter(node, revision))
    root = logging.getLogger()
    for previous in list(root.handlers):
        root.removeHandler(previous)
    root.addHandler(handler)
    logger = absl_logging.get_absl_logger()
    logger.handlers.clear()
    logger.propagate = True
    absl_logging.set_verbosity(absl_logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log an event, such as a change of what the process believes, with its fields."""
    absl_logging.get_absl_logger().info(event, extra={FIELDS_KEY: fields})


def log_request(event: str, **fields: object) -> None:
    """Log what became of a request, of which lines are left out first under load."""
    extra = {FIELDS_KEY: fields, BUDGET_KEY: Budget.REQUESTS}
    absl_logging.get_absl_logger().info(event, extra=extra)


def log_decisions(event: str, **fields: object) -> None:
    """Log what many requests were decided by, within a budget of its own."""
    extra = {FIELDS_KEY: fields, BUDGET_KEY: Budget.DECISIONS}
    absl_logging.get_absl_logger().info(event, extra=extra)


def log_failure(event: str, **fields: object) -> None:
    """Log a decision that failed a request, within a budget of its own."""
    extra = {FIELDS_KEY: fields, BUDGET_KEY: Budget.FAILURES}
    absl_logging.get_absl_logger().info(event, extra=extra)


def log_problem(event: str, **fields: object) -> None:
    """Log a problem that an operator should look at, as a warning."""
    absl_logging.get_absl_logger().warning(event, extra={FIELDS_KEY: fields})
