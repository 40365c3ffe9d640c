"""Define one attempt to run a request at a target, and its failure."""

from dataclasses import dataclass, field

from chervilmill.callers._checked_body import CheckedBody
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.requests import Failure, RequestKind
from chervilmill.targets import Body, Cancellation


class AttemptFailure(Exception):  # noqa: N818 - carries the refusal for the caller
    """An attempt that got no usable answer.

    `refusal` is what the caller gets unless the request is retried. `target` is None if the
    attempt got no slot at any target.
    """

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
    """One attempt to run a request at a target; `number` counts from 1.

    The target's name is added to `taken_targets` once the attempt holds a slot there.
    """

    req: CallerRequest
    body: Body | None
    cancellation: Cancellation
    fingerprint: bytes
    number: int = 1
    excluded: tuple[str, ...] = ()
    taken_targets: list[str] = field(default_factory=list)


def body_of(req: CallerRequest) -> CheckedBody | None:
    """Return the caller's request body, or None for a kind of request that has no body."""
    return None if req.kind is RequestKind.IDEMPOTENT else req.body
