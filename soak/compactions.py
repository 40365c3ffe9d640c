"""Compactions of the store, after which its history is gone.

They are part of the store's normal work, and excuse nobody.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.store import SilentWatch, StandInStore

SILENCE_S = 1.2
MAX_PAUSE_S = 8.0  # from one compaction to the next
REPLICA_AGES_S = (0.0, 3.0, 5.5)
STALE_FOR_S = 6.0


@dataclass(frozen=True, slots=True)
class Compactions:
    """Compacts the store; watches hear nothing for SILENCE_S before, while the operator acts.

    Reads that may be stale are old from then on, for STALE_FOR_S.
    """

    store: StandInStore
    change: Callable[[], Awaitable[None]]
    log: list[str]
    rng: random.Random

    async def run(self, until_s: float) -> None:
        """Compact the store again and again until a time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await self.compact()
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))

    async def compact(self) -> None:
        """Compact the store once."""
        loop, faults = asyncio.get_running_loop(), self.store.faults
        watch, age_s = self.rng.choice(list(SilentWatch)), self.rng.choice(REPLICA_AGES_S)
        self.log.append(f"{loop.time():.2f} silent watches {watch.value}, replicas {age_s} s old")
        before_s = faults.replica_age_s
        faults.silent_watch, faults.silent_until_s = watch, loop.time() + SILENCE_S
        faults.replica_age_s = max(before_s, age_s)
        change_s = self.rng.uniform(0.0, SILENCE_S)
        await asyncio.sleep(change_s)
        await self.change()
        await asyncio.sleep(SILENCE_S - change_s)
        self.store.compact()
        self.store.cut_watches()
        await asyncio.sleep(STALE_FOR_S)
        faults.replica_age_s = before_s
