"""Parse the operators' command line and run one command."""

import argparse
import sys
from collections.abc import Sequence

from chervilmill.cli._commands import COMMAND_MODULES
from chervilmill.cli._exit import CommandError, ExitCode

EPILOG = (
    "Exit codes: 0 done, 1 refused, 2 wrong use or settings, 3 a peer failed, "
    "4 the state changed meanwhile: check the state before running the command again."
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command that the arguments name, and return its exit code."""
    args = _parser().parse_args(argv)
    try:
        return int(args.run(args))
    except CommandError as exc:
        print(f"chervilmill: {exc}", file=sys.stderr)
        return exc.code
    except ExceptionGroup as group:
        for problem in group.exceptions:
            print(problem, file=sys.stderr)
        return ExitCode.USAGE_ERROR


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="chervilmill",
        description="Inspect and control entry VMs and their steering.",
        epilog=EPILOG,
    )
    commands = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    for module in COMMAND_MODULES:
        module.add_parser(commands)
    return parser
