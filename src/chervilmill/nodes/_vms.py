"""Share the readings of the platform's list of VMs between nodes.

All nodes together read the list at a fixed rate, and the first that sees a change tells the
others. Readings are numbered, so that each node knows how old the newest one is. The list goes
from live to leaving to removed, so a reading that lags does not take back what a peer has just
told. A VM may have another address in each region, so a region takes the others' word for the
state of a VM only.
"""

from collections.abc import Iterable
from dataclasses import replace

from chervilmill.addresses import parse_address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._messages import VmChanges, VmEntry, VmsPull

LIST_LAG_S = 10.0
SIGN_LIFETIME_S = 600.0
REMEMBER_REMOVED_S = 60.0
ASK_AGAIN_S = 1.0
ENTRIES_PER_MESSAGE = 100
LEAST_READ_INTERVAL_S = 0.5
READS_PER_S = 1.5
LARGE_FLEET_NODES = 100
SPARED_FACTOR = 10.0
SIGNED = "leaving_by_sign"
REMOVED = "removed"

_RANKS = {VmState.LIVE.value: 0, SIGNED: 1, VmState.LEAVING.value: 2, REMOVED: 3}


class VmSpread:
    """Hold the newest known list of VMs."""

    def __init__(self, region: str, outbox: Outbox) -> None:
        self._region = region
        self._outbox = outbox
        self._entries: dict[str, VmEntry] = {}
        self._changed_s: dict[str, float] = {}
        self._asked_s = float("-inf")
        self.is_known = False
        self.generation = 0
        self.reading = 0
        self.read_s = float("-inf")

    def current(self) -> tuple[Vm, ...]:
        """Return the VMs that are not removed, ordered by name."""
        entries = (self._entries[name] for name in sorted(self._entries))
        return tuple(_vm(entry) for entry in entries if entry.state != REMOVED)

    def receive_reading(self, number: int, age_s: float, now: float) -> None:
        """Learn of a newer reading by any node; its news came before."""
        if number > self.reading:
            self.reading = number
            self.read_s = now - age_s

    def read(self, vms: Iterable[Vm], now: float) -> None:
        """Take a reading of the platform's list and tell peers what is new in it."""
        self.reading += 1
        self.read_s = now
        is_first = not self.is_known
        self.is_known = True
        listed = {vm.name: _entry(vm, self._region) for vm in vms}
        for name, held in self._entries.items():
            if name not in listed and held.state != REMOVED:
                listed[name] = replace(held, state=REMOVED)
        news = [entry for entry in listed.values() if self._overrides(entry, now)]
        told = [self._stamped(entry) for entry in news if not self._is_address_of_here(entry)]
        for entry in news:
            self._keep(self._stamped(entry), now)
        self._forget(now)
        if not is_first:
            self._spread(told, "")

    def receive(self, peer: str, changes: VmChanges, now: float) -> None:
        """Merge what a peer tells and pass on what is news."""
        news = [entry for entry in changes.entries if self._is_newer(entry)]
        for entry in news:
            self._keep(self._as_seen_here(entry), now)
        self.is_known = self.is_known or bool(news)
        self._spread(news, peer)

    def report_leaving(self, name: str, now: float) -> None:
        """Tell peers that a VM itself gave a sign of leaving, which outlives readings of live."""
        held = self._entries.get(name)
        if held is None or held.state != VmState.LIVE.value:
            return
        signed = replace(held, state=SIGNED, stamp=held.stamp + 1)
        self._keep(signed, now)
        self._spread([signed], "")

    def receive_pull(self, peer: str) -> None:
        """Send the whole list to a peer."""
        entries = list(self._entries.values())
        for start in range(0, len(entries), ENTRIES_PER_MESSAGE):
            self._outbox.send(peer, VmChanges(tuple(entries[start : start + ENTRIES_PER_MESSAGE])))

    def tick(self, now: float) -> None:
        """Ask a peer for the list while none is known."""
        if self.is_known or now - self._asked_s < ASK_AGAIN_S:
            return
        for peer in sorted(self._outbox.links)[:1]:
            self._asked_s = now
            self._outbox.send(peer, VmsPull())

    def _spread(self, entries: list[VmEntry], source: str) -> None:
        for start in range(0, len(entries), ENTRIES_PER_MESSAGE):
            page = tuple(entries[start : start + ENTRIES_PER_MESSAGE])
            self._outbox.spread(VmChanges(page), but=source)

    def _overrides(self, entry: VmEntry, now: float) -> bool:
        held = self._entries.get(entry.name)
        if held is None:
            return True
        is_moved = entry.address != held.address
        if is_moved and held.seen_from != self._region:
            return True
        if not is_moved and _rank(entry) == _rank(held):
            return False
        is_signed = held.state == SIGNED and not is_moved
        patience_s = SIGN_LIFETIME_S if is_signed else LIST_LAG_S
        is_late = now - self._changed_s[entry.name] > patience_s
        return is_late or (not is_moved and _rank(entry) > _rank(held))

    def _is_address_of_here(self, entry: VmEntry) -> bool:
        """Return whether a reading only gives this region's address of a VM known from another."""
        held = self._entries.get(entry.name)
        is_foreign = held is not None and held.seen_from != self._region
        return is_foreign and held is not None and held.state == entry.state

    def _as_seen_here(self, entry: VmEntry) -> VmEntry:
        """Return what to keep of a peer's news: its state alone if it is of another region."""
        held = self._entries.get(entry.name)
        if held is None or entry.seen_from == self._region:
            return entry
        is_new_life = _rank(entry) < _rank(held)
        return replace(held, state=held.state if is_new_life else entry.state, stamp=entry.stamp)

    def _stamped(self, entry: VmEntry) -> VmEntry:
        held = self._entries.get(entry.name)
        return replace(entry, stamp=1 if held is None else held.stamp + 1)

    def _is_newer(self, entry: VmEntry) -> bool:
        if not _is_usable(entry):
            return False
        held = self._entries.get(entry.name)
        if held is None:
            return True
        return (entry.stamp, _rank(entry)) > (held.stamp, _rank(held))

    def _keep(self, entry: VmEntry, now: float) -> None:
        self._entries[entry.name] = entry
        self._changed_s[entry.name] = now
        self.generation += 1

    def _forget(self, now: float) -> None:
        for name, changed_s in list(self._changed_s.items()):
            is_removed = self._entries[name].state == REMOVED
            if is_removed and now - changed_s > REMEMBER_REMOVED_S:
                del self._entries[name]
                del self._changed_s[name]


def read_interval_s(nodes: int, *, serves_others: bool = False) -> float:
    """Return how often each of so many nodes reads the platform's list.

    All of them together read it at a fixed rate, because the list grows with the fleet too. In a
    large fleet the heads and the root, which have the most traffic, leave it to the others.
    """
    interval_s = max(LEAST_READ_INTERVAL_S, nodes / READS_PER_S)
    is_spared = serves_others and nodes >= LARGE_FLEET_NODES
    return interval_s * SPARED_FACTOR if is_spared else interval_s


def _rank(entry: VmEntry) -> int:
    return _RANKS[entry.state]


def _entry(vm: Vm, region: str) -> VmEntry:
    return VmEntry(
        name=vm.name,
        role=vm.role.value,
        state=vm.state.value,
        service=vm.service,
        region=vm.region,
        failure_domain=vm.failure_domain,
        address=str(vm.address),
        nodes="" if vm.nodes is None else str(vm.nodes),
        seen_from=region,
        stamp=1,
    )


def _vm(entry: VmEntry) -> Vm:
    return Vm(
        name=entry.name,
        role=VmRole(entry.role),
        state=VmState.LEAVING if entry.state == SIGNED else VmState(entry.state),
        service=entry.service,
        region=entry.region,
        failure_domain=entry.failure_domain,
        address=parse_address(entry.address),
        nodes=parse_address(entry.nodes) if entry.nodes else None,
    )


def _is_usable(entry: VmEntry) -> bool:
    """Return whether every field of a received entry has a value this node understands."""
    if entry.state == REMOVED:
        return True
    try:
        _vm(entry)
    except ValueError:
        return False
    return True
