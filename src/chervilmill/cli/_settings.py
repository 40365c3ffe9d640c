"""Check settings files without starting a node."""

import argparse
from pathlib import Path

from chervilmill.cli._exit import ExitCode
from chervilmill.cli._options import output_options
from chervilmill.cli._output import show
from chervilmill.settings import load_settings


def add_parser(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command `settings check`."""
    settings = commands.add_parser("settings", help="check settings files")
    settings_commands = settings.add_subparsers(title="commands", required=True, metavar="COMMAND")
    check = settings_commands.add_parser(
        "check", help="check a settings file without starting a node", parents=[output_options()]
    )
    check.add_argument("file", type=Path, metavar="FILE")
    check.set_defaults(run=_check)


def _check(args: argparse.Namespace) -> ExitCode:
    load_settings(args.file)
    show(args, {"file": str(args.file), "right": True}, [f"{args.file}: settings are valid"])
    return ExitCode.DONE
