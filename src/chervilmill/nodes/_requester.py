"""Decide when a holder requests its share again."""

from collections.abc import Mapping

from chervilmill.nodes._messages import Grant, ShareRequest
from chervilmill.nodes._shares import ShareHolder

REQUEST_INTERVAL_S = 15.0
MIN_RETRY_INTERVAL_S = 0.6
URGENT_INTERVAL_S = 0.4


class Requester:
    """Schedules the share requests of one holder.

    A request follows soon after a change of the demand. Without an answer, or while the share is
    below the demand, requests are repeated at intervals that double up to REQUEST_INTERVAL_S.
    """

    def __init__(self) -> None:
        self.holder = ShareHolder()
        self._last_request_s = float("-inf")
        self._last_wanted: dict[str, int] = {}
        self._number = 0
        self._is_answered = True
        self._retry_interval_s = MIN_RETRY_INTERVAL_S
        self._is_urgent = False

    def request_soon(self) -> None:
        """Make the next request due URGENT_INTERVAL_S after the last one."""
        self._is_urgent = True

    def receive(self, grant: Grant, now: float) -> None:
        """Use a grant.

        If the grant lowers the share of any cap, the next request follows soon, because other
        holders may be waiting for the released units.
        """
        self._is_answered = self._is_answered or grant.number == self._number
        before = self.holder.all_units(now)
        if self.holder.receive(grant, now):
            after = self.holder.all_units(now)
            self._is_urgent = any(after.get(name, 0) < units for name, units in before.items())

    def next_request(
        self, wanted: Mapping[str, int], in_use: Mapping[str, int], now: float
    ) -> ShareRequest | None:
        """Return a request if one is due, else None."""
        has_demand = any(wanted.values()) or any(self._last_wanted.values()) or any(in_use.values())
        if self._is_answered and not has_demand:
            return None
        is_changed = dict(wanted) != self._last_wanted or self._is_urgent
        if now - self._last_request_s < self._interval_s(wanted, is_changed, now):
            return None
        self._retry_interval_s = (
            MIN_RETRY_INTERVAL_S
            if is_changed
            else min(2 * self._retry_interval_s, REQUEST_INTERVAL_S)
        )
        self._is_urgent = False
        self._is_answered = False
        self._last_request_s = now
        self._last_wanted = dict(wanted)
        request = self.holder.request(wanted, in_use, now)
        self._number = request.number
        return request

    def _interval_s(self, wanted: Mapping[str, int], is_changed: bool, now: float) -> float:
        if is_changed:
            return URGENT_INTERVAL_S
        granted = self.holder.all_units(now)
        is_satisfied = all(granted.get(name, 0) >= units for name, units in wanted.items())
        return REQUEST_INTERVAL_S if is_satisfied and self._is_answered else self._retry_interval_s
