"""Tell callers which entry VMs to use."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from chervilmill.platform import Vm


class EntryVms(Protocol):
    """Know the entry VMs that take new work."""

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        ...


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Hold the entry VMs for a caller in the order in which to try them."""

    entry_vms: tuple[Vm, ...]
    lifetime_s: int
    revision: int

    def body(self) -> bytes:
        """Return the JSON body of the answer."""
        entries = [
            {"name": vm.name, "address": str(vm.address), "failure_domain": vm.failure_domain}
            for vm in self.entry_vms
        ]
        fields = {"entries": entries, "lifetime_s": self.lifetime_s, "revision": self.revision}
        return json.dumps(fields).encode()


class Lookups:
    """Answer look-ups with entry VMs of the caller's region first."""

    def __init__(self, directory: EntryVms, region: str, lifetime_s: int) -> None:
        self._directory = directory
        self._region = region
        self._lifetime_s = lifetime_s

    def answer(self) -> LookupAnswer:
        """Return the entry VMs for a caller near this node."""
        ordered = tuple(_spread(self._directory.entry_vms(), self._region))
        return LookupAnswer(ordered, self._lifetime_s, revision=0)


def _spread(vms: Iterable[Vm], region: str) -> list[Vm]:
    """Order VMs by region, then so that neighbours are of different failure domains."""
    rank_by_domain: dict[str, int] = {}
    keyed: list[tuple[bool, int, str, Vm]] = []
    for vm in vms:
        rank = rank_by_domain.get(vm.failure_domain, 0)
        rank_by_domain[vm.failure_domain] = rank + 1
        keyed.append((vm.region != region, rank, vm.name, vm))
    keyed.sort(key=lambda key: key[:3])
    return [key[3] for key in keyed]
