"""Choose which entry VMs watch which, so that each is watched by a few in a fleet of any size."""

from bisect import bisect_right
from collections.abc import Iterator, Mapping

WATCHERS = 3  # one may be lost together with the VM, another be cut off from it


class WatchRing:
    """Order entry VMs by key in a ring and name the watchers of each.

    A VM is watched by those that follow it, each in a failure domain that neither the VM nor an
    earlier watcher is in, as far as there are so many: a domain that is lost as a whole takes no
    VM with all its watchers. Consistent hashing after Karger et al. (1997).
    """

    def __init__(self, domains: Mapping[int, str]) -> None:
        self._domains = domains
        self._distinct = frozenset(domains.values())
        self._order = sorted(domains)
        self._watchers: dict[int, tuple[int, ...]] = {}

    def watchers(self, key: int) -> tuple[int, ...]:
        """Return the keys of the watchers of a VM."""
        found = self._watchers.get(key)
        if found is None:
            found = self._watchers[key] = self._find(key)
        return found

    def watched(self, key: int) -> frozenset[int]:
        """Return the keys of the VMs that a VM watches."""
        return frozenset(other for other in self._order if key in self.watchers(other))

    def _find(self, key: int) -> tuple[int, ...]:
        own = self._domains.get(key, "")
        others = len(self._distinct - {own})
        wanted = min(WATCHERS, others)
        apart: dict[str, int] = {}
        near: list[int] = []
        for one in self._followers(key):
            domain = self._domains[one]
            if domain != own and domain not in apart and len(apart) < wanted:
                apart[domain] = one
            elif len(near) < WATCHERS:
                near.append(one)
            if len(apart) == wanted and len(apart) + len(near) >= WATCHERS:
                break
        return (*apart.values(), *near)[:WATCHERS]

    def _followers(self, key: int) -> Iterator[int]:
        at = bisect_right(self._order, key)
        for step in range(len(self._order)):
            one = self._order[(at + step) % len(self._order)]
            if one != key:
                yield one
