"""Gather evidence on a shift from the platform's list of VMs and from the other nodes."""

import math
import time
from collections.abc import Callable
from typing import Protocol

import urllib3
import xxhash

from chervilmill.coordination import PlatformError, Vm
from chervilmill.documents import decode_document
from chervilmill.settings import Service
from chervilmill.steering._executor import Evidence
from chervilmill.steering._model import SteeringModel

WARM_UP_S = 5.0
VM_LIST_MAX_AGE_S = 3.0
LOOKUP_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 32
MAX_CONTENDERS = 3


Clock = Callable[[], float]


class VmDirectory(Protocol):
    """Directory of the live VMs, with the time at which its list was read."""

    list_read_at_s: float

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        ...

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        ...


class VmListReader(Protocol):
    """Reader of the platform's list of VMs."""

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs, or raise PlatformError if the list cannot be read."""
        ...


class AppliedVersions(Protocol):
    """Source of the version of a service's steering that each node applies."""

    def applied_version(self, vm: Vm, service: str) -> int:
        """Return the version that an entry VM applies, or 0 if the VM does not answer."""
        ...


class LookupVersions:
    """Source of applied versions that sends look-ups, whose answers name the version in use."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(
            num_pools=MAX_CONNECTIONS, retries=False, timeout=LOOKUP_TIMEOUT_S
        )

    def applied_version(self, vm: Vm, service: str) -> int:
        """Return the version that an entry VM applies, or 0 if the VM does not answer."""
        url = f"http://{vm.address}/lookup?service={service}"
        try:
            resp = self._http.request("GET", url)
            return int(decode_document(resp.data)["revision"])
        except (urllib3.exceptions.HTTPError, ArithmeticError, LookupError, TypeError, ValueError):
            return 0


class VmEvidence:
    """Evidence on shifts from the live VMs and the versions that the entry VMs apply."""

    def __init__(
        self,
        model: SteeringModel,
        directory: VmDirectory,
        versions: AppliedVersions,
        vm_list: VmListReader,
        clock: Clock = time.monotonic,
    ) -> None:
        self._clock = clock
        self._vm_list = vm_list
        self._list_read_at_s = -math.inf
        self._model = model
        self._directory = directory
        self._versions = versions
        self._applied_versions: dict[tuple[str, str], int] = {}
        self._first_seen_s: dict[str, dict[str, float]] = {}

    def evidence(self, service: Service, version: int) -> Evidence:
        """Return the evidence on a version of a service's steering object."""
        return Evidence(
            measured_at_s=self._refresh_vm_list(),
            is_in_force=self._is_in_force(service.name, version),
            are_targets_warm=self._are_targets_warm(service.name),
            capacities=self._model.topology(service).capacities(),
        )

    def _refresh_vm_list(self) -> float:
        """Return when the list of VMs was last read, after a new read if that is too long ago.

        In a large fleet a node rarely reads the list and learns of changes from other nodes.
        """
        now_s = self._clock()
        newest_s = max(self._list_read_at_s, self._directory.list_read_at_s)
        if now_s - newest_s < VM_LIST_MAX_AGE_S:
            return newest_s
        try:
            self._vm_list.vms()
        except PlatformError:
            return newest_s
        self._list_read_at_s = now_s
        return now_s

    def may_contend(self, node: str) -> bool:
        """Return whether a node is among the few that may contend for the lease on shifts."""
        names = [vm.name for vm in self._directory.entry_vms()]
        ranked = sorted(names, key=lambda name: (xxhash.xxh32_intdigest(name.encode()), name))
        return node in ranked[:MAX_CONTENDERS]

    def _is_in_force(self, service: str, version: int) -> bool:
        """Return whether every live entry VM applies the version.

        Only nodes not yet known to apply the version are asked, up to the first that lags.
        """
        vms = self._directory.entry_vms()
        for vm in vms:
            key = (vm.name, service)
            if self._applied_versions.get(key, 0) < version:
                self._applied_versions[key] = self._versions.applied_version(vm, service)
            if self._applied_versions[key] < version:
                return False
        return bool(vms)

    def _are_targets_warm(self, service: str) -> bool:
        """Return whether every target has been known for the warm-up time.

        Targets that are present at the first call count as warm.
        """
        now_s = self._clock()
        first_seen_s = self._first_seen_s.get(service)
        names = [vm.name for vm in self._directory.targets(service)]
        if first_seen_s is None:
            self._first_seen_s[service] = dict.fromkeys(names, now_s - WARM_UP_S)
            return True
        for gone in first_seen_s.keys() - set(names):
            del first_seen_s[gone]
        for name in names:
            first_seen_s.setdefault(name, now_s)
        return all(now_s - first_seen_s[name] >= WARM_UP_S for name in names)
