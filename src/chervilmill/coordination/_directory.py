"""Know which VMs take new work, from the first sign of each source.

Three sources tell about a VM: the platform's list, the `leaving/NAME` objects of the configuration
and, for entry VMs, the membership between nodes. A VM takes no new work once any of them says that
it is leaving or gone, so a source that lags or is down does not hold the others back.
"""

import json
import math
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from chervilmill.coordination._configuration import ConfigurationSnapshot
from chervilmill.coordination._model import Vm, VmRole, VmState

LEAVING_PREFIX = "leaving/"

LeavingListener = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class EntryMembers:
    """Hold what the nodes know of each other: members with their state, and the dead by name."""

    present: tuple[Vm, ...]
    dead: frozenset[str]


NO_MEMBERS = EntryMembers((), frozenset())


class Directory:
    """Join the sources into the VMs that take new work.

    `refreshed_at_s` is the monotonic time at which the newest reading of the platform's list by
    any node was begun.
    """

    def __init__(self) -> None:
        self.refreshed_at_s = -math.inf
        self._listed: tuple[Vm, ...] = ()
        self._marked: frozenset[str] = frozenset()
        self._members = NO_MEMBERS
        self._listed_at_death: dict[str, Vm] = {}
        self._entry_vms: tuple[Vm, ...] = ()
        self._targets: dict[str, tuple[Vm, ...]] = {}
        self._leaving_listeners: list[LeavingListener] = []
        self._lock = threading.Lock()

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        return self._entry_vms

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        return self._targets.get(service, ())

    def listed(self) -> tuple[Vm, ...]:
        """Return every VM of the platform's list, also those that leave."""
        return self._listed

    def receive_list(self, vms: Iterable[Vm]) -> None:
        """Take the newest known list of the platform."""
        with self._lock:
            self._listed = tuple(vms)
            self._join()

    def receive_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        """Take the marks that operators set on VMs that are to leave."""
        marked = frozenset(
            stored.name.removeprefix(LEAVING_PREFIX)
            for stored in snapshot.under(LEAVING_PREFIX)
            if _is_mark(stored.value)
        )
        with self._lock:
            self._marked = marked
            self._join()

    def receive_members(self, members: EntryMembers) -> None:
        """Take what the nodes know of each other."""
        with self._lock:
            self._members = members
            self._join()

    def report_leaving(self, name: str) -> None:
        """Take a target's own sign that it leaves, at once here and then at the other nodes."""
        with self._lock:
            self._listed = tuple(
                replace(vm, state=VmState.LEAVING) if vm.name == name else vm for vm in self._listed
            )
            self._join()
        for listener in self._leaving_listeners:
            listener(name)

    def on_leaving(self, listener: LeavingListener) -> None:
        """Call a listener with the name of each VM that gave a sign of its own."""
        self._leaving_listeners.append(listener)

    def _join(self) -> None:
        live = [vm for vm in self._listed if vm.state is VmState.LIVE]
        targets: dict[str, list[Vm]] = {}
        for vm in live:
            if vm.role is VmRole.TARGET and vm.name not in self._marked:
                targets.setdefault(vm.service, []).append(vm)
        self._targets = {service: tuple(vms) for service, vms in targets.items()}
        self._entry_vms = self._live_entry_vms()

    def _live_entry_vms(self) -> tuple[Vm, ...]:
        """Return the members and listed entry VMs that no source calls leaving or dead."""
        members = {vm.name: vm for vm in self._members.present}
        listed = {vm.name: vm for vm in self._listed if vm.role is VmRole.ENTRY}
        self._note_listed_dead(listed)
        leaving = {vm.name for vm in (*members.values(), *listed.values()) if _is_leaving(vm)}
        dead = {name for name, vm in self._listed_at_death.items() if listed.get(name) == vm}
        unlisted_dead = self._members.dead - listed.keys()
        # The list shows the address at which this region reaches a VM, a member only its own.
        named = {**members, **listed}
        return tuple(
            named[name]
            for name in sorted(named.keys() - leaving - dead - unlisted_dead - self._marked)
        )

    def _note_listed_dead(self, listed: Mapping[str, Vm]) -> None:
        """Remember how the list shows a dead entry VM; once it shows another, that is a new one."""
        dead = self._members.dead
        noted = self._listed_at_death
        first = {name: listed[name] for name in dead & listed.keys() if name not in noted}
        kept = {name: vm for name, vm in noted.items() if name in dead}
        self._listed_at_death = {**kept, **first}


def _is_leaving(vm: Vm) -> bool:
    return vm.state is VmState.LEAVING


def _is_mark(value: bytes) -> bool:
    try:
        raw = json.loads(value)
    except ValueError:
        return False
    return isinstance(raw, dict) and raw.get("leaving") is True
