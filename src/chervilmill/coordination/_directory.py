"""Combine the reports of several sources into the VMs that take new work.

Three sources report on VMs: the platform's list, the `leaving/NAME` objects of the configuration
and, for entry VMs, the membership that they maintain themselves. A VM takes no new work once any
source reports it leaving or gone. A source that lags or is down therefore doesn't delay the effect
of the others.
"""

import math
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from chervilmill.coordination._configuration import ConfigurationSnapshot
from chervilmill.coordination._model import Vm, VmRole, VmState
from chervilmill.documents import decode_document

LEAVING_PREFIX = "leaving/"

LeavingListener = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class EntryMembers:
    """The membership of the entry VMs, as this node knows it.

    `present` has the members with their states, and `dead_names` the names of dead members.
    """

    present: tuple[Vm, ...]
    dead_names: frozenset[str]


NO_MEMBERS = EntryMembers((), frozenset())


class Directory:
    """The VMs that take new work, combined from all sources.

    `list_read_at_s` is the monotonic time at which the newest known reading of the platform's list
    began, on whichever node it was read.
    """

    def __init__(self) -> None:
        self.list_read_at_s = -math.inf
        self._listed: tuple[Vm, ...] = ()
        self._marked_leaving: frozenset[str] = frozenset()
        self._members = NO_MEMBERS
        self._dead_vm_listings: dict[str, Vm] = {}
        self._entry_vms: tuple[Vm, ...] = ()
        self._targets: dict[str, tuple[Vm, ...]] = {}
        self._leaving_listeners: list[LeavingListener] = []
        self._lock = threading.Lock()

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs, ordered by name."""
        return self._entry_vms

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        return self._targets.get(service, ())

    def all_listed(self) -> tuple[Vm, ...]:
        """Return every VM of the platform's list, including those that are leaving."""
        return self._listed

    def update_list(self, vms: Iterable[Vm]) -> None:
        """Replace the platform's list with a newer one."""
        with self._lock:
            self._listed = tuple(vms)
            self._recompute()

    def update_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        """Update the set of VMs that operators marked as leaving."""
        marked_leaving = frozenset(
            stored.name.removeprefix(LEAVING_PREFIX)
            for stored in snapshot.with_prefix(LEAVING_PREFIX)
            if _is_leaving_mark(stored.value)
        )
        with self._lock:
            self._marked_leaving = marked_leaving
            self._recompute()

    def update_members(self, members: EntryMembers) -> None:
        """Replace the membership of the entry VMs with a newer state."""
        with self._lock:
            self._members = members
            self._recompute()

    def report_leaving(self, name: str) -> None:
        """Record that a target announced its own leaving, and notify the listeners.

        This node sends the target no new work from now on. The listeners inform the other nodes.
        """
        with self._lock:
            self._listed = tuple(
                replace(vm, state=VmState.LEAVING) if vm.name == name else vm for vm in self._listed
            )
            self._recompute()
        for listener in self._leaving_listeners:
            listener(name)

    def subscribe_leaving(self, listener: LeavingListener) -> None:
        """Call a listener with the name of each VM that announces its own leaving."""
        self._leaving_listeners.append(listener)

    def _recompute(self) -> None:
        live = [vm for vm in self._listed if vm.state is VmState.LIVE]
        targets: dict[str, list[Vm]] = {}
        for vm in live:
            if vm.role is VmRole.TARGET and vm.name not in self._marked_leaving:
                targets.setdefault(vm.service, []).append(vm)
        self._targets = {service: tuple(vms) for service, vms in targets.items()}
        self._entry_vms = self._live_entry_vms()

    def _live_entry_vms(self) -> tuple[Vm, ...]:
        """Return the members and listed entry VMs that no source reports as leaving or dead."""
        members = {vm.name: vm for vm in self._members.present}
        listed = {vm.name: vm for vm in self._listed if vm.role is VmRole.ENTRY}
        self._record_dead_vm_listings(listed)
        leaving = {vm.name for vm in (*members.values(), *listed.values()) if _is_leaving(vm)}
        dead = {name for name, vm in self._dead_vm_listings.items() if listed.get(name) == vm}
        unlisted_dead = self._members.dead_names - listed.keys()
        # The list has the address at which this region reaches a VM, so its entry takes precedence.
        # A member reports only its own address, which may differ.
        known = {**members, **listed}
        return tuple(
            known[name]
            for name in sorted(known.keys() - leaving - dead - unlisted_dead - self._marked_leaving)
        )

    def _record_dead_vm_listings(self, listed: Mapping[str, Vm]) -> None:
        """Record how the platform's list describes each dead entry VM.

        A different description under the same name later on belongs to a new VM.
        """
        dead = self._members.dead_names
        recorded = self._dead_vm_listings
        added = {name: listed[name] for name in dead & listed.keys() if name not in recorded}
        kept = {name: vm for name, vm in recorded.items() if name in dead}
        self._dead_vm_listings = {**kept, **added}


def _is_leaving(vm: Vm) -> bool:
    return vm.state is VmState.LEAVING


def _is_leaving_mark(value: bytes) -> bool:
    try:
        raw = decode_document(value)
    except ValueError:
        return False
    return isinstance(raw, dict) and raw.get("leaving") is True
