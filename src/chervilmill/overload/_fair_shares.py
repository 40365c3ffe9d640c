"""Share this VM's admitted work fairly among organisations while targets are busy.

Load pattern: one organisation sends several times its usual rate. Its requests fill the queues of
the targets, and those of all other organisations are refused as often as its own.

Each VM decides on the requests that it got itself; VMs exchange no messages about this. While
targets are too busy for a tenth of the requests that this VM wants to place, an organisation above
the level is refused before a target is chosen. The level is the highest weighted amount of work
that each organisation can have of what was admitted (max-min fairness): organisations that ask for
less get all that they ask for.
"""

import math
import random
from dataclasses import dataclass

HALF_LIFE_S = 2.0  # a third of a burst, and long enough for some requests of most organisations
# Of the requests to be placed. A lower share holds back an organisation that sends a quarter of all
# requests on a day without a burst; with a higher one, bursts displace more requests of others.
MIN_BUSY_SHARE = 0.1
MIN_BUSY_REQUESTS = 1.0  # fewer recent ones may be due to a single target
TOLERANCE = 1.1  # to the level, so that the admitted work grows again when targets have room
# Of the share admitted for all organisations. Whoever is admitted less is not held back further.
# The requirement is a quarter, and a VM sees few requests of an organisation.
MIN_ADMITTED_RATIO = 0.4
MIN_ADMITTED_REQUESTS = 2.0  # fewer recent ones say little about the rate of an organisation
UPDATE_INTERVAL_S = 0.1  # between calculations of the level
MAX_ORGANISATIONS = 256  # with a record; the one with the least recent requests is dropped
MIN_REQUESTS = 0.02  # recent ones, below which the record of an organisation is dropped
MIN_RETRY_AFTER_S = 0.2  # the queues of targets shrink by half in about this time
MAX_RETRY_AFTER_S = 1.0  # after longer, most callers have no time left


@dataclass(slots=True)
class _Account:
    """The recent requests of an organisation and their work, as decaying sums."""

    rate_per_s: float = 0.0
    asked_s: float = 0.0
    admitted_s: float = 0.0
    asked: float = 0.0
    admitted: float = 0.0

    def add(self, work_s: float, *, is_admitted: bool) -> None:
        self.asked_s += work_s
        self.asked += 1.0
        if is_admitted:
            self.admitted_s += work_s
            self.admitted += 1.0

    def scale(self, factor: float) -> None:
        self.asked_s *= factor
        self.admitted_s *= factor
        self.asked *= factor
        self.admitted *= factor


class FairShares:
    """The recent requests of organisations to one service, and which of them are held back."""

    __slots__ = (
        "_accounts",
        "_busy",
        "_level",
        "_mean_rate_per_s",
        "_placed",
        "_total",
        "_updated_s",
    )

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._total = _Account()
        self._placed = 0.0
        self._busy = 0.0
        self._level = math.inf
        self._mean_rate_per_s = 1.0
        self._updated_s = 0.0

    def __len__(self) -> int:
        """Return the number of organisations with a record."""
        return len(self._accounts)

    def retry_after_s(self, organisation: str, now_s: float, rng: random.Random) -> float | None:
        """Return when a request that is held back may come again, or None if it may be placed.

        The time is that in which the admitted work of the organisation decays to its share.
        """
        self._update(now_s)
        account = self._accounts.get(organisation)
        if account is None or not self._is_busy() or not self._may_hold_back(account):
            return None
        share_s = TOLERANCE * self._level * self._weight(account)
        if account.admitted_s <= share_s:
            return None
        decay_s = HALF_LIFE_S * math.log2(account.admitted_s / share_s) if share_s else math.inf
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, decay_s) * rng.uniform(1.0, 1.5))

    def record_placed(
        self,
        organisation: str,
        rate_per_s: float,
        work_s: float,
        now_s: float,
        *,
        is_admitted: bool,
    ) -> None:
        """Record a request for which a target was sought, and the rate of the allowance or 0."""
        self._update(now_s)
        self._placed += 1.0
        self._busy += not is_admitted
        self._account(organisation, rate_per_s).add(work_s, is_admitted=is_admitted)

    def record_held_back(
        self, organisation: str, rate_per_s: float, work_s: float, now_s: float
    ) -> None:
        """Record a request that was held back, and the rate of the allowance or 0."""
        self._update(now_s)
        self._account(organisation, rate_per_s).add(work_s, is_admitted=False)

    def _is_busy(self) -> bool:
        return self._busy >= max(MIN_BUSY_REQUESTS, MIN_BUSY_SHARE * self._placed)

    def _may_hold_back(self, account: _Account) -> bool:
        """Return whether an organisation is admitted often enough to be held back."""
        if account.admitted < MIN_ADMITTED_REQUESTS:
            return False
        least = MIN_ADMITTED_RATIO * self._total.admitted * account.asked
        return account.admitted * self._total.asked >= least

    def _account(self, organisation: str, rate_per_s: float) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            if len(self._accounts) >= MAX_ORGANISATIONS:
                del self._accounts[min(self._accounts, key=lambda name: self._accounts[name].asked)]
            account = self._accounts[organisation] = _Account()
        account.rate_per_s = rate_per_s
        return account

    def _update(self, now_s: float) -> None:
        """Let the sums decay and calculate the level, at intervals."""
        elapsed_s = now_s - self._updated_s
        if 0.0 <= elapsed_s < UPDATE_INTERVAL_S:
            return
        self._updated_s = now_s
        factor = math.exp2(-max(0.0, elapsed_s) / HALF_LIFE_S)
        self._placed *= factor
        self._busy *= factor
        self._total = _Account()
        for name, account in list(self._accounts.items()):
            account.scale(factor)
            if account.asked < MIN_REQUESTS:
                del self._accounts[name]
            self._total.asked += account.asked
            self._total.admitted += account.admitted
            self._total.admitted_s += account.admitted_s
        rates = [one.rate_per_s for one in self._accounts.values() if one.rate_per_s > 0]
        self._mean_rate_per_s = sum(rates) / len(rates) if rates else 1.0
        self._level = self._level_of(self._total.admitted_s)

    def _weight(self, account: _Account) -> float:
        """Return the rate of the allowance, or the mean of the others without one."""
        return account.rate_per_s or self._mean_rate_per_s

    def _level_of(self, work_s: float) -> float:
        """Return the level at which the organisations together get an amount of work."""
        asked = sorted(
            (account.asked_s / self._weight(account), self._weight(account))
            for account in self._accounts.values()
        )
        weight_left = sum(weight for _, weight in asked)
        for level, weight in asked:
            if level * weight_left > work_s:
                return work_s / weight_left
            work_s -= level * weight
            weight_left -= weight
        return math.inf
