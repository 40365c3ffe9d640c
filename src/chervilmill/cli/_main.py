"""Parse the operators' command line and run one command."""

import argparse
import sys
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path

from chervilmill.settings import load_settings


class ExitCode(IntEnum):
    """List the exit codes of the command line."""

    DONE = 0
    WRONG_SETTINGS = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return an exit code."""
    args = _parser().parse_args(argv)
    return int(args.run(args))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="chervilmill", description="Operate chervilmill.")
    commands = parser.add_subparsers(title="commands", required=True)
    settings = commands.add_parser("settings", help="work with settings files")
    settings_commands = settings.add_subparsers(title="commands", required=True)
    check = settings_commands.add_parser("check", help="check a file without starting anything")
    check.add_argument("file", type=Path)
    check.set_defaults(run=_check_settings)
    return parser


def _check_settings(args: argparse.Namespace) -> int:
    try:
        load_settings(args.file)
    except ExceptionGroup as group:
        for problem in group.exceptions:
            print(problem, file=sys.stderr)
        return ExitCode.WRONG_SETTINGS
    print(f"{args.file}: settings are right")
    return ExitCode.DONE
