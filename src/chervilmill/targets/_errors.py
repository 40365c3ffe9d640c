"""Define the errors of exchanges between this node and a target."""

from chervilmill.errors import ChervilmillError


class TargetError(ChervilmillError):
    """An exchange with a target failed."""


class TargetUnreachableError(TargetError):
    """No connection was made, so the target cannot have run the request."""


class AnswerLostError(TargetError):
    """The request was sent but no answer arrived; the target may have run the request."""


class AnswerCrossedError(TargetError):
    """The answer carries the id of another request."""


class AnswerShortError(TargetError):
    """The answer ended before its stated end."""


class ExchangeCancelledError(TargetError):
    """This node cancelled the exchange."""
