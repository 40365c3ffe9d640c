"""Forward callers' requests to targets."""

from collections.abc import Iterator
from typing import Protocol

from chervilmill.callers._attempts import AttemptFailure, Attempts, body_of
from chervilmill.callers._orders import Orders
from chervilmill.callers._request import CallerRequest
from chervilmill.requests import RequestKind


class CallerAnswer(Protocol):
    """Hold an answer on its way to the caller."""

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in their order."""
        ...

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the answer as they arrive."""
        ...

    def close(self) -> None:
        """End the exchange."""
        ...


class Forwarder:
    """Run each request by the rules of its kind."""

    def __init__(self, attempts: Attempts, orders: Orders) -> None:
        self._attempts = attempts
        self._orders = orders

    def forward(self, req: CallerRequest) -> CallerAnswer:
        """Return the answer of a target, or raise Refusal."""
        if req.kind is RequestKind.ORDER:
            return self._orders.run(req)
        try:
            return self._attempts.send(req, body_of(req), excluded=())
        except AttemptFailure as failure:
            raise failure.refusal from failure
