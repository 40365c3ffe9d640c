"""Describe one attempt of a request and how it can fail."""

from dataclasses import dataclass, field

from chervilmill.callers._checked_body import CheckedBody
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.requests import Failure, RequestKind
from chervilmill.targets import Body, Cancellation


class AttemptFailure(Exception):  # noqa: N818 - carries the refusal that the caller would get
    """Report an attempt that got no answer; `target` is None where none was taken."""

    def __init__(
        self,
        failure: Failure,
        refusal: Refusal,
        target: str | None = None,
        *,
        is_crash: bool = False,
    ) -> None:
        super().__init__(refusal.detail)
        self.failure = failure
        self.refusal = refusal
        self.target = target
        self.is_crash = is_crash


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one attempt of a request; `number` counts from 1.

    The name of the target is added to `taken` once it has a place there.
    """

    req: CallerRequest
    body: Body | None
    cancellation: Cancellation
    fingerprint: bytes
    number: int = 1
    excluded: tuple[str, ...] = ()
    taken: list[str] = field(default_factory=list)


def body_of(req: CallerRequest) -> CheckedBody | None:
    """Return the body of a request as it comes from the caller, or None where it has none."""
    return None if req.kind is RequestKind.IDEMPOTENT else req.body
