"""Model a fleet of entry VMs that follow the platform's store, on a virtual clock.

`ReplicaSync`, `Membership` and `GossipEndpoint` are the real ones. The store and the links are
modelled: calls and datagrams take a one-way delay, and some are lost.
"""

import asyncio
import json
import math
import random
from collections.abc import Callable
from contextlib import suppress
from contextvars import ContextVar
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import ExchangeError, ExchangeTimeoutError, HttpAnswer
from chervilmill.entry import _replica_copies, _replica_sync
from chervilmill.entry._copy_currency import CopyCurrency
from chervilmill.entry._replica_copies import FetchedReplica, decode_replica, encode_replica
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.peers import GossipEndpoint, KindReplica, Membership, Peer, ReplicaChange
from chervilmill.platform import Bounds, PlatformStore

KIND = "servers"
DELAYS_S = (0.004, 0.055)  # one way, within a region and between two
LEAVING = "t-0"
UNHEARD_FROM_S = 5.0
PEER_PORT = 7720
SAMPLE_S = 0.05
SILENCE_S = 1.2
BOUNDS = Bounds(2.5, 6.0, 2.5, 4.0, 5.0, 0.2, 10.0, 64.0, 1.5, 5.0, 0.15)  # of the user sites
_ASKING_VM: ContextVar[int] = ContextVar("asking VM")


class StaleAsOf(Enum):
    """Which revision an answer states whose data may be stale."""

    OF_DATA = "of data"
    PRESENT_IF_EMPTY = "present if empty"
    PRESENT = "present"
    FAR_AHEAD = "far ahead"


class SilentWatch(Enum):
    """What watches get while they hear of no changes."""

    HELD = "held"  # no answer, whatever wait they state
    AS_ASKED = "as asked"  # no events after their wait, and the revision that they asked from
    PRESENT = "present"  # no events after their wait, and the present revision


class _HistoryGoneError(Exception):
    """Raised for a watch from a revision that the store has dropped."""


@dataclass(frozen=True, slots=True)
class StoreFault:
    """A fault that begins at `at_s`, of VMs chosen by their numbers.

    `silenced` VMs get no answer on the connections that were open at `at_s`. `refused` VMs get 503
    from `at_s` on, for `refused_for_s`. `swallowed_for_s` is how long all calls that begin after
    `at_s` stay unanswered.
    Reads that may be stale are answered from data that is `replica_age_s` old, and state the
    revision `stale_as_of`. Watches that may be stale wait for `stale_wait_s` at most, and their
    answers leave out each event but the last with `leaves_out`. The store refuses the share
    `busy_share` of all other reads from `at_s` on, with the status `refusal`.

    From `at_s` on linearizable answers take 0.7 to 1.0 of `answer_s` longer than the way, and say
    what the store had before; the others take `stale_answer_s` longer. Both are slow for
    `slow_for_s`, then as fast as usual for as long, and so on.

    At each of `compactions_s` the watches of the `deaf` VMs hear of no changes for SILENCE_S, and
    get `silent_watch`. The store then drops its history, and cuts all watches that wait.
    """

    at_s: float = 5.0
    silenced: Callable[[int], bool] = lambda _: False
    refused: Callable[[int], bool] = lambda _: False
    refused_for_s: float = math.inf
    swallowed_for_s: float = 0.0
    replica_age_s: float = 0.0
    busy_share: float = 0.0
    refusal: int = 429
    answer_s: float = 0.0
    stale_answer_s: float = 0.0
    slow_for_s: float = math.inf
    stale_as_of: StaleAsOf = StaleAsOf.OF_DATA
    stale_wait_s: float = math.inf
    leaves_out: bool = False
    compactions_s: tuple[float, ...] = ()
    silent_watch: SilentWatch = SilentWatch.HELD
    deaf: Callable[[int], bool] = lambda _: True

    def silent_until_s(self, now_s: float) -> float | None:
        """Return until when watches hear of no changes, or None if they do hear of them."""
        ends = [at_s + SILENCE_S for at_s in self.compactions_s if at_s <= now_s < at_s + SILENCE_S]
        return ends[0] if ends else None

    def is_slow(self, now_s: float) -> bool:
        """Return whether answers that are ready at a time are held back."""
        return now_s >= self.at_s and (now_s - self.at_s) // self.slow_for_s % 2 == 0


@dataclass(frozen=True, slots=True)
class FleetCase:
    """A fleet and what goes wrong in it.

    Targets change one after the other at `changes_s`; the last of these changes is the leaving
    target's. `datagram_loss` is the lost share of datagrams, and the first `lost_fetches` copies
    that each VM fetches from peers are lost. `unheard` VMs send and get no datagrams from 5 s on.
    VMs learn of each other `registered_s` after their start, and begin to gossip before that. The
    targets are entries of the kind `servers`; `listed_kind` is listed to confirm the copies.
    """

    vms: int
    fault: StoreFault
    changes_s: tuple[float, ...]
    datagram_loss: float = 0.0
    lost_fetches: int = 0
    unheard: Callable[[int], bool] = lambda _: False
    registered_s: float = 0.0
    listed_kind: str = KIND

    @property
    def kinds(self) -> tuple[str, ...]:
        """Return the kinds of objects that each VM follows."""
        return tuple(dict.fromkeys((KIND, self.listed_kind)))

    def changes(self) -> dict[str, float]:
        """Return for each target that changes when it does."""
        *others_s, leaving_s = self.changes_s
        others = {f"other-{number}": at_s for number, at_s in enumerate(others_s)}
        return {**others, LEAVING: leaving_s}


class _Store:
    """The store: an object changes at each of the set times, and watches end on a change."""

    def __init__(self, case: FleetCase, seed: int) -> None:
        self.case = case
        self.events: list[tuple[int, str]] = []
        self.replicated: list[tuple[int, str]] = []
        self.changed = asyncio.Event()
        self.dropped_until = 0  # the revision from which changes can be watched
        self.compactions = 0
        self.stale_reads = 0
        self.linearizable_reads = 0
        self._rng = random.Random(f"{case.vms}-{seed}")

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for at_s in self.case.fault.compactions_s:
            loop.call_at(at_s + SILENCE_S, self._compact)
        for number, (name, at_s) in enumerate(self.case.changes().items()):
            await asyncio.sleep(at_s - loop.time())
            event = (11 + number, name)
            self.events.append(event)
            loop.call_later(self.case.fault.replica_age_s, self.replicated.append, event)
            loop.call_later(self.case.fault.replica_age_s, self._notify)
            self._notify()

    def _compact(self) -> None:
        self.dropped_until = 10 + len(self.events)
        self.compactions += 1
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, vm: int, path: str) -> HttpAnswer:
        """Answer a call of a VM as the store and the link to it do."""
        is_stale = "serializable=1" in path
        self.stale_reads += is_stale
        self.linearizable_reads += not is_stale
        loop, fault = asyncio.get_running_loop(), self.case.fault
        began_s, delay_s = loop.time(), DELAYS_S[vm % 2]
        await asyncio.sleep(delay_s)
        if fault.refused(vm) and 0.0 <= loop.time() - fault.at_s < fault.refused_for_s:
            return HttpAnswer(503, b"")
        is_busy = not is_stale and self._rng.random() < fault.busy_share
        if is_busy and loop.time() >= fault.at_s:
            return HttpAnswer(fault.refusal, b"")
        if fault.at_s <= began_s < fault.at_s + fault.swallowed_for_s:
            await asyncio.Event().wait()
        try:
            body = (
                await self._stale_result(vm, path)
                if is_stale
                else await self._result(vm, path, self.events)
            )
        except _HistoryGoneError:
            return HttpAnswer(410, b"{}")
        if fault.silenced(vm) and began_s < fault.at_s <= loop.time():
            await asyncio.Event().wait()
        await asyncio.sleep(delay_s + self._held_back_s(is_stale))
        return HttpAnswer(200, json.dumps(body).encode())

    def _held_back_s(self, is_stale: bool) -> float:
        """Return for how long a slow store holds back an answer that is ready."""
        fault = self.case.fault
        if not fault.is_slow(asyncio.get_running_loop().time()):
            return 0.0
        return fault.stale_answer_s if is_stale else fault.answer_s * self._rng.uniform(0.7, 1.0)

    async def _stale_result(self, vm: int, path: str) -> dict[str, Any]:
        """Return the result of a read that may be stale."""
        fault = self.case.fault
        result = await self._result(vm, path, self.replicated, fault.stale_wait_s)
        changes = result.get("events", [])
        if fault.leaves_out:
            del changes[:-1]
        present = 10 + len(self.events)
        match fault.stale_as_of:
            case StaleAsOf.PRESENT_IF_EMPTY if not changes:
                result["as-of"] = present
            case StaleAsOf.PRESENT:
                result["as-of"] = present
            case StaleAsOf.FAR_AHEAD:
                result["as-of"] = 10**9
        return result

    async def _result(
        self, vm: int, path: str, events: list[tuple[int, str]], max_wait_s: float = math.inf
    ) -> dict[str, Any]:
        """Return the result of a read of the store, or of a replica that has fewer events."""
        has_targets = path.split("?")[0].endswith(f"/{KIND}")
        if "watch=" not in path:
            items = [_entry(name, revision) for revision, name in events if has_targets]
            return {"items": items, "as-of": 10 + len(events)}
        since = int(path.split("watch=")[1].split("&")[0])
        wait_s = min(max_wait_s, int(path.split("wait-ms=")[1].split("&")[0]) / 1000)
        loop, compactions = asyncio.get_running_loop(), self.compactions
        until_s = loop.time() + wait_s
        while True:
            if self.case.fault.deaf(vm) and self.case.fault.silent_until_s(loop.time()):
                await self._wait_in_silence(until_s)
                return {"events": [], "as-of": self._revision_in_silence(since)}
            if self.compactions > compactions:
                raise ExchangeError("cut off", step="GET", peer="store")
            if since < self.dropped_until:
                raise _HistoryGoneError
            changes = [
                {"object": _entry(name, revision)}
                for revision, name in events
                if has_targets and revision > since
            ]
            if changes or loop.time() >= until_s:
                return {"events": changes, "as-of": max(since, 10 + len(events))}
            with suppress(TimeoutError):
                async with asyncio.timeout_at(until_s):
                    await self.changed.wait()

    async def _wait_in_silence(self, until_s: float) -> None:
        """Wait for the end of a watch that hears of no changes, which may be that it is cut off."""
        loop, fault = asyncio.get_running_loop(), self.case.fault
        silent_until_s = fault.silent_until_s(loop.time()) or loop.time()
        if fault.silent_watch is SilentWatch.HELD or until_s >= silent_until_s:
            await asyncio.sleep(silent_until_s - loop.time())
            raise ExchangeError("cut off", step="GET", peer="store")
        await asyncio.sleep(until_s - loop.time())

    def _revision_in_silence(self, since: int) -> int:
        is_present = self.case.fault.silent_watch is SilentWatch.PRESENT
        return max(since, 10 + len(self.events)) if is_present else since


def _entry(name: str, revision: int) -> dict[str, object]:
    return {"metadata": {"name": name, "revision": revision}, "specification": {}}


def _new_currency(sync: ReplicaSync) -> CopyCurrency:
    """Return what decides whether a VM acts on its copies."""
    currency = CopyCurrency(BOUNDS, sync.confirmer.confirmed_s, sync.is_store_away)
    sync.confirmer.schedule.act_age_s = currency.max_age_s
    return currency


class FleetVm:
    """One entry VM; `learnt_s` is when it learnt of each target's change."""

    def __init__(self, fleet: "StoreFleet", number: int) -> None:
        self.number = number
        self.learnt_s: dict[str, float] = {}
        self.fetches = 0
        self._fleet = fleet
        self.peer = Peer(f"vm-{number}", f"10.0.{number // 250}.{number % 250}", f"d{number % 6}")
        rng = random.Random(f"{fleet.case.vms}-{number}")
        self.membership = Membership(self.peer.name, 1, rng, self.peer.failure_domain)
        self.membership.set_serving(True)
        self.replicas = {kind: KindReplica(kind) for kind in fleet.case.kinds}
        self.sync = self._new_sync()
        self.currency = _new_currency(self.sync)
        self.endpoint = self._new_endpoint()

    def _new_sync(self) -> ReplicaSync:
        store = PlatformStore(self._call, "store")
        listed_kind = self._fleet.case.listed_kind
        return ReplicaSync(store, self.replicas, self._record_change, (KIND,), listed_kind)

    def _new_endpoint(self) -> GossipEndpoint:
        endpoint = GossipEndpoint(
            self.membership, PEER_PORT, self.sync.versions, [], self._handle_digest
        )
        endpoint.connection_made(_Link(self._fleet, self.peer.host))
        endpoint.confirmed_age_s = self.sync.confirmed_age_s
        endpoint.proofs = self.sync.proofs
        self.sync.on_urgent_change = endpoint.announce_revisions
        self.sync.confirmer.on_read = endpoint.announce_confirmation
        self.sync.confirmer.on_adopted = endpoint.relay_confirmation
        return endpoint

    async def update_reader(self) -> None:
        """Tell the copy every quarter of a second which reader this VM is, and of how many VMs."""
        while True:
            self.sync.confirmer.schedule.reader_rank = self.membership.reader_rank
            self.sync.fleet_size = len(self._fleet.vms)
            await asyncio.sleep(0.25)

    async def _call(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._fleet.store.answer(self.number, path)
        except TimeoutError as exc:
            raise ExchangeTimeoutError("no answer", step=method, peer="store") from exc

    def _record_change(self, kind: str, change: ReplicaChange, until_s: float | None) -> None:
        now_s = asyncio.get_running_loop().time()
        for stored in change.written:
            self.learnt_s.setdefault(stored.name, now_s)

    def _handle_digest(self, digest: Any) -> None:
        _ASKING_VM.set(self.number)
        peer = self.membership.peer(digest.sender)
        if peer is not None:
            self.sync.handle_peer_versions(
                Address(peer.host, PEER_PORT),
                digest.revisions,
                digest.confirmed_age_s,
                digest.proofs,
                are_listed=digest.proves_by_lists,
            )


class _Link(asyncio.DatagramTransport):
    """The UDP socket of one VM."""

    def __init__(self, fleet: "StoreFleet", host: str) -> None:
        super().__init__()
        self._fleet = fleet
        self._host = host

    def sendto(self, data: Any, addr: Any = None) -> None:
        if self._fleet.rng.random() < self._fleet.case.datagram_loss:
            return
        receiver = self._fleet.by_host.get(addr[0])
        if receiver is not None and not self._is_cut(receiver.peer.host):
            delay_s = self._fleet.rng.choice(DELAYS_S)
            loop = asyncio.get_running_loop()
            loop.call_later(
                delay_s, receiver.endpoint.datagram_received, bytes(data), (self._host, PEER_PORT)
            )

    def _is_cut(self, receiver: str) -> bool:
        case, now_s = self._fleet.case, asyncio.get_running_loop().time()
        numbers = [self._fleet.by_host[host].number for host in (self._host, receiver)]
        return now_s >= UNHEARD_FROM_S and any(case.unheard(number) for number in numbers)


@dataclass(slots=True)
class StoreFleet:
    """The fleet of one case; `on_sample` is called for each VM every SAMPLE_S."""

    case: FleetCase
    seed: int
    on_sample: Callable[[FleetVm, float], None] | None = None
    rng: random.Random = field(init=False)
    store: _Store = field(init=False)
    vms: list[FleetVm] = field(init=False)
    by_host: dict[str, FleetVm] = field(init=False)

    async def run(self, monkeypatch: pytest.MonkeyPatch, until_s: float) -> None:
        """Run the fleet until a time."""
        monkeypatch.setattr(_replica_sync, "fetch_replica", self._fetch)
        self.rng = random.Random(self.seed)
        self.store = _Store(self.case, self.seed)
        self.vms = [FleetVm(self, number) for number in range(self.case.vms)]
        self.by_host = {vm.peer.host: vm for vm in self.vms}
        tasks = [asyncio.ensure_future(self.store.run())]
        for vm in self.vms:
            tasks.append(asyncio.ensure_future(self._start(vm)))
        if self.on_sample is not None:
            tasks.append(asyncio.ensure_future(self._sample(self.on_sample)))
        await asyncio.sleep(until_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def late(self, bound_s: float) -> dict[str, float | None]:
        """Return the VMs that learnt too late that the target leaves, with the delays."""
        left_s = self.case.changes_s[-1]
        delays = {
            vm.peer.name: (
                round(vm.learnt_s[LEAVING] - left_s, 3) if LEAVING in vm.learnt_s else None
            )
            for vm in self.vms
        }
        return {name: late for name, late in delays.items() if late is None or late > bound_s}

    async def _sample(self, on_sample: Callable[[FleetVm, float], None]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for vm in self.vms:
                on_sample(vm, loop.time())
            await asyncio.sleep(SAMPLE_S)

    async def _start(self, vm: FleetVm) -> None:
        await asyncio.sleep(self.rng.random() * 0.5)
        await asyncio.gather(
            vm.endpoint.run(),
            *(vm.sync.run(kind) for kind in self.case.kinds),
            vm.sync.confirmer.run(),
            vm.update_reader(),
            self._register(vm),
        )

    async def _register(self, vm: FleetVm) -> None:
        if self.case.registered_s:
            await asyncio.sleep(self.case.registered_s)
        vm.membership.set_peers([other.peer for other in self.vms])
        for seed in self.vms[:3]:
            if seed is not vm:
                vm.endpoint.send_digest(Address(seed.peer.host, PEER_PORT))

    async def _fetch(self, host: Address, kind: str) -> FetchedReplica:
        """Copy a peer's objects, unless this is one of the asking VM's first fetches to be lost."""
        giver, asker = self.by_host[host.host], self.vms[_ASKING_VM.get()]
        asker.fetches += 1
        await asyncio.sleep(4 * DELAYS_S[1])
        if asker.fetches <= self.case.lost_fetches:
            await asyncio.sleep(_replica_copies.PEER_TIMEOUT_S - 4 * DELAYS_S[1])
            raise ExchangeError("no answer", step="GET", peer=str(host))
        return decode_replica(
            kind, encode_replica(giver.replicas[kind], is_settled=True), str(host)
        )
