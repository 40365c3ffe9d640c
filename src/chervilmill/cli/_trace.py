"""Explain the outcome of one request from the logs of entry VMs."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from chervilmill.cli._exit import CommandError, ExitCode
from chervilmill.cli._options import output_options
from chervilmill.cli._output import show

CONTEXT_S = 3.0  # state changes this long before or after a request may explain its outcome
_COMMON_FIELDS = ("time", "level", "node", "event", "step", "request")
_REQUEST_EVENTS = frozenset(
    {"answered", "attempt failed", "request refused", "caller gone", "answer broken off"}
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log, whose `timestamp` is a text that sorts by time."""

    timestamp: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return the name of the logged event."""
        return str(self.fields.get("event", ""))


def add_parser(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command `trace`."""
    parser = commands.add_parser(
        "trace",
        help="show the log lines that explain one request",
        description="Print the log lines of a request from all entry VMs, and the other events "
        f"that these VMs logged up to {CONTEXT_S:g} s before and after the request.",
        parents=[output_options()],
    )
    parser.add_argument("request", metavar="REQUEST-ID")
    parser.add_argument("logs", nargs="*", type=Path, help="log files (default: standard input)")
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> ExitCode:
    lines = sorted(_read(args.logs), key=lambda line: line.timestamp)
    request_lines = [line for line in lines if line.fields.get("request") == args.request]
    if not request_lines:
        raise CommandError(
            f"no line has request {args.request}",
            step="read logs",
            peer="logs",
            code=ExitCode.REFUSED,
        )
    found = trace(lines, args.request)
    show(args, {"request": args.request, "lines": [line.fields for line in found]}, _text(found))
    return ExitCode.DONE


def trace(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request, and what its entry VMs logged around that time.

    Lines of other requests are left out.
    """
    listed = list(lines)
    request_lines = [line for line in listed if line.fields.get("request") == request]
    nodes = {line.fields.get("node") for line in request_lines}
    first_s, last_s = _time_s(request_lines[0].timestamp), _time_s(request_lines[-1].timestamp)

    def is_near(line: LogLine) -> bool:
        return first_s - CONTEXT_S <= _time_s(line.timestamp) <= last_s + CONTEXT_S

    return [
        line
        for line in listed
        if line in request_lines
        or (
            line.event not in _REQUEST_EVENTS and line.fields.get("node") in nodes and is_near(line)
        )
    ]


def parse_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in a text, and skip any prefix before their JSON objects."""
    for raw in text:
        begin = raw.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(raw[begin:])
        except ValueError:
            continue
        if isinstance(fields, dict) and isinstance(fields.get("time"), str):
            yield LogLine(fields["time"], fields)


def _read(paths: list[Path]) -> Iterator[LogLine]:
    if not paths:
        yield from parse_lines(sys.stdin)
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from parse_lines(file)
        except OSError as exc:
            raise CommandError(
                str(exc), step="read logs", peer=str(path), code=ExitCode.USAGE_ERROR
            ) from exc


def _time_s(timestamp: str) -> float:
    """Return the seconds from midnight to the time of a log line."""
    hours, minutes, seconds = timestamp.partition("T")[2].rstrip("Z").split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def _text(lines: Iterable[LogLine]) -> Iterator[str]:
    for line in lines:
        details = [
            f"{key}={value}" for key, value in line.fields.items() if key not in _COMMON_FIELDS
        ]
        mark = "*" if "request" in line.fields else " "
        yield f"{mark} {line.timestamp} {line.fields.get('node')} {line.event}: {' '.join(details)}"
