"""Command line of the daemon."""

import argparse
import sys
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path

from chervilmill.daemon._daemon import Daemon
from chervilmill.logs import log_problem, set_up_logs
from chervilmill.settings import Settings, load_settings
from chervilmill.signals import call_on_stop_signal


class ExitCode(IntEnum):
    """The exit codes of the daemon."""

    STOPPED = 0
    WRONG_SETTINGS = 2
    CANNOT_START = 3


def main(argv: Sequence[str] | None = None) -> int:
    """Run one entry VM until a signal stops it and return an exit code."""
    args = _parser().parse_args(argv)
    try:
        settings = load_settings(args.settings)
    except ExceptionGroup as group:
        for problem in group.exceptions:
            print(problem, file=sys.stderr)
        return ExitCode.WRONG_SETTINGS
    return _run(settings)


def _run(settings: Settings) -> int:
    daemon = Daemon(settings)
    set_up_logs(settings.node.name, lambda: daemon.configuration.snapshot().revision)
    call_on_stop_signal(daemon.request_stop)
    try:
        daemon.start()
    except OSError as exc:
        log_problem("cannot start", step="bind", peer=str(settings.node.callers), error=str(exc))
        return ExitCode.CANNOT_START
    daemon.run()
    return ExitCode.STOPPED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="chervilmilld",
        description="Run one entry VM. SIGTERM stops it gracefully.",
        epilog="Exit codes: 0 stopped, 2 wrong settings, 3 cannot start.",
    )
    parser.add_argument("--settings", type=Path, required=True, help="JSON-with-comments file")
    return parser
