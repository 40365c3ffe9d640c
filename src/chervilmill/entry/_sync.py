"""Keep copies of the store's objects current, from the store or from a peer that has newer ones.

One watch per kind follows the store. Where a peer tells of a later change that has not come here,
the copy is fetched from that peer, so that an entry VM that the store turns away still learns of
configurations, evacuations and targets.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from chervilmill.addresses import Address
from chervilmill.aio import WholeExchange
from chervilmill.errors import ChervilmillError
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import KindReplica, ReplicaChange
from chervilmill.platform import (
    HistoryGoneError,
    Listing,
    PlatformStore,
    StoreError,
    decode_objects,
    encode_objects,
)

LIST_TIMEOUT_S = 2.0  # the store answers in milliseconds, and in tenths of a second when slow
WATCH_WAIT_S = 25.0  # each watch is a priced call; under the store's longest, 30 s
WATCH_SLACK_S = 3.0  # for an answer that is slow on the way
WATCH_PAUSE_S = 0.4  # 800 VMs read 2,000 times a second at most for a kind that keeps changing
RETRY_S = 1.0  # refused calls are priced too
BEHIND_GRACE_S = 0.8  # time for a change to come by the watch before a peer is asked
PEER_TIMEOUT_S = 1.5
RETURN_WINDOW_S = 3.0  # for how long what is missing may have lapsed in an outage

OnChange = Callable[[str, ReplicaChange, bool], None]


@dataclass(slots=True)
class _Reach:
    """Hold whether the store answers this VM."""

    is_away: bool = False
    returned_s: float = float("-inf")
    confirmed_s: float = float("-inf")


class StoreSync:
    """Run the watches of one entry VM."""

    def __init__(
        self, store: PlatformStore, replicas: dict[str, KindReplica], on_change: OnChange
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._on_change = on_change
        self._reach = _Reach()
        self._fetching: set[str] = set()
        self._listed = {kind: asyncio.Event() for kind in replicas}

    async def wait_until_known(self) -> None:
        """Return once every kind was read from the store or from a peer."""
        for event in self._listed.values():
            await event.wait()

    def is_confirmed_since(self, moment_s: float) -> bool:
        """Return whether the store has answered at or after a moment."""
        return self._reach.confirmed_s >= moment_s

    @property
    def is_away(self) -> bool:
        """Return whether the store does not answer this VM."""
        return self._reach.is_away

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last change known, by kind."""
        return {kind: replica.changed_at for kind, replica in self._replicas.items()}

    async def run(self, kind: str) -> None:
        """Follow one kind until cancelled."""
        replica = self._replicas[kind]
        needs_list = True
        while True:
            try:
                if needs_list:
                    await self._list(replica)
                    needs_list = False
                else:
                    await self._watch(replica)
            except HistoryGoneError:
                needs_list = True
                log_event("history is gone", step="watch", kind=kind, as_of=replica.as_of)
            except StoreError as exc:
                self._lost(kind, exc)
                await asyncio.sleep(RETRY_S)

    def hear(self, host: Address, revisions: dict[str, int]) -> None:
        """Take in what a peer knows, and fetch what does not come by the watch in time."""
        for kind, replica in self._replicas.items():
            if revisions.get(kind, 0) > replica.changed_at and kind not in self._fetching:
                self._fetching.add(kind)
                asyncio.get_running_loop().create_task(
                    self._catch_up(replica, host, revisions[kind])
                )

    async def _list(self, replica: KindReplica) -> None:
        listing = await self._store.list_all(replica.kind, LIST_TIMEOUT_S)
        self._confirmed()
        self._take(replica, listing)

    async def _watch(self, replica: KindReplica) -> None:
        result = await self._store.watch(
            replica.kind, replica.as_of, WATCH_WAIT_S, WATCH_SLACK_S, is_stale=True
        )
        self._confirmed()
        change = replica.take_events(result)
        if change is not None and (change.written or change.removed):
            self._on_change(replica.kind, change, self._was_away())
        if result.events:
            await asyncio.sleep(WATCH_PAUSE_S)  # what changes meanwhile comes with one call

    def _take(self, replica: KindReplica, listing: Listing) -> None:
        change = replica.take_listing(listing)
        if change is not None:
            self._on_change(replica.kind, change, self._was_away())
        self._listed[replica.kind].set()

    async def _catch_up(self, replica: KindReplica, host: Address, wanted: int) -> None:
        try:
            await asyncio.sleep(BEHIND_GRACE_S)
            if replica.changed_at < wanted:
                self._take(replica, await fetch_replica(host, replica.kind))
                log_event(
                    "copy fetched from a peer",
                    step="catch up",
                    peer=str(host),
                    kind=replica.kind,
                    as_of=replica.as_of,
                )
        except ChervilmillError as exc:
            log_problem("copy not fetched", step=exc.step, peer=exc.peer, error=exc.message)
        finally:
            self._fetching.discard(replica.kind)

    def _was_away(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._reach.is_away or now_s - self._reach.returned_s < RETURN_WINDOW_S

    def _confirmed(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._reach.confirmed_s = now_s
        if self._reach.is_away:
            self._reach.is_away = False
            self._reach.returned_s = now_s
            log_event("store is back", step="watch", peer="store")

    def _lost(self, kind: str, exc: StoreError) -> None:
        if not self._reach.is_away:
            self._reach.is_away = True
            log_problem("store is lost", step=exc.step, peer=exc.peer, kind=kind, error=exc.message)


async def fetch_replica(host: Address, kind: str) -> Listing:
    """Return a peer's copy of a kind, or raise ChervilmillError."""
    exchange = WholeExchange(host)
    try:
        answer = await exchange("GET", f"/replicas/{kind}", b"", PEER_TIMEOUT_S)
    finally:
        exchange.close()
    try:
        raw = json.loads(answer.body)
        return Listing(decode_objects(raw["objects"]), int(raw["as_of"]))
    except (ValueError, KeyError, TypeError) as exc:
        raise StoreError(repr(exc), step="read copy", peer=str(host)) from exc


def encode_replica(replica: KindReplica) -> bytes:
    """Return a copy as a peer fetches it."""
    objects = encode_objects(replica.objects.values())
    return json.dumps({"as_of": replica.as_of, "objects": objects}).encode()
