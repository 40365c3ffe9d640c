"""Choose which entries of the membership table the next digests carry."""

import math
from collections.abc import Iterable

EXTRA_ROUNDS = 2  # beyond the logarithm of the fleet size, because datagrams get lost
MAX_UPDATES_PER_DIGEST = 50  # keeps a digest within one packet


class UpdateQueue:
    """The VMs whose state changed recently, each with the rounds in which it is still sent.

    A VM that learns of a change sends it on for about as many rounds as the change takes to reach
    all VMs. Each time the change arrives again, it is sent for one round less, so the messages end
    soon even when a whole fleet starts. After Demers et al., "Epidemic Algorithms for Replicated
    Database Maintenance" (1987).
    """

    __slots__ = ("_rounds_left",)

    def __init__(self) -> None:
        self._rounds_left: dict[int, int] = {}

    def __bool__(self) -> bool:
        return bool(self._rounds_left)

    def add(self, key: int, fleet_size: int) -> None:
        """Send the entry of a VM from the next round on."""
        self._rounds_left[key] = EXTRA_ROUNDS + math.ceil(math.log2(max(2, fleet_size)))

    def next_updates(self) -> list[int]:
        """Return the VMs to send in this round, those with the most rounds left first."""
        chosen = sorted(self._rounds_left, key=lambda key: -self._rounds_left[key])[
            :MAX_UPDATES_PER_DIGEST
        ]
        for key in chosen:
            self.decrement(key)
        return chosen

    def decrement(self, key: int) -> None:
        """Send the entry of a VM for one round less."""
        rounds_left = self._rounds_left.get(key, 0)
        if rounds_left > 1:
            self._rounds_left[key] = rounds_left - 1
        else:
            self._rounds_left.pop(key, None)


class TableCursor:
    """A cursor that cycles through the table in slices, so that lost updates arrive eventually."""

    __slots__ = ("_remaining",)

    def __init__(self) -> None:
        self._remaining: list[int] = []

    def next_slice(self, keys: Iterable[int], count: int) -> list[int]:
        """Return the next slice of at most `count` keys; `keys` is the whole table."""
        if not self._remaining:
            self._remaining = list(keys)
        taken, self._remaining = self._remaining[:count], self._remaining[count:]
        return taken
