"""Hold leased tokens and the reserve of one VM for one organisation."""

from collections import deque

ASKED_AHEAD_SHARE = 0.7  # of the demand within a lease; what is not used is lost
MAX_ASKED = 64
DEMAND_MEMORY_S = 1.0


class AllowanceLease:
    """The tokens that one VM holds, its reserve, and until when it need not ask again.

    All times are readings of a clock that advances while the process is frozen.
    """

    __slots__ = (
        "_demand",
        "_demand_s",
        "_held",
        "_refused_until_s",
        "_reserve_uses_s",
        "_spent",
        "_valid_until_s",
    )

    def __init__(self) -> None:
        self._held = 0
        self._spent = 0
        self._valid_until_s = 0.0
        self._refused_until_s = 0.0
        self._demand = 0.0
        self._demand_s = 0.0
        self._reserve_uses_s: deque[float] = deque()

    def record_demand(self, now_s: float) -> None:
        """Count a request for the estimate of the demand."""
        passed_s = max(0.0, now_s - self._demand_s)
        self._demand = self._demand * max(0.0, 1.0 - passed_s / DEMAND_MEMORY_S) + 1.0
        self._demand_s = now_s

    def take(self, now_s: float) -> bool:
        """Use a leased token, and return whether there was one."""
        if self._held <= 0 or now_s >= self._valid_until_s:
            return False
        self._held -= 1
        self._spent += 1
        return True

    def give_back(self, now_s: float) -> None:
        """Return a token that was not used, if it may be one of the present lease."""
        if self._spent > 0 and now_s < self._valid_until_s:
            self._spent -= 1
            self._held += 1

    def refused_s(self, now_s: float) -> float:
        """Return for how long the owners will have no token, as they said."""
        return max(0.0, self._refused_until_s - now_s)

    def refuse_until(self, until_s: float) -> None:
        """Refuse requests until then without asking."""
        self._refused_until_s = until_s

    def wanted(self, waiting: int, lease_s: float) -> int:
        """Return how many tokens to ask for."""
        ahead = int(ASKED_AHEAD_SHARE * lease_s * max(0.0, self._demand - 1.0) / DEMAND_MEMORY_S)
        return min(MAX_ASKED, waiting + ahead)

    def receive(self, tokens: int, valid_until_s: float, now_s: float) -> None:
        """Hold granted tokens; those of an earlier lease that are left lapse with it."""
        if now_s >= valid_until_s:
            return
        left = self._held if now_s < self._valid_until_s else 0
        # The tokens left keep their earlier end, which then holds for all.
        until_s = min(valid_until_s, self._valid_until_s) if left else valid_until_s
        self._held, self._spent, self._valid_until_s = left + tokens, 0, until_s

    def take_reserve(self, reserve: int, window_s: float, since_s: float, now_s: float) -> bool:
        """Use the reserve, of which there is nothing within a window of `since_s`, the start."""
        uses_s = self._reserve_uses_s
        while uses_s and now_s - uses_s[0] > window_s:
            uses_s.popleft()
        if now_s - since_s <= window_s or len(uses_s) >= reserve:
            return False
        uses_s.append(now_s)
        return True
