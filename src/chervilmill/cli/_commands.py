"""List the modules that define the commands of the command line."""

import argparse
from typing import Protocol, TypeAlias

from chervilmill.cli import _drain, _explain, _settings, _status, _steering, _trace

Commands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


class CommandModule(Protocol):
    """A module that adds commands to the command line.

    Each parser sets the default `run` to a function that takes the parsed arguments, raises
    CommandError if the command fails, and otherwise returns an ExitCode.
    """

    def add_parser(self, commands: Commands) -> None:
        """Add the parsers of this module's commands."""
        ...


COMMAND_MODULES: tuple[CommandModule, ...] = (
    _status,
    _drain,
    _steering,
    _settings,
    _trace,
    _explain,
)
