"""Catch up with changes of the store's objects that peers know or have proven and this VM has not.

A call to the store may stay open for its whole time although the store swallowed it or its
connection is silent, so an open call is no proof that a copy is current. A VM that is behind sends
its call again, on another connection and linearizable, and then fetches a copy from the peers that
are ahead.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import astuple

from chervilmill.addresses import Address
from chervilmill.entry._store_state import StoreState
from chervilmill.errors import ChervilmillError
from chervilmill.logs import log_event, log_problem
from chervilmill.peers import KindReplica
from chervilmill.platform import StoreVersion

CATCH_UP_DELAY_S = 0.25  # changes reach different VMs at different times, up to two round trips
RESTARTED_CALL_S = 0.3  # for a new connection and an answer of the store, also from afar
SLOW_STORE_S = 5.0  # for which peers are asked at once, after an answer of the store was late
NEXT_PEER_DELAY_S = 0.4  # a copy lost on the way costs no more than this
MAX_PEERS_ASKED = 3

FetchCopy = Callable[[KindReplica, Address], Awaitable[None]]


class CatchUp:
    """Brings the copy of one kind up to the versions that peers state.

    `send_again` sends the VM's open call to the store again, and returns whether it did.
    `fetch_copy` replaces the copy by that of a peer.
    """

    def __init__(
        self,
        replica: KindReplica,
        store_state: StoreState,
        send_again: Callable[[str], bool],
        fetch_copy: FetchCopy,
    ) -> None:
        self._replica = replica
        self._store_state = store_state
        self._send_again = send_again
        self._fetch_copy = fetch_copy
        self._versions: dict[Address, StoreVersion] = {}
        self._task: asyncio.Task[None] | None = None
        self._call_failed = asyncio.Event()
        self._slow_until_s = float("-inf")

    def handle_version(self, host: Address, version: StoreVersion) -> None:
        """Note a peer's version, and begin to catch up if it is ahead of the copy."""
        self._begin(host, version, lambda: self._replica.known_version < version)

    def handle_proof(self, host: Address, version: StoreVersion) -> None:
        """Begin to catch up if the copy is not proven up to a version, as a peer's is."""
        self._begin(host, version, lambda: self._replica.as_of < version)

    def handle_failed_call(self) -> None:
        """Turn to the peers without waiting, as the call that was sent again has failed."""
        self._call_failed.set()

    def _begin(self, host: Address, version: StoreVersion, is_behind: Callable[[], bool]) -> None:
        if not is_behind():
            return
        self._versions.pop(host, None)
        self._versions[host] = version  # the latest last
        if self._task is None:
            self._log_behind(host, version)
            self._task = asyncio.get_running_loop().create_task(self._run(is_behind))

    async def _run(self, is_behind: Callable[[], bool]) -> None:
        """Reach a version; where objects keep changing, later ones are always on their way."""
        try:
            await asyncio.sleep(CATCH_UP_DELAY_S)
            if is_behind() and self._has_new_call():
                await asyncio.sleep(CATCH_UP_DELAY_S)
            if is_behind() and self._restart_call():
                await self._wait_for_answer(is_behind)
            if is_behind():
                await self._fetch_from_peers(is_behind)
        finally:
            self._task = None
            self._versions.clear()

    def _has_new_call(self) -> bool:
        """Return whether a call that may still bring the change is just sent, or about to be."""
        if self._store_state.is_unreachable:
            return False
        now_s = asyncio.get_running_loop().time()
        open_s = self._store_state.call_open_s(self._replica.kind, now_s)
        return open_s is None or open_s < CATCH_UP_DELAY_S

    def _restart_call(self) -> bool:
        """Send the open call again, whose answer may never come or be stale."""
        is_slow = asyncio.get_running_loop().time() < self._slow_until_s
        if self._store_state.is_unreachable or is_slow:
            return False
        return self._send_again(self._replica.kind)

    async def _wait_for_answer(self, is_behind: Callable[[], bool]) -> None:
        self._call_failed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(RESTARTED_CALL_S):
                await self._call_failed.wait()
        if is_behind() and not self._call_failed.is_set():
            self._slow_until_s = asyncio.get_running_loop().time() + SLOW_STORE_S

    async def _fetch_from_peers(self, is_behind: Callable[[], bool]) -> None:
        """Ask one peer after the other, without giving up on those asked before."""
        fetches: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        try:
            for host in list(reversed(self._versions))[:MAX_PEERS_ASKED]:
                if is_behind():
                    fetches.add(loop.create_task(self._try_fetch(host)))
                    await self._wait_for_any(fetches, NEXT_PEER_DELAY_S)
            while fetches and is_behind():
                await self._wait_for_any(fetches, None)
        finally:
            for fetch in fetches:
                fetch.cancel()

    async def _wait_for_any(
        self, fetches: set[asyncio.Task[None]], timeout_s: float | None
    ) -> None:
        done, _ = await asyncio.wait(
            fetches, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        fetches -= done

    async def _try_fetch(self, host: Address) -> None:
        try:
            await self._fetch_copy(self._replica, host)
        except ChervilmillError as exc:
            log_problem("copy not fetched", step=exc.step, peer=exc.peer, error=exc.message)

    def _log_behind(self, host: Address, wanted: StoreVersion) -> None:
        now_s = asyncio.get_running_loop().time()
        kind = self._replica.kind
        call_open_s = self._store_state.call_open_s(kind, now_s)
        age_s = self._store_state.confirmed_ages_s(now_s).get(kind)
        log_event(
            "copy is behind",
            step="follow",
            peer=str(host),
            kind=kind,
            known=astuple(self._replica.known_version),
            proven=astuple(self._replica.as_of),
            wanted=astuple(wanted),
            call_open_s=None if call_open_s is None else round(call_open_s, 3),
            confirmed_age_s=None if age_s is None else round(age_s, 3),
        )
