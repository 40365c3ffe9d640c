"""Tell since when a VM has been an owner of an organisation, from the lists that it had.

Other VMs may grant what an earlier list gives them until they have a new one. A new owner waits for
them. A VM that restarts and finds its own entry in the store was an owner by the same list before,
and what it had saved is gone: it grants at its rate at once, without tokens.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace

from chervilmill.overload._allowance_owner import TAKEOVER_S
from chervilmill.overload._allowance_vms import AllowanceVms
from chervilmill.overload._allowances import AllowedOrganisation, choose_owners

# While a VM was away for long, others may have become owners in its place. They hear of it within
# this time, in which it grants a part of its rate.
RESUMING_S = 3.0
RESUMING_SHARE = 0.25

# VMs that start together for the first time have no tokens of an earlier time. If each kept the
# list of those that registered before it, n VMs of a region would grant 1 + 1/2 + ... + 1/n times
# this share: 0.9 of the rate with 23 VMs, 1.3 with 100. The bound allows 1.3 if the burst is a
# second's.
STARTED_TOGETHER_S = 4.0
FIRST_START_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class _List:
    number: int
    names: Sequence[str]
    from_s: float
    active_s: float  # from when a VM that is an owner since this list grants


class OwnershipHistory:
    """The lists of VMs of this VM's region that were in force within the time of a takeover."""

    __slots__ = (
        "_first_until_s",
        "_is_resuming",
        "_lists",
        "_own_name",
        "_resumed_s",
        "_started_s",
    )

    def __init__(self, own_name: str, names: Sequence[str], started_s: float) -> None:
        self._own_name = own_name
        self._started_s = started_s
        self._first_until_s = float("-inf")
        self._lists = deque([_List(0, names, started_s, started_s + TAKEOVER_S)])
        self._is_resuming = False
        self._resumed_s = float("-inf")

    @property
    def number(self) -> int:
        """Return the number of the list in force."""
        return self._lists[-1].number

    def resume(self) -> None:
        """Note that this VM has found its own entry; the next list that names it counts."""
        self._is_resuming = True

    def add(self, names: Sequence[str], now_s: float) -> None:
        """Add the list that is in force from now on."""
        active_s = now_s + TAKEOVER_S
        if self._is_resuming and self._own_name in names:
            self._is_resuming, self._resumed_s, active_s = False, now_s, now_s
        self._lists.append(_List(self.number + 1, names, now_s, active_s))
        while self._lists[1].from_s <= now_s - TAKEOVER_S:
            self._lists.popleft()

    def note_first_start(self, vms: AllowanceVms, now_s: float) -> None:
        """Let owners by the list in force grant a part of their rate, if all VMs start together.

        Their buckets were never filled, so that what VMs with lists of different age grant together
        stays below the bound.
        """
        current = self._lists[-1]
        is_starting = now_s - self._started_s < TAKEOVER_S and self._resumed_s < self._started_s
        if not is_starting or current.active_s <= now_s or not vms.is_region_heard:
            return
        if self._is_first_start(vms, now_s):
            self._first_until_s = current.active_s
            self._lists[-1] = replace(current, number=current.number + 1, active_s=now_s)

    def _is_first_start(self, vms: AllowanceVms, now_s: float) -> bool:
        own_uptime_s = now_s - self._started_s
        return vms.longest_uptime_s - own_uptime_s < STARTED_TOGETHER_S

    def start_ends_s(self, now_s: float) -> float:
        """Return when the share of the rate next changes with time alone."""
        ends_s = (self._first_until_s, self._resumed_s + RESUMING_S)
        return min((item for item in ends_s if item > now_s), default=float("inf"))

    def share_of_rate(self, vms: AllowanceVms, now_s: float) -> float:
        """Return the share of its rate that this VM may grant as an owner.

        It is the whole rate if half of the region has answered and no VM there ran for long enough
        to have become an owner, as after a restart of all.
        """
        is_resuming = now_s - self._resumed_s < RESUMING_S
        contact = vms.share_in_contact
        if now_s < self._first_until_s:
            return min(contact, FIRST_START_SHARE) if self._is_first_start(vms, now_s) else 0.0
        if not is_resuming or (contact >= 1.0 and vms.longest_uptime_s < TAKEOVER_S):
            return contact
        return RESUMING_SHARE

    def owner_since(self, organisation: AllowedOrganisation, count: int) -> tuple[int, float]:
        """Return the list since which this VM has been one of `count` owners, and its time.

        It has to be an owner by the list in force.
        """
        since = self._lists[-1]
        active_s = since.active_s
        for earlier in reversed(self._lists):
            is_same = earlier.names == since.names
            if not is_same and self._own_name not in choose_owners(
                organisation.name, earlier.names, count
            ):
                break
            since = earlier
            active_s = min(active_s, since.active_s)
        return since.number, active_s
