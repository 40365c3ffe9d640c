"""Decide from which version of the store to watch, where a replica may answer the watch."""

import asyncio
from collections import deque

from chervilmill.platform import StoreVersion, WatchResult

# Replicas are seconds behind. What a VM has known for longer, they have too.
REPLICA_LAG_S = 10.0
PROOF_STEP_S = 2.0  # between the proofs that are remembered


class WatchPosition:
    """From where to watch one kind; it says nothing about what the copy has.

    A watch from a version that its replica does not have may be refused. The position therefore
    follows the events of replicas, and what has been proven for REPLICA_LAG_S, so that it does not
    fall behind the history that the store keeps. The version that an answer which may be
    stale states moves it only past events that do not, as it may be later than the replica's data.
    """

    def __init__(self) -> None:
        self._version = StoreVersion()
        self._proven: deque[tuple[float, StoreVersion]] = deque()
        self._read_s = float("-inf")

    @property
    def is_read_ahead(self) -> bool:
        """Return whether replicas may not have reached the position yet."""
        return asyncio.get_running_loop().time() - self._read_s < REPLICA_LAG_S

    def version(self) -> StoreVersion:
        """Return the version from which to watch."""
        now_s = asyncio.get_running_loop().time()
        while self._proven and now_s - self._proven[0][0] >= REPLICA_LAG_S:
            self._version = max(self._version, self._proven.popleft()[1])
        return self._version

    def read(self, version: StoreVersion) -> None:
        """Move to a version that the store itself has stated to this VM."""
        if version > self._version:
            self._version = version
            self._read_s = asyncio.get_running_loop().time()

    def note_proven(self, version: StoreVersion) -> None:
        """Remember a version up to which the copy is proven."""
        now_s = asyncio.get_running_loop().time()
        if not self._proven or now_s - self._proven[-1][0] >= PROOF_STEP_S:
            self._proven.append((now_s, version))

    def follow(self, result: WatchResult) -> None:
        """Move past the events of an answer that may be stale."""
        revisions = [event.stored.revision for event in result.events]
        newest = max([result.newest_revision, *revisions])
        if not newest:
            return
        reached = StoreVersion(result.as_of.era, newest)
        self._version = reached if reached > self._version else max(self._version, result.as_of)
