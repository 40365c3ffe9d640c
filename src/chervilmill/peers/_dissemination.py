"""Choose which entries of a table the next datagrams carry."""

import math
from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

EXTRA_ROUNDS = 2  # beyond the logarithm of the fleet size, because datagrams get lost
MAX_UPDATES_PER_DIGEST = 50  # keeps a digest within one packet


Key = TypeVar("Key", bound=Hashable)


class UpdateQueue(Generic[Key]):
    """The keys of recently changed entries, each with the rounds in which it is still sent.

    A VM that learns of a change sends it on for about as many rounds as the change takes to reach
    all VMs. Each time the change arrives again, it is sent for one round less, so the messages end
    soon even when a whole fleet starts. After Demers et al., "Epidemic Algorithms for Replicated
    Database Maintenance" (1987).
    """

    __slots__ = ("_limit", "_rounds_left")

    def __init__(self, limit: int = MAX_UPDATES_PER_DIGEST) -> None:
        self._limit = limit
        self._rounds_left: dict[Key, int] = {}

    def __bool__(self) -> bool:
        return bool(self._rounds_left)

    def add(self, key: Key, fleet_size: int) -> None:
        """Send an entry from the next round on."""
        self._rounds_left[key] = EXTRA_ROUNDS + math.ceil(math.log2(max(2, fleet_size)))

    def next_updates(self, limit: int | None = None) -> list[Key]:
        """Return the keys to send in this round, those with the most rounds left first.

        A `limit` below that of the queue applies to this round.
        """
        count = self._limit if limit is None else min(limit, self._limit)
        chosen = sorted(self._rounds_left, key=lambda key: -self._rounds_left[key])[:count]
        for key in chosen:
            self.decrement(key)
        return chosen

    def decrement(self, key: Key) -> None:
        """Send an entry for one round less."""
        rounds_left = self._rounds_left.get(key, 0)
        if rounds_left > 1:
            self._rounds_left[key] = rounds_left - 1
        else:
            self._rounds_left.pop(key, None)


class TableCursor(Generic[Key]):
    """A cursor that cycles through the table in slices, so that lost updates arrive eventually."""

    __slots__ = ("_remaining",)

    def __init__(self) -> None:
        self._remaining: list[Key] = []

    def next_slice(self, keys: Iterable[Key], count: int) -> list[Key]:
        """Return the next slice of at most `count` keys; `keys` is the whole table."""
        if not self._remaining:
            self._remaining = list(keys)
        taken, self._remaining = self._remaining[:count], self._remaining[count:]
        return taken
