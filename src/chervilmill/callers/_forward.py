"""Forward callers' requests to targets, by the rules for each kind of request."""

from chervilmill.callers._answers import CallerAnswer
from chervilmill.callers._orders import Orders
from chervilmill.callers._request import CallerRequest
from chervilmill.callers._retries import Retries
from chervilmill.requests import RequestKind


class Forwarder:
    """Runs orders at most once, and other requests with retries."""

    def __init__(self, retries: Retries, orders: Orders) -> None:
        self._retries = retries
        self._orders = orders

    def forward(self, req: CallerRequest) -> CallerAnswer:
        """Return the answer of a target, or raise Refusal."""
        if req.kind is RequestKind.ORDER:
            return self._orders.run(req)
        return self._retries.run(req)
