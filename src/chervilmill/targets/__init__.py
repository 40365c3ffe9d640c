"""Send requests to targets and read their answers."""

from chervilmill.targets._client import (
    Answer,
    Body,
    HttpTargets,
    TargetAnswer,
    TargetRequest,
    Targets,
)
from chervilmill.targets._errors import (
    AnswerCrossedError,
    AnswerLostError,
    AnswerShortError,
    TargetError,
    TargetUnreachableError,
)

__all__ = [
    "Answer",
    "AnswerCrossedError",
    "AnswerLostError",
    "AnswerShortError",
    "Body",
    "HttpTargets",
    "TargetAnswer",
    "TargetError",
    "TargetRequest",
    "TargetUnreachableError",
    "Targets",
]
