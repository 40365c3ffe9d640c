"""Hold the state of one VM for the allowance of one organisation."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from chervilmill.overload._allowance_history import OwnershipHistory
from chervilmill.overload._allowance_lease import AllowanceLease
from chervilmill.overload._allowance_owner import OwnedAllowance
from chervilmill.overload._allowance_vms import AllowanceVms
from chervilmill.overload._allowances import (
    AllowanceBounds,
    AllowedOrganisation,
    OwnerShare,
    plan_allowance,
)


@dataclass(frozen=True, slots=True)
class PendingAsk:
    """An ask that has been sent to an owner."""

    owner: str
    is_near: bool
    number: int
    asked_s: float
    until_s: float


# An owner that refused is about as short of tokens as the others, so that VMs under a demand beyond
# the allowance ask each of them seldom, and other regions less often with each refusal.
MIN_RETRY_S = 0.1
MIN_PAUSE_S = 0.25
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
FAR_REFUSALS_BEFORE_PAUSE = 3  # of one, others may have tokens


class AllowanceAccount:
    """The lease, the waiting requests and, on an owner, the bucket of one organisation."""

    def __init__(self, organisation: AllowedOrganisation, bounds: AllowanceBounds) -> None:
        self.organisation = organisation
        self.lease = AllowanceLease()
        self.waiting: deque[int] = deque()
        self.pending: PendingAsk | None = None
        self.to_ask: list[tuple[str, bool]] = []
        self.is_owner_silent = False
        self.owned: OwnedAllowance | None = None
        self.lists = -1  # the number of the list of VMs that the plan is made from
        self.plan = plan_allowance(organisation, {}, bounds, "", "")
        self._bounds = bounds
        self._contact = 1.0
        self._region = ""
        self._skipped_until_s: dict[str, float] = {}
        self._silent_until_s = 0.0
        self.began_s = 0.0  # when the owners were first asked for the requests that wait
        self.has_asked = False  # another VM since then
        self._far_pause_s = FIRST_PAUSE_S
        self._far_from_s = 0.0
        self._far_refusals = 0  # in a row

    def apply(
        self,
        organisation: AllowedOrganisation,
        vms: AllowanceVms,
        history: OwnershipHistory,
        empty_s: float,
        now_s: float,
    ) -> None:
        """Apply a limit and a list of VMs; a new owner has no tokens at `empty_s` or before."""
        self.organisation = organisation
        self.plan = plan_allowance(
            organisation, vms.by_region, self._bounds, vms.own_name, vms.own_region
        )
        self._region = vms.own_region
        self._skipped_until_s.clear()
        known, self.lists = self.lists, history.number
        if vms.own_name not in self.plan.owners:
            self.owned = None
            return
        since, active_s = history.owner_since(organisation, self.plan.count)
        if self.owned is None or since > known:  # another VM may have been the owner in between
            self.owned = OwnedAllowance(self._share(), max(active_s, empty_s))
        else:
            self.owned.set_share(self._share(), now_s)
            self.owned.begin_at(max(active_s, empty_s), now_s)

    def set_contact(self, share: float, now_s: float) -> None:
        """Apply the share of its rate that this VM may grant as an owner."""
        if share == self._contact:
            return
        is_lost = share < 1.0
        self._contact = share
        if self.owned is not None:
            self.owned.set_share(self._share(), now_s)
            if is_lost:
                self.owned.empty(now_s)

    def _share(self) -> OwnerShare:
        share = self.plan.share
        return OwnerShare(share.rate_per_s * self._contact, share.burst)

    @property
    def lease_s(self) -> float:
        """Return for how long a token may be used, from when it was asked for."""
        return self._bounds.lease_s(self.organisation.rate_per_s)

    def skip(self, owner: str, until_s: float) -> None:
        """Do not ask an owner until then."""
        self._skipped_until_s[owner] = until_s

    def may_ask_far(self, now_s: float) -> bool:
        """Return whether owners of other regions may be asked now."""
        return now_s >= self._far_from_s

    def note_grant(self, *, is_near: bool) -> None:
        """Ask other regions at short intervals again, as they have tokens."""
        if not is_near:
            self._far_refusals, self._far_pause_s = 0, FIRST_PAUSE_S

    def note_refusal(
        self, ask: PendingAsk, retry_after_s: float, own_name: str, now_s: float
    ) -> None:
        """Do not ask an owner for a while, and other regions for longer each time."""
        pause_s = max(MIN_PAUSE_S, retry_after_s)
        if ask.is_near and ask.owner != own_name and self.owned is not None:
            pause_s = max(FIRST_PAUSE_S, retry_after_s)
        self.skip(ask.owner, now_s + pause_s)
        if ask.is_near:
            return
        self._far_refusals += 1
        if self._far_refusals >= FAR_REFUSALS_BEFORE_PAUSE and self.may_ask_far(now_s):
            self._far_from_s = now_s + self._far_pause_s
            self._far_pause_s = min(MAX_PAUSE_S, 2 * self._far_pause_s)

    def skip_silent(self, owner: str, until_s: float) -> None:
        """Do not ask an owner that did not answer until then."""
        self.skip(owner, until_s)
        self.is_owner_silent = True
        self._silent_until_s = until_s

    def has_silent(self, now_s: float) -> bool:
        """Return whether an owner is not asked now because it did not answer."""
        return now_s < self._silent_until_s

    def skipped(self, now_s: float) -> set[str]:
        """Return the owners that are not to be asked now."""
        return {owner for owner, until_s in self._skipped_until_s.items() if until_s > now_s}

    def next_ask_s(self, is_reachable: Callable[[str], bool], now_s: float) -> float | None:
        """Return the time until an owner may be asked, or None if none can be reached."""
        near = self.plan.owners_by_region.get(self._region, ())
        far_s = max(0.0, self._far_from_s - now_s)
        waits_s = [
            max(self._skipped_until_s.get(owner, now_s) - now_s, 0.0 if owner in near else far_s)
            for owner in self.plan.owners
            if is_reachable(owner)
        ]
        return max(MIN_RETRY_S, min(waits_s)) if waits_s else None
