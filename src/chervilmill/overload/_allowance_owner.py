"""Grant tokens of an organisation's allowance, as one of its owners."""

from dataclasses import dataclass

from chervilmill.overload._allowances import OwnerShare

# Until the other VMs have the new list of VMs, an earlier owner may still grant. A list is in force
# within 4 s, and a VM that is cut off is known to be dead within 5 s.
TAKEOVER_S = 6.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
MAX_GRANT_SHARE = 0.5  # of the tokens saved, beyond one, so that the next asker gets some
ASKS_PER_S = 40.0  # the most that refused askers are told to send to one owner


@dataclass(frozen=True, slots=True)
class Grant:
    """What an owner answers: tokens, or the time after which to ask again."""

    tokens: int
    retry_after_s: float = 0.0


class OwnedAllowance:
    """The token bucket of one owner of an organisation.

    It is empty at `active_from_s`, and grants nothing before.
    """

    __slots__ = ("_promised_s", "_refilled_s", "_share", "_tokens")

    def __init__(self, share: OwnerShare, active_from_s: float) -> None:
        self._share = share
        self._tokens = 0.0
        self._refilled_s = active_from_s
        self._promised_s = 0.0

    def set_share(self, share: OwnerShare, now_s: float) -> None:
        """Apply another share; a higher one gives no tokens for the past."""
        if share != self._share:
            self._refill(now_s)
            self._share = share
            self._tokens = min(self._tokens, share.burst)

    def begin_at(self, active_from_s: float, now_s: float) -> None:
        """Grant from an earlier time on, if nothing has been granted yet."""
        if self._refilled_s > now_s:
            self._refilled_s = min(self._refilled_s, active_from_s)

    def empty(self, now_s: float) -> None:
        """Drop all tokens, as this VM may not be the owner in the view of the others."""
        self._tokens = 0.0
        self._refilled_s = max(self._refilled_s, now_s)

    def grant(self, wanted: int, now_s: float) -> Grant:
        """Return the tokens granted; a refused asker is told when its turn comes."""
        self._refill(now_s)
        if self._tokens >= 1.0:
            tokens = min(wanted, max(1, int(MAX_GRANT_SHARE * self._tokens)))
            self._tokens -= tokens
            return Grant(tokens)
        return Grant(0, self._next_turn_s(now_s))

    def _refill(self, now_s: float) -> None:
        passed_s = now_s - self._refilled_s
        if passed_s > 0:
            self._tokens = min(self._share.burst, self._tokens + passed_s * self._share.rate_per_s)
            self._refilled_s = now_s

    def _next_turn_s(self, now_s: float) -> float:
        """Return the time until a token is left after those refused before have asked again."""
        rate_per_s = min(ASKS_PER_S, self._share.rate_per_s)
        if rate_per_s <= 0:
            return MAX_RETRY_S
        first_s = max(now_s, self._refilled_s) + (1.0 - self._tokens) / rate_per_s
        self._promised_s = max(first_s, self._promised_s + 1.0 / rate_per_s)
        self._promised_s = min(self._promised_s, now_s + MAX_RETRY_S)
        return max(MIN_RETRY_S, self._promised_s - now_s)
