"""Define the base of every error that crosses a package boundary.

Each error names the step that failed and the peer it failed against, so that a log line or a
command-line message can be acted on without a stack trace.
"""


class ChervilmillError(Exception):
    """Report that a step against a peer did not succeed."""

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(f"{step}: {peer}: {message}")
        self.message = message
        self.step = step
        self.peer = peer
