"""Decide for one VM which requests the allowances of organisations admit.

A request uses a leased token, or waits while this VM asks the owners of the allowance one after the
other, itself first. Where an owner is silent and none grants, the request uses the reserve of this
VM. All times are readings of one clock, which has to advance while the process is frozen.
"""

import random
from collections.abc import Iterable, Iterator

from chervilmill.overload._allowance_account import AllowanceAccount, PendingAsk
from chervilmill.overload._allowance_budget import ASKS_PER_S, GRANTS_PER_S, MessageBudget
from chervilmill.overload._allowance_history import OwnershipHistory
from chervilmill.overload._allowance_messages import (
    AllowanceAction,
    AllowanceAsk,
    AllowanceCounts,
    AllowanceGrant,
    AllowanceMessage,
    CheckAt,
    SendTo,
    Settle,
    Waiting,
    organisation_key,
)
from chervilmill.overload._allowance_vms import AllowanceVms
from chervilmill.overload._allowances import AllowanceBounds, AllowedOrganisation

NEAR_TIMEOUT_S = 0.05  # a round trip in a region takes 1 to 7 ms
FAR_TIMEOUT_S = 0.2  # a round trip between regions takes 110 ms
MAX_ASKING_S = 0.35  # for which grants that do not suffice for all who wait are followed by asks
SILENT_S = 1.0  # for which an owner that did not answer is not asked
NO_OWNER_RETRY_S = 0.5
_NUMBERS = 1 << 16


class AllowanceDesk:
    """The allowances at one VM: its leases, its reserves, and the buckets that it owns."""

    def __init__(
        self, vms: AllowanceVms, bounds: AllowanceBounds, rng: random.Random, started_s: float
    ) -> None:
        self.counts = AllowanceCounts()
        self._vms = vms
        self._bounds = bounds
        self._rng = rng
        self._started_s = started_s
        self._history = OwnershipHistory(vms.own_name, vms.in_own_region, started_s)
        self._contact = vms.share_in_contact
        self._empty_s = float("-inf")  # when contact to the region was lost last
        self._start_ends_s = float("inf")
        self._organisations: dict[int, AllowedOrganisation] = {}
        self._accounts: dict[int, AllowanceAccount] = {}
        self._asks = MessageBudget(ASKS_PER_S, started_s)
        self._grants = MessageBudget(GRANTS_PER_S, started_s)
        self._next_ticket = 0
        self._next_number = rng.randrange(_NUMBERS)

    def set_organisations(self, organisations: Iterable[AllowedOrganisation], now_s: float) -> None:
        """Replace the organisations by those of the configuration in force."""
        limited = {organisation_key(item.name): item for item in organisations if item.rate_per_s}
        self._organisations = limited
        for key in self._accounts.keys() - limited.keys():
            if not self._accounts[key].waiting:
                del self._accounts[key]
        for key, organisation in limited.items():
            if key in self._accounts:
                self._account(key, organisation, now_s)

    def resume(self) -> None:
        """Note that this VM was registered under its name before it started."""
        self._history.resume()

    def set_vms(self, vms: AllowanceVms, now_s: float) -> None:
        """Replace the VMs; one that becomes an owner waits until the earlier one has noticed."""
        if vms.by_region != self._vms.by_region:
            self._history.add(vms.in_own_region, now_s)  # accounts follow when they are next used
        self._history.note_first_start(vms, now_s)
        self._vms = vms
        self._start_ends_s = self._history.start_ends_s(now_s)
        contact = self._history.share_of_rate(vms, now_s)
        self._empty_s = now_s if 1.0 > contact != self._contact else self._empty_s
        self._contact = contact
        for account in self._accounts.values():
            account.set_contact(contact, now_s)

    def acquire(
        self, organisation: AllowedOrganisation, now_s: float
    ) -> tuple[float | None | Waiting, list[AllowanceAction]]:
        """Return None if admitted, the time after which to retry, or that the request waits."""
        if organisation.rate_per_s <= 0:
            return None, []
        key = organisation_key(organisation.name)
        account = self._account(key, organisation, now_s)
        account.lease.record_demand(now_s)
        if not account.waiting and account.lease.take(now_s):
            self.counts.granted += 1
            return None, []
        refused_s = account.lease.refused_s(now_s)
        if refused_s > 0:
            self.counts.refused += 1
            return refused_s, []
        ticket = self._next_ticket
        self._next_ticket += 1
        account.waiting.append(ticket)
        actions = list(self._ask(key, account, now_s)) if account.pending is None else []
        if actions and isinstance(actions[0], Settle) and actions[0].ticket == ticket:
            return actions[0].retry_after_s, actions[1:]
        return Waiting(ticket), actions

    def abandon(self, organisation: AllowedOrganisation, ticket: int, now_s: float) -> None:
        """Forget a waiting request whose caller is gone."""
        account = self._accounts.get(organisation_key(organisation.name))
        if account is not None and ticket in account.waiting:
            account.waiting.remove(ticket)

    def give_back(self, organisation: AllowedOrganisation, now_s: float) -> None:
        """Return the token of a request that was refused afterwards without having run."""
        account = self._accounts.get(organisation_key(organisation.name))
        if account is not None:
            account.lease.give_back(now_s)

    def receive(self, vm: str, message: AllowanceMessage, now_s: float) -> list[AllowanceAction]:
        """Answer an ask, or use a grant."""
        if isinstance(message, AllowanceAsk):
            if not self._grants.take(now_s):
                return []
            return [SendTo(vm, self._grant(message, now_s))]
        account = self._accounts.get(message.organisation)
        if account is None or account.pending is None:
            return []
        if (account.pending.owner, account.pending.number) != (vm, message.number):
            return []  # an answer to an ask that has timed out
        return list(self._use(message, account, now_s))

    def check(self, organisation: int, now_s: float) -> list[AllowanceAction]:
        """Ask the next owner if the one that was asked last has not answered in time."""
        account = self._accounts.get(organisation)
        if account is None or account.pending is None or now_s < account.pending.until_s:
            return []
        self.counts.timed_out += 1
        account.skip_silent(account.pending.owner, now_s + SILENT_S)
        account.pending = None
        return list(self._ask_next(organisation, account, now_s))

    def _account(
        self, key: int, organisation: AllowedOrganisation, now_s: float
    ) -> AllowanceAccount:
        if now_s >= self._start_ends_s:
            self.set_vms(self._vms, now_s)
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = AllowanceAccount(organisation, self._bounds)
            account.set_contact(self._contact, now_s)
        elif account.organisation == organisation and account.lists == self._history.number:
            return account
        account.apply(organisation, self._vms, self._history, self._empty_s, now_s)
        return account

    def _grant(self, ask: AllowanceAsk, now_s: float) -> AllowanceGrant:
        organisation = self._organisations.get(ask.organisation)
        if organisation is None:
            return AllowanceGrant(ask.organisation, ask.number, 0, NO_OWNER_RETRY_S)
        owned = self._account(ask.organisation, organisation, now_s).owned
        if owned is None or ask.tokens < 1:
            return AllowanceGrant(ask.organisation, ask.number, 0, NO_OWNER_RETRY_S)
        grant = owned.grant(ask.tokens, now_s)
        return AllowanceGrant(ask.organisation, ask.number, grant.tokens, grant.retry_after_s)

    def _ask(self, key: int, account: AllowanceAccount, now_s: float) -> Iterator[AllowanceAction]:
        """Begin to ask the owners, one after the other."""
        are_reachable = all(self._vms.is_reachable(vm) for vm in account.plan.owners)
        account.is_owner_silent = not are_reachable or account.has_silent(now_s)
        skipped = account.skipped(now_s)
        owners = self._vms.owners_to_ask(account.plan, skipped, self._rng)
        account.to_ask = [item for item in owners if item[1] or account.may_ask_far(now_s)]
        account.began_s = now_s
        account.has_asked = False
        yield from self._ask_next(key, account, now_s)

    def _ask_next(
        self, key: int, account: AllowanceAccount, now_s: float
    ) -> Iterator[AllowanceAction]:
        if not account.waiting:
            return
        if not account.to_ask:
            yield from self._end_asking(account, now_s)
            return
        owner, is_near = account.to_ask.pop(0)
        is_own = owner == self._vms.own_name
        if not is_own and not self._asks.take(now_s, is_further=account.has_asked):
            yield from self._end_asking(account, now_s)
            return
        account.has_asked = account.has_asked or not is_own
        tokens = account.lease.wanted(len(account.waiting), account.lease_s)
        self._next_number = (self._next_number + 1) % _NUMBERS
        ask = AllowanceAsk(key, self._next_number, tokens)
        until_s = now_s + (NEAR_TIMEOUT_S if is_near else FAR_TIMEOUT_S)
        account.pending = PendingAsk(owner, is_near, ask.number, now_s, until_s)
        if is_own:
            yield from self._use(self._grant(ask, now_s), account, now_s)
            return
        self.counts.asked += 1
        yield SendTo(owner, ask)
        yield CheckAt(until_s, key)

    def _use(
        self, grant: AllowanceGrant, account: AllowanceAccount, now_s: float
    ) -> Iterator[AllowanceAction]:
        assert account.pending is not None
        pending, account.pending = account.pending, None
        if grant.tokens:
            account.lease.receive(grant.tokens, pending.asked_s + account.lease_s, now_s)
            yield from self._admit_waiting(account, now_s)
            account.note_grant(is_near=pending.is_near)
            if account.waiting and now_s - account.began_s < MAX_ASKING_S:
                account.to_ask.append((pending.owner, pending.is_near))
                yield from self._ask_next(grant.organisation, account, now_s)
            elif account.waiting:
                yield from self._end_asking(account, now_s)
            return
        account.note_refusal(pending, grant.retry_after_s, self._vms.own_name, now_s)
        yield from self._ask_next(grant.organisation, account, now_s)

    def _admit_waiting(self, account: AllowanceAccount, now_s: float) -> Iterator[AllowanceAction]:
        while account.waiting and account.lease.take(now_s):
            self.counts.granted += 1
            yield Settle(account.waiting.popleft(), None)

    def _end_asking(self, account: AllowanceAccount, now_s: float) -> Iterator[AllowanceAction]:
        """Use the reserve if an owner was silent, and refuse the other requests that wait."""
        while account.waiting and account.is_owner_silent:
            window_s = self._bounds.window_s
            if not account.lease.take_reserve(
                account.plan.reserve, window_s, self._started_s, now_s
            ):
                break
            self.counts.reserved += 1
            yield Settle(account.waiting.popleft(), None)
        if not account.waiting:
            return
        retry_s = account.next_ask_s(self._vms.is_reachable, now_s)
        retry_s = NO_OWNER_RETRY_S if retry_s is None else retry_s
        account.lease.refuse_until(now_s + retry_s)
        while account.waiting:
            self.counts.refused += 1
            yield Settle(account.waiting.popleft(), retry_s)
