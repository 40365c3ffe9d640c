"""Define the exit codes of the command line and the error that carries them."""

from enum import IntEnum

from chervilmill.errors import ChervilmillError


class ExitCode(IntEnum):
    """The exit codes of the command line."""

    DONE = 0
    REFUSED = 1
    USAGE_ERROR = 2
    PEER_FAILED = 3
    CONFLICT = 4


class CommandError(ChervilmillError):
    """Raised when a command was not carried out; `code` is the exit code for the reason."""

    def __init__(self, message: str, *, step: str, peer: str, code: ExitCode) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
