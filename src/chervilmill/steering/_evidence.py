"""Gather evidence on a shift from the list of VMs and from the other nodes."""

import json
import math
import time
from collections.abc import Callable
from typing import Protocol

import urllib3
import xxhash

from chervilmill.coordination import PlatformError, Vm
from chervilmill.settings import Service
from chervilmill.steering._executor import Evidence
from chervilmill.steering._world import SteeringWorld

WARM_S = 5.0
READ_INTERVAL_S = 3.0
ASK_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 32
MAX_CONTENDERS = 3


Clock = Callable[[], float]


class VmDirectory(Protocol):
    """Know the live VMs and how old that knowledge is."""

    refreshed_at_s: float

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        ...

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        ...


class VmListReader(Protocol):
    """Read the platform's list of VMs."""

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs, or raise PlatformError."""
        ...


class AppliedVersions(Protocol):
    """Know which version of a service's steering each node applies."""

    def applied_version(self, vm: Vm, service: str) -> int:
        """Return the version that an entry VM applies, or 0 where it does not answer."""
        ...


class LookupVersions:
    """Ask an entry VM for a look-up, whose answer names the version it rests on."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(
            num_pools=MAX_CONNECTIONS, retries=False, timeout=ASK_TIMEOUT_S
        )

    def applied_version(self, vm: Vm, service: str) -> int:
        """Return the version that an entry VM applies, or 0 where it does not answer."""
        url = f"http://{vm.address}/lookup?service={service}"
        try:
            resp = self._http.request("GET", url)
            return int(json.loads(resp.data)["revision"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return 0


class VmEvidence:
    """Judge a shift by the VMs of the platform's list and what the nodes among them apply."""

    def __init__(
        self,
        world: SteeringWorld,
        directory: VmDirectory,
        versions: AppliedVersions,
        vm_list: VmListReader,
        clock: Clock = time.monotonic,
    ) -> None:
        self._clock = clock
        self._vm_list = vm_list
        self._read_at_s = -math.inf
        self._world = world
        self._directory = directory
        self._versions = versions
        self._applied: dict[tuple[str, str], int] = {}
        self._first_seen_s: dict[str, dict[str, float]] = {}

    def evidence(self, service: Service, version: int) -> Evidence:
        """Return the evidence on a version of a service's steering object."""
        return Evidence(
            measured_at_s=self._measured_at_s(),
            is_in_force=self._is_in_force(service.name, version),
            is_warm=self._is_warm(service.name),
            capacities=self._world.topology(service).capacities(),
        )

    def _measured_at_s(self) -> float:
        """Return when the list of VMs was last read, and read it where that is long ago.

        In a large fleet a node reads the list rarely and hears of changes from others.
        """
        now_s = self._clock()
        newest_s = max(self._read_at_s, self._directory.refreshed_at_s)
        if now_s - newest_s < READ_INTERVAL_S:
            return newest_s
        try:
            self._vm_list.vms()
        except PlatformError:
            return newest_s
        self._read_at_s = now_s
        return now_s

    def may_execute(self, node: str) -> bool:
        """Return whether a node is among the few that contend for the lease of shifts."""
        names = [vm.name for vm in self._directory.entry_vms()]
        ranked = sorted(names, key=lambda name: (xxhash.xxh32_intdigest(name.encode()), name))
        return node in ranked[:MAX_CONTENDERS]

    def _is_in_force(self, service: str, version: int) -> bool:
        """Ask the nodes that were not yet seen to apply the version, up to the first that lags."""
        vms = self._directory.entry_vms()
        for vm in vms:
            key = (vm.name, service)
            if self._applied.get(key, 0) < version:
                self._applied[key] = self._versions.applied_version(vm, service)
            if self._applied[key] < version:
                return False
        return bool(vms)

    def _is_warm(self, service: str) -> bool:
        """Return whether no target is new; those known from the start count as warm."""
        now_s = self._clock()
        known = self._first_seen_s.get(service)
        names = [vm.name for vm in self._directory.targets(service)]
        if known is None:
            self._first_seen_s[service] = dict.fromkeys(names, now_s - WARM_S)
            return True
        for gone in known.keys() - set(names):
            del known[gone]
        for name in names:
            known.setdefault(name, now_s)
        return all(now_s - known[name] >= WARM_S for name in names)
