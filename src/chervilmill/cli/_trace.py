"""Explain what became of one request, from the logs of entry VMs."""

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

CONTEXT_S = 3.0  # before and after a request, in which a change of belief may have decided it
_BASIC = ("time", "level", "node", "event", "step", "request")
_REQUEST_EVENTS = frozenset(
    {"answered", "attempt failed", "request refused", "caller gone", "answer broken off"}
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a log; `moment` sorts as text."""

    moment: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return what happened."""
        return str(self.fields.get("event", ""))


def add_parser(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command `trace`."""
    parser = commands.add_parser(
        "trace",
        help="explain what became of one request, from logs",
        description="Print the way of a request over all entry VMs, with what changed around it.",
        parents=[output_options()],
    )
    parser.add_argument("request", metavar="REQUEST-ID")
    parser.add_argument("logs", nargs="*", type=Path, help="log files; standard input if none")
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> ExitCode:
    lines = sorted(_read(args.logs), key=lambda line: line.moment)
    own = [line for line in lines if line.fields.get("request") == args.request]
    if not own:
        raise CommandError(
            f"no line has request {args.request}",
            step="read logs",
            peer="logs",
            code=ExitCode.REFUSED,
        )
    found = trace(lines, args.request)
    show(args, {"request": args.request, "lines": [one.fields for one in found]}, _text(found))
    return ExitCode.DONE


def trace(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request, with what its entry VMs came to believe around it."""
    listed = list(lines)
    own = [line for line in listed if line.fields.get("request") == request]
    nodes = {line.fields.get("node") for line in own}
    first, last = _seconds(own[0].moment), _seconds(own[-1].moment)

    def is_around(line: LogLine) -> bool:
        return first - CONTEXT_S <= _seconds(line.moment) <= last + CONTEXT_S

    return [
        line
        for line in listed
        if line in own
        or (
            line.event not in _REQUEST_EVENTS
            and line.fields.get("node") in nodes
            and is_around(line)
        )
    ]


def parse_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among lines of text; a prefix before the JSON object is skipped."""
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
                str(exc), step="read logs", peer=str(path), code=ExitCode.WRONG_USE
            ) from exc


def _seconds(moment: str) -> float:
    """Return the second of the day of a log line's time."""
    hours, minutes, seconds = moment.partition("T")[2].rstrip("Z").split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def _text(lines: Iterable[LogLine]) -> Iterator[str]:
    for line in lines:
        facts = [f"{key}={value}" for key, value in line.fields.items() if key not in _BASIC]
        mark = "*" if "request" in line.fields else " "
        yield f"{mark} {line.moment} {line.fields.get('node')} {line.event}: {' '.join(facts)}"
