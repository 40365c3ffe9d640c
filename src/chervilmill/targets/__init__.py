"""Send requests to targets and read their answers."""

from chervilmill.targets._cancellation import Cancellation, CancelReason
from chervilmill.targets._client import HttpTargets
from chervilmill.targets._errors import (
    AnswerCrossedError,
    AnswerLostError,
    AnswerShortError,
    ExchangeCancelledError,
    TargetError,
    TargetUnreachableError,
)
from chervilmill.targets._model import Answer, Body, TargetRequest, Targets

__all__ = [
    "Answer",
    "AnswerCrossedError",
    "AnswerLostError",
    "AnswerShortError",
    "Body",
    "CancelReason",
    "Cancellation",
    "ExchangeCancelledError",
    "HttpTargets",
    "TargetError",
    "TargetRequest",
    "TargetUnreachableError",
    "Targets",
]
