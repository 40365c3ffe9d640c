"""Assign a few watchers to each entry VM, whatever the size of the fleet."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Mapping

READERS = 4  # of the whole fleet, as the store limits calls; also if the store refuses a third
RELAY_DEGREE = 3  # 800 VMs are within seven hops, and one has to lose three datagrams to be missed
WATCHERS_PER_VM = 3  # one may be lost together with the VM and another cut off from the VM


class WatchRing:
    """A ring of entry VMs, ordered by key, that assigns watchers to each VM.

    The watchers of a VM are VMs that follow it in the ring. Each watcher is in a failure domain
    that neither the VM nor an earlier watcher is in, while there are enough domains: the loss of a
    whole domain then takes no VM together with all its watchers. Consistent hashing after Karger et
    al. (1997).
    """

    def __init__(self, domains: Mapping[int, str]) -> None:
        self._domains = domains
        self._distinct_domains = frozenset(domains.values())
        self._order = sorted(domains)
        self._watchers: dict[int, tuple[int, ...]] = {}

    def watchers(self, key: int) -> tuple[int, ...]:
        """Return the keys of the VMs that watch a VM."""
        found = self._watchers.get(key)
        if found is None:
            found = self._watchers[key] = self._choose_watchers(key)
        return found

    def watched(self, key: int) -> frozenset[int]:
        """Return the keys of the VMs that a VM watches."""
        return frozenset(other for other in self._order if key in self.watchers(other))

    def readers(self) -> tuple[int, ...]:
        """Return the keys of the VMs that ask the store at short intervals, for all others.

        They are in different failure domains while there are enough.
        """
        first_by_domain: dict[str, int] = {}
        for key in self._order:
            first_by_domain.setdefault(self._domains[key], key)
        others = [key for key in self._order if key not in first_by_domain.values()]
        return (*first_by_domain.values(), *others)[:READERS]

    def relays(self, key: int) -> tuple[int, ...]:
        """Return the keys of the VMs to which a VM passes on what all have to know at once.

        The edges are those of a generalized de Bruijn graph: as many lead to a VM as from it, and
        all VMs are within a number of hops that grows with the logarithm of the fleet. After Imase
        and Itoh, "Design to Minimize Diameter on Building-Block Network" (1981).
        """
        count = len(self._order)
        first = bisect_left(self._order, key) * RELAY_DEGREE
        chosen = (self._order[(first + step) % count] for step in range(min(RELAY_DEGREE, count)))
        return tuple(other for other in chosen if other != key)

    def _choose_watchers(self, key: int) -> tuple[int, ...]:
        own_domain = self._domains.get(key, "")
        other_domain_count = len(self._distinct_domains - {own_domain})
        wanted = min(WATCHERS_PER_VM, other_domain_count)
        by_domain: dict[str, int] = {}
        fallback: list[int] = []
        for candidate in self._successors(key):
            domain = self._domains[candidate]
            if domain != own_domain and domain not in by_domain and len(by_domain) < wanted:
                by_domain[domain] = candidate
            elif len(fallback) < WATCHERS_PER_VM:
                fallback.append(candidate)
            if len(by_domain) == wanted and len(by_domain) + len(fallback) >= WATCHERS_PER_VM:
                break
        return (*by_domain.values(), *fallback)[:WATCHERS_PER_VM]

    def _successors(self, key: int) -> Iterator[int]:
        start = bisect_right(self._order, key)
        for step in range(len(self._order)):
            successor = self._order[(start + step) % len(self._order)]
            if successor != key:
                yield successor
