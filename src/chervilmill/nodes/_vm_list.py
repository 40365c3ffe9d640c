"""Share readings of the platform's list of VMs between nodes.

All nodes together read the list at a fixed rate, and the first node that sees a change sends it
to the others. Readings are numbered, so that each node knows the age of the newest reading. The
state of a VM goes from live to leaving to removed, so a reading that lags behind does not undo a
change that a peer has just announced. Such a reading lacks VMs that have just joined, so it does
not remove these either. A VM may have another address in each region, so a node takes only the
state of a VM from nodes in other regions.
"""

from collections.abc import Iterable
from dataclasses import replace

from chervilmill.addresses import parse_remote_address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._messages import VmChanges, VmEntry, VmsPull

LIST_LAG_TOLERANCE_S = 10.0  # for this long, a reading cannot undo an announced change
LEAVING_REPORT_LIFETIME_S = 600.0
REMOVED_RETENTION_S = 60.0
PULL_RETRY_INTERVAL_S = 1.0
ENTRIES_PER_MESSAGE = 100
MIN_READ_INTERVAL_S = 0.5
READS_PER_S = 1.5  # of all nodes together
LARGE_FLEET_NODES = 100
SERVING_NODE_INTERVAL_FACTOR = 10.0
REPORTED_LEAVING = "leaving_by_sign"
REMOVED = "removed"

_STATE_RANKS = {VmState.LIVE.value: 0, REPORTED_LEAVING: 1, VmState.LEAVING.value: 2, REMOVED: 3}


class VmListReplicator:
    """This node's copy of the list of VMs, synchronised with its peers."""

    def __init__(self, region: str, outbox: Outbox) -> None:
        self._region = region
        self._outbox = outbox
        self._entries: dict[str, VmEntry] = {}
        self._changed_at_s: dict[str, float] = {}
        self._joined_at_s: dict[str, float] = {}
        self._last_pull_s = float("-inf")
        self.is_known = False
        self.generation = 0
        self.reading = 0
        self.last_reading_s = float("-inf")

    def current(self) -> tuple[Vm, ...]:
        """Return the VMs that have not been removed, ordered by name."""
        entries = (self._entries[name] for name in sorted(self._entries))
        return tuple(_vm(entry) for entry in entries if entry.state != REMOVED)

    def receive_reading(self, number: int, age_s: float, now: float) -> None:
        """Record a newer reading by any node; its changes have already been received."""
        if number > self.reading:
            self.reading = number
            self.last_reading_s = now - age_s

    def merge_reading(self, vms: Iterable[Vm], now: float) -> None:
        """Merge a reading that began at a time, and announce its changes to the peers."""
        self.reading += 1
        self.last_reading_s = max(self.last_reading_s, now)
        is_first = not self.is_known
        self.is_known = True
        listed = {vm.name: _entry(vm, self._region) for vm in vms}
        for name, held in self._entries.items():
            if name not in listed and held.state != REMOVED and not self._has_joined(name, now):
                listed[name] = replace(held, state=REMOVED)
        newer = [entry for entry in listed.values() if self._overrides(entry, now)]
        announced = [
            self._with_next_stamp(entry)
            for entry in newer
            if not self._is_local_address_only(entry)
        ]
        for entry in newer:
            self._keep(self._with_next_stamp(entry), now)
        self._forget_removed(now)
        if not is_first:
            self._broadcast(announced, "")

    def receive(self, peer: str, changes: VmChanges, now: float) -> None:
        """Merge changes from a peer and pass on those that are newer."""
        newer = [entry for entry in changes.entries if self._is_newer(entry)]
        for entry in newer:
            self._keep(self._keep_local_address(entry), now)
        self.is_known = self.is_known or bool(newer)
        self._broadcast(newer, peer)

    def report_leaving(self, name: str, now: float) -> None:
        """Announce that a VM itself has signalled that it is leaving.

        Later readings that still show the VM as live do not override this report until
        LEAVING_REPORT_LIFETIME_S has passed.
        """
        held = self._entries.get(name)
        if held is None or held.state != VmState.LIVE.value:
            return
        reported = replace(held, state=REPORTED_LEAVING, stamp=held.stamp + 1)
        self._keep(reported, now)
        self._broadcast([reported], "")

    def receive_pull(self, peer: str) -> None:
        """Send the whole list to a peer."""
        entries = list(self._entries.values())
        for start in range(0, len(entries), ENTRIES_PER_MESSAGE):
            self._outbox.send(peer, VmChanges(tuple(entries[start : start + ENTRIES_PER_MESSAGE])))

    def tick(self, now: float) -> None:
        """Request the list from a peer while no list is known."""
        if self.is_known or now - self._last_pull_s < PULL_RETRY_INTERVAL_S:
            return
        for peer in sorted(self._outbox.links)[:1]:
            self._last_pull_s = now
            self._outbox.send(peer, VmsPull())

    def _broadcast(self, entries: list[VmEntry], source: str) -> None:
        for start in range(0, len(entries), ENTRIES_PER_MESSAGE):
            page = tuple(entries[start : start + ENTRIES_PER_MESSAGE])
            self._outbox.broadcast(VmChanges(page), except_peer=source)

    def _overrides(self, entry: VmEntry, now: float) -> bool:
        held = self._entries.get(entry.name)
        if held is None:
            return True
        is_moved = entry.address != held.address
        if is_moved and held.address_region != self._region:
            return True
        if not is_moved and _rank(entry) == _rank(held):
            return False
        is_reported_leaving = held.state == REPORTED_LEAVING and not is_moved
        tolerated_lag_s = LEAVING_REPORT_LIFETIME_S if is_reported_leaving else LIST_LAG_TOLERANCE_S
        is_overdue = now - self._changed_at_s[entry.name] > tolerated_lag_s
        return is_overdue or (not is_moved and _rank(entry) > _rank(held))

    def _has_joined(self, name: str, now: float) -> bool:
        """Return whether a VM is so new that a reading without it may be older."""
        return now - self._joined_at_s[name] <= LIST_LAG_TOLERANCE_S

    def _is_local_address_only(self, entry: VmEntry) -> bool:
        """Return whether an entry only replaces the address of another region by this region's."""
        held = self._entries.get(entry.name)
        is_foreign = held is not None and held.address_region != self._region
        return is_foreign and held is not None and held.state == entry.state

    def _keep_local_address(self, entry: VmEntry) -> VmEntry:
        """Return a peer's entry, with the local address if the entry is from another region."""
        held = self._entries.get(entry.name)
        if held is None or entry.address_region == self._region:
            return entry
        is_new_vm = _rank(entry) < _rank(held)
        return replace(held, state=held.state if is_new_vm else entry.state, stamp=entry.stamp)

    def _with_next_stamp(self, entry: VmEntry) -> VmEntry:
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
        held = self._entries.get(entry.name)
        if held is None or held.state == REMOVED:
            self._joined_at_s[entry.name] = now
        self._entries[entry.name] = entry
        self._changed_at_s[entry.name] = now
        self.generation += 1

    def _forget_removed(self, now: float) -> None:
        for name, changed_s in list(self._changed_at_s.items()):
            is_removed = self._entries[name].state == REMOVED
            if is_removed and now - changed_s > REMOVED_RETENTION_S:
                del self._entries[name]
                del self._changed_at_s[name]
                del self._joined_at_s[name]


def read_interval_s(nodes: int, *, serves_others: bool = False) -> float:
    """Return the interval at which each node reads the platform's list.

    The rate of all nodes together is fixed, because the length of the list grows with the fleet
    as well. In a large fleet the heads and the root, which have the most traffic, read the list
    less often than the others.
    """
    interval_s = max(MIN_READ_INTERVAL_S, nodes / READS_PER_S)
    is_spared = serves_others and nodes >= LARGE_FLEET_NODES
    return interval_s * SERVING_NODE_INTERVAL_FACTOR if is_spared else interval_s


def _rank(entry: VmEntry) -> int:
    return _STATE_RANKS[entry.state]


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
        address_region=region,
        stamp=1,
    )


def _vm(entry: VmEntry) -> Vm:
    return Vm(
        name=entry.name,
        role=VmRole(entry.role),
        state=VmState.LEAVING if entry.state == REPORTED_LEAVING else VmState(entry.state),
        service=entry.service,
        region=entry.region,
        failure_domain=entry.failure_domain,
        address=parse_remote_address(entry.address),
        nodes=parse_remote_address(entry.nodes) if entry.nodes else None,
    )


def _is_usable(entry: VmEntry) -> bool:
    """Return whether this node understands every field of a received entry."""
    if entry.state == REMOVED:
        return True
    try:
        _vm(entry)
    except ValueError:
        return False
    return True
