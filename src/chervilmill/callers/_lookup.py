"""Answer look-ups: which entry VMs a caller is to use."""

import json
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from itertools import islice, zip_longest
from typing import Protocol, TypeVar

from chervilmill.coordination import Vm
from chervilmill.steering import BlockLocation

MAX_NEAR_ENTRIES = 4
MAX_ENTRIES = 6
REFRESH_S = 0.1

T = TypeVar("T")

Clock = Callable[[], float]


class EntryVms(Protocol):
    """The directory of entry VMs that take new work."""

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        ...


class Steering(Protocol):
    """The steering table, which assigns callers to places."""

    @property
    def place_regions(self) -> tuple[tuple[str, str], ...]:
        """Return the failure domain and region of each place, by index."""
        ...

    def locate(self, service: str, client_address: str) -> BlockLocation:
        """Return the place that serves a caller, or raise ValueError for an invalid address."""
        ...


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """The entry VMs for a caller, in the order in which to try them."""

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
    """Answers look-ups with entry VMs near the place that serves the caller's block.

    The first entry VM is in the failure domain of that place. Entry VMs in other failure domains
    of its region follow, then entry VMs in other regions. Callers in different blocks start with
    different VMs, which spreads the load.
    """

    def __init__(
        self,
        directory: EntryVms,
        steering: Steering,
        lifetime_s: int,
        clock: Clock = time.monotonic,
    ) -> None:
        self._directory = directory
        self._steering = steering
        self._lifetime_s = lifetime_s
        self._clock = clock
        self._places = steering.place_regions
        self._groups: dict[int, _EntryVmGroups] = {}
        self._vms: tuple[Vm, ...] = ()
        self._refresh_due_s = 0.0

    def answer(self, service: str, client_address: str) -> LookupAnswer:
        """Return the entry VMs for a caller, or raise ValueError for an invalid address."""
        location = self._steering.locate(service, client_address)
        ordered = self._groups_for(location.place).ordered(hash_block_key(location.key))
        return LookupAnswer(tuple(ordered), self._lifetime_s, location.revision)

    def _groups_for(self, place: int) -> "_EntryVmGroups":
        """Return the entry VMs grouped by failure domain, those nearest to a place first."""
        now_s = self._clock()
        if now_s >= self._refresh_due_s:
            self._refresh_due_s = now_s + REFRESH_S
            vms = self._directory.entry_vms()
            if vms != self._vms:
                self._vms, self._groups = vms, {}
        groups = self._groups.get(place)
        if groups is None:
            groups = _EntryVmGroups(self._vms, *self._places[place])
            self._groups[place] = groups
        return groups


class _EntryVmGroups:
    """Entry VMs grouped by failure domain, ordered by their distance from a place."""

    def __init__(self, vms: Sequence[Vm], domain: str, region: str) -> None:
        by_domain: dict[tuple[bool, bool, str], list[Vm]] = {}
        for vm in sorted(vms, key=lambda item: item.name):
            key = (vm.region != region, vm.failure_domain != domain, vm.failure_domain)
            by_domain.setdefault(key, []).append(vm)
        self._near = [by_domain[key] for key in sorted(by_domain) if not key[0]]
        self._far = [by_domain[key] for key in sorted(by_domain) if key[0]]

    def ordered(self, offset: int) -> list[Vm]:
        """Return the entry VMs to list, starting at an offset within each group."""
        near = list(islice(_interleaved(self._near, offset), MAX_ENTRIES))
        far = islice(_interleaved(_rotated(self._far, offset), offset), MAX_ENTRIES)
        return [*near[:MAX_NEAR_ENTRIES], *far, *near[MAX_NEAR_ENTRIES:]][:MAX_ENTRIES]


def _interleaved(groups: Sequence[Sequence[Vm]], offset: int) -> Iterator[Vm]:
    """Yield one VM of each failure domain in turn."""
    for row in zip_longest(*(_rotated(group, offset) for group in groups)):
        yield from (vm for vm in row if vm is not None)


def _rotated(items: Sequence[T], offset: int) -> Sequence[T]:
    if not items:
        return items
    first = offset % len(items)
    return [*items[first:], *items[:first]]


def hash_block_key(key: int) -> int:
    """Return a hash whose low bits differ for neighbouring blocks (Knuth, TAOCP 6.4)."""
    return (key * 2654435761 % 2**32) >> 16
