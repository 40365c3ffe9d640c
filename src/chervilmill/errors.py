"""Define the base class of all errors that cross package boundaries.

Each error names the step that failed and the peer that it concerns, so that operators can act on a
log line or a command-line message without a stack trace.
"""


class ChervilmillError(Exception):
    """A failure of one step of an exchange with a peer."""

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(f"{step}: {peer}: {message}")
        self.message = message
        self.step = step
        self.peer = peer
