"""Find the requests that lost runs at the same targets without searching all of them.

Load pattern: targets go down by the dozen while many requests run, so that thousands of losses
with nothing in common are reported within seconds, and each report is judged.
"""

from collections.abc import Collection, Mapping

from chervilmill.requests._losses import Lifetime, LossRecord

MIN_ADDED_BEFORE_REBUILD = 1000  # a rebuild goes through all records


class LossIndex:
    """The requests and contents that lost runs in each lifetime of a target.

    A loss that is forgotten stays in the index until that is rebuilt, so the record of a request
    decides whether it still counts.
    """

    __slots__ = ("_added", "_keys_by_lifetime")

    def __init__(self) -> None:
        self._keys_by_lifetime: dict[Lifetime, set[bytes]] = {}
        self._added = 0

    def add(self, lifetime: Lifetime, key: bytes, records: Mapping[bytes, LossRecord]) -> None:
        """Add a loss; `records` are all records, from which the index is rebuilt at times."""
        self._keys_by_lifetime.setdefault(lifetime, set()).add(key)
        self._added += 1
        if self._added > max(MIN_ADDED_BEFORE_REBUILD, 2 * len(records)):
            self._rebuild(records)

    def lost_at(self, lifetime: Lifetime) -> Collection[bytes]:
        """Return the requests and contents that lost a run in a lifetime, or had lost one."""
        return self._keys_by_lifetime.get(lifetime, ())

    def _rebuild(self, records: Mapping[bytes, LossRecord]) -> None:
        self._added = 0
        self._keys_by_lifetime = {}
        for key, record in records.items():
            for lifetime in record.losses:
                self._keys_by_lifetime.setdefault(lifetime, set()).add(key)
