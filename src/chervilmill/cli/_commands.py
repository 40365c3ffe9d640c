"""List the modules that each add one command or a few to the command line."""

import argparse
from typing import Protocol, TypeAlias

from chervilmill.cli import _drain, _settings, _status, _steering, _trace

Commands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


class CommandModule(Protocol):
    """Add commands to the command line.

    Each parser sets the default `run`: a function that takes the parsed arguments, raises
    CommandError where the command fails, and returns an ExitCode.
    """

    def add_parser(self, commands: Commands) -> None:
        """Add the parsers of this module's commands."""
        ...


COMMAND_MODULES: tuple[CommandModule, ...] = (_status, _drain, _steering, _settings, _trace)
