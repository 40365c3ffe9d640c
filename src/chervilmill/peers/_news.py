"""Choose which entries of the table of entry VMs the next digests carry."""

import math
from collections.abc import Iterable

SPREAD_ROUNDS = 2  # beyond the logarithm of the fleet's size, as datagrams are lost
MAX_TOLD = 50  # entries a digest, so that it fits one packet


class NewsQueue:
    """Hold the VMs of which something changed, with the rounds in which it is still told.

    Each VM that hears something new tells it on for about as many rounds as it takes to reach all,
    and for one less each time it hears it again, so that a whole fleet's start ends soon too. After
    Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987).
    """

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[int, int] = {}

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, key: int, fleet: int) -> None:
        """Tell of a VM from the next round on; `fleet` is the number of VMs."""
        self._left[key] = SPREAD_ROUNDS + math.ceil(math.log2(max(2, fleet)))

    def take(self) -> list[int]:
        """Return the VMs to tell of in this round, the newest of the news first."""
        chosen = sorted(self._left, key=lambda key: -self._left[key])[:MAX_TOLD]
        for key in chosen:
            self.lose_interest(key)
        return chosen

    def lose_interest(self, key: int) -> None:
        """Tell of a VM for a round less."""
        left = self._left.get(key, 0)
        if left > 1:
            self._left[key] = left - 1
        else:
            self._left.pop(key, None)


class TableWalk:
    """Walk round the table in slices, so that what was lost on the way is repaired in time."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest: list[int] = []

    def take(self, keys: Iterable[int], count: int) -> list[int]:
        """Return the next keys; `keys` is the whole table."""
        if not self._rest:
            self._rest = list(keys)
        taken, self._rest = self._rest[:count], self._rest[count:]
        return taken
