"""Follow a store whose stale answers state more than they have: each of them proves nothing."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import HttpAnswer
from chervilmill.entry import _replica_copies
from chervilmill.entry._confirmation import UNCONFIRMED_AFTER_S
from chervilmill.entry._read_schedule import CONFIRM_INTERVAL_S
from chervilmill.entry._replica_copies import encode_replica
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.peers import CopyProof, KindReplica, ReplicaChange
from chervilmill.platform import Listing, PlatformStore, StoredObject, StoreVersion, WatchEvent
from tests.virtual_time import run_virtually

LISTED, KIND = "evacuations", "servers"
CALL_S = 0.02
LEARNT_S = CONFIRM_INTERVAL_S + 0.25 + 4 * CALL_S
PEER = Address("10.0.0.2", 7720)
ERA = 2


# Returns status, era and body of an answer that may be stale.
StaleAnswer = Callable[["_Store"], tuple[int, int, dict[str, Any]]]


def _entry(name: str, revision: int) -> dict[str, Any]:
    return {"metadata": {"name": name, "revision": revision}, "specification": {"at": revision}}


@dataclass(slots=True)
class _Store:
    """A store of targets; `stale` answers the watches that may be stale."""

    stale: StaleAnswer
    revision: int = 10
    events: list[tuple[int, str, bool]] = field(default_factory=list)
    other_calls: int = 0
    is_refusing: bool = False

    def write(self, name: str) -> None:
        self.revision += 1
        self.events.append((self.revision, name, False))

    def remove(self, name: str) -> None:
        self.revision += 1
        self.events.append((self.revision, name, True))

    def objects(self) -> dict[str, int]:
        """Return the revision of each target."""
        known = {"a": 3, "b": 5}
        for revision, name, is_removed in self.events:
            known[name] = revision
            if is_removed:
                del known[name]
        return known

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        await asyncio.sleep(CALL_S)
        kind = path.split("?")[0].rpartition("/")[2]
        if "serializable=1" in path:
            if kind == LISTED:
                await asyncio.sleep(timeout_s - 1.0)
                return _answer(ERA, {"events": []})
            status, era, value = self.stale(self)
            return _answer(era, value, status)
        self.other_calls += 1
        if self.is_refusing:
            return HttpAnswer(503, b"")
        if "watch=" not in path:
            items = [_entry(*item) for item in self.objects().items()] if kind == KIND else []
            return _answer(ERA, {"items": items, "as-of": self.revision})
        since = int(path.split("watch=")[1].split("&")[0])
        events = [
            {"object": _entry(name, revision), "deleted": is_removed}
            for revision, name, is_removed in self.events
            if kind == KIND and revision > since
        ]
        return _answer(ERA, {"events": events, "as-of": self.revision})


def _answer(era: int, value: object, status: int = 200) -> HttpAnswer:
    headers = ((b"store-era", str(era).encode()),)
    return HttpAnswer(status, json.dumps(value).encode(), headers)


def _written(name: str, revision: int) -> dict[str, Any]:
    return {"object": _entry(name, revision), "deleted": False}


def _removed(name: str, revision: int) -> dict[str, Any]:
    return {"object": _entry(name, revision), "deleted": True}


def _no_events(**stated: int) -> dict[str, Any]:
    return {"events": [], **{name.replace("_", "-"): value for name, value in stated.items()}}


REFUTED = "events that never were"
STALE_ANSWERS: dict[str, StaleAnswer] = {
    "no events, present revision": lambda store: (200, ERA, _no_events(as_of=store.revision)),
    "no events, far revision": lambda _: (200, ERA, _no_events(as_of=10**12)),
    "no events, revision before": lambda _: (200, ERA, _no_events(as_of=1)),
    "no events, none stated": lambda _: (200, ERA, _no_events()),
    "an event left out": lambda store: (
        200,
        ERA,
        {"events": [_written("c", store.revision)], "as-of": store.revision},
    ),
    REFUTED: lambda _: (
        200,
        ERA,
        {"events": [_written("z", 900), _removed("a", 3), _removed("b", 901)], "as-of": 901},
    ),
    "history gone": lambda _: (410, ERA, {}),
    "era before": lambda _: (200, ERA - 1, _no_events(as_of=10**12)),
    "history gone in the era before": lambda _: (410, ERA - 1, {}),
    "era ahead": lambda _: (200, ERA + 7, _no_events(as_of=10**12)),
    "refused": lambda _: (503, ERA, {}),
}


class _Vm:
    """The copies of one entry VM, and which targets it was told of."""

    def __init__(self, store: _Store, reader_rank: int | None) -> None:
        self.store = store
        self.replicas = {kind: KindReplica(kind) for kind in (LISTED, KIND)}
        self.told: dict[str, int] = {}
        self.sync = ReplicaSync(
            PlatformStore(store, "store"), self.replicas, self._record, (LISTED, KIND), LISTED
        )
        self.sync.confirmer.reader_rank = reader_rank
        self.sync.confirmer.fleet_size = 12

    def _record(self, kind: str, change: ReplicaChange, kept_until_s: float | None) -> None:
        self.told.update({stored.name: stored.revision for stored in change.written})
        for name in change.removed:
            self.told.pop(name, None)

    def start(self) -> list[asyncio.Future[None]]:
        tasks = [asyncio.ensure_future(self.sync.run(kind)) for kind in self.replicas]
        return [*tasks, asyncio.ensure_future(self.sync.confirmer.run())]


# Changes were late by the age of the replicas, or lost for good, as stale answers were believed.
@pytest.mark.parametrize("stated", STALE_ANSWERS)
def test_reader_has_each_change_in_time_whatever_stale_answers_state(stated: str) -> None:
    async def scenario() -> None:
        vm = _Vm(_Store(STALE_ANSWERS[stated]), 0)
        tasks = vm.start()
        await asyncio.sleep(12.0)
        for change in ("write a", "write c", "remove b", "write a", "remove c"):
            verb, name = change.split()
            getattr(vm.store, verb)(name)
            vm.store.revision += 2  # other kinds change too
            await asyncio.sleep(LEARNT_S)
            expected = vm.store.objects()
            proven = vm.replicas[KIND].proven
            assert {name: stored.revision for name, stored in proven.items()} == expected
            assert stated == REFUTED or vm.told.items() >= expected.items()
            await asyncio.sleep(3.0)
        before = vm.store.other_calls
        await asyncio.sleep(20.0)
        assert vm.store.other_calls - before <= 3 * 20.0 / CONFIRM_INTERVAL_S
        _stop(tasks)

    run_virtually(scenario())


@pytest.mark.parametrize("stated", STALE_ANSWERS)
def test_stale_answers_neither_confirm_copies_nor_end_an_outage(stated: str) -> None:
    async def scenario() -> None:
        vm = _Vm(_Store(STALE_ANSWERS[stated]), None)
        tasks = vm.start()
        await asyncio.sleep(1.0)
        vm.store.is_refusing = True
        await asyncio.sleep(3.0)
        before = vm.sync.confirmed_age_s()
        await asyncio.sleep(UNCONFIRMED_AFTER_S)
        assert before is not None
        assert vm.sync.confirmed_age_s() == pytest.approx(before + UNCONFIRMED_AFTER_S)
        assert vm.sync.is_store_unreachable
        assert not vm.sync.is_settled
        assert vm.replicas[KIND].as_of == StoreVersion(ERA, 10)
        _stop(tasks)

    run_virtually(scenario())


def _stop(tasks: list[asyncio.Future[None]]) -> None:
    for task in tasks:
        task.cancel()


def _stored(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, b'{"at":%d}' % revision)


def _peer(as_of: int, **revisions: int) -> KindReplica:
    """Return a peer's copy, proven up to a revision."""
    replica = KindReplica(KIND)
    objects = {name: _stored(name, revision) for name, revision in revisions.items()}
    replica.apply_listing(Listing(objects, StoreVersion(ERA, as_of)))
    return replica


async def _hear(
    vm: _Vm,
    peer: KindReplica,
    monkeypatch: pytest.MonkeyPatch,
    proofs: dict[str, CopyProof],
    *,
    are_listed: bool = True,
) -> None:
    """Receive a peer's digest twice, and let the VM catch up with its copy."""

    class Client:
        def __init__(self, host: Address) -> None: ...

        async def __call__(self, *_: object) -> HttpAnswer:
            body = json.loads(encode_replica(peer, is_settled=True))
            if not are_listed:
                del body["is_listed"]
            return HttpAnswer(200, json.dumps(body).encode())

        def close(self) -> None: ...

    monkeypatch.setattr(_replica_copies, "HttpClient", Client)
    for _ in range(2):
        versions = {KIND: peer.last_change, LISTED: StoreVersion()}
        vm.sync.handle_peer_versions(PEER, versions, 0.1, proofs, are_listed=are_listed)
        await asyncio.sleep(1.2)


SILENT = STALE_ANSWERS["no events, present revision"]


def test_copy_of_a_peer_proves_what_the_peer_has_proven_and_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        vm = _Vm(_Store(SILENT), None)
        tasks = vm.start()
        await asyncio.sleep(1.0)
        vm.store.is_refusing = True
        peer = _peer(15, a=12, b=5)
        peer.apply_hints([WatchEvent(_stored("z", 20), is_removed=False)], ERA, 0.0)
        proof = peer.proof()
        assert proof is not None
        await _hear(vm, peer, monkeypatch, {KIND: proof})
        assert vm.told == {"a": 12, "b": 5, "z": 20}
        assert vm.replicas[KIND].proof() == proof
        _stop(tasks)

    run_virtually(scenario())


# A VM of an earlier version takes a watch that hears of nothing for proof, and tells its peers.
@pytest.mark.parametrize("as_of", [10, 15])
def test_proof_and_copy_of_a_peer_that_believes_watches_prove_nothing(
    monkeypatch: pytest.MonkeyPatch, as_of: int
) -> None:
    async def scenario() -> None:
        vm = _Vm(_Store(SILENT), None)
        tasks = vm.start()
        await asyncio.sleep(1.0)
        vm.store.is_refusing = True
        before, confirmed_s = vm.replicas[KIND].proof(), vm.sync.confirmer.confirmed_s()
        peer = _peer(as_of, a=3, b=5)
        proof = peer.proof()
        assert proof is not None
        await _hear(vm, peer, monkeypatch, {KIND: proof}, are_listed=False)
        assert (vm.replicas[KIND].proof(), vm.sync.confirmer.confirmed_s()) == (before, confirmed_s)
        _stop(tasks)

    run_virtually(scenario())


# A VM that believed a replica confirmed its peers, whose copies lacked the same change.
def test_age_of_a_peer_without_proofs_confirms_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        vm = _Vm(_Store(SILENT), None)
        tasks = vm.start()
        await asyncio.sleep(1.0)
        vm.store.is_refusing = True
        before = vm.sync.confirmed_age_s()
        await _hear(vm, _peer(15, a=3, b=5), monkeypatch, {})
        assert before is not None
        assert (vm.sync.confirmed_age_s() or 0.0) >= before + 2.0
        _stop(tasks)

    run_virtually(scenario())


# A change that no stale answer brings was missed, as no peer's version showed that it was there.
def test_peer_with_other_proven_objects_makes_a_vm_catch_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        vm = _Vm(_Store(SILENT), None)
        tasks = vm.start()
        await asyncio.sleep(1.0)
        vm.store.remove("b")
        peer = _peer(11, a=3)
        peer.last_proven_change = StoreVersion(ERA, 5)
        proof = peer.proof()
        assert proof is not None
        await _hear(vm, peer, monkeypatch, {KIND: proof})
        assert vm.told == {"a": 3}
        assert vm.replicas[KIND].as_of == StoreVersion(ERA, 11)
        _stop(tasks)

    run_virtually(scenario())
