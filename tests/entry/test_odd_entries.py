"""Follow targets amid an odd entry, on each path by which entries reach an entry VM."""

import asyncio
import random
from collections.abc import Callable

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import HttpAnswer
from chervilmill.entry import _replica_copies
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.entry._site_state import SiteState
from chervilmill.overload import TargetFleet
from chervilmill.peers import KindReplica, Membership, Peer
from chervilmill.platform import TARGET_KIND, PlatformStore, StoreVersion
from tests.virtual_time import run_virtually

OWN = Peer("vm", "127.0.0.1", "north-a")
REGIONS = {"north-a": "north"}
PEER = Address("127.0.0.2", 1)
REPLICATED_REVISION = 9

DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 5_000 + b"1" + b"}" * 5_000
FIELDS = {
    b"service": b'"app"',
    b"address": b'"127.0.0.9:80"',
    b"zone": b'"north-a"',
    b"slots": b"4",
    b"state": b'"ready"',
    b"cold-remaining-s": b"0",
    b"sequence": b"1",
    b"born": b"1",
}
ODD_VALUES = {
    "nested": DEEP,
    "nested object": DEEP_OBJECT,
    "digits": b"9" * 5_000,
    "many digits": b"-" + b"9" * 1_000_000,
    "exponent": b"1e999",
    "not a number": b"NaN",
    "no UTF-8": b'"\xff\xfe"',
    "control": b'"a\x00\x01b"',
}
ODD_PORTS = [b"65536", b"70000", b"0", b"-1", b"8e1", b" 80", b"", b"9" * 30, b"\xd9\xa3"]


def _entry(name: bytes, revision: int, fields: dict[bytes, bytes]) -> bytes:
    spec = b", ".join(b'"' + key + b'": ' + value for key, value in fields.items())
    return b'{"metadata": {"name": "%s", "revision": %d}, "specification": {%s}}' % (
        name,
        revision,
        spec,
    )


def _with_field(field: bytes, value: bytes) -> bytes:
    return _entry(b"odd", 7, FIELDS | {field: value})


ODD_ENTRIES: dict[str, bytes] = {
    **{f"whole entry {name}": value for name, value in ODD_VALUES.items()},
    **{
        f"{field.decode()} {name}": _with_field(field, value)
        for field in FIELDS
        for name, value in ODD_VALUES.items()
        if field not in (b"sequence",)  # nothing reads it
    },
    **{
        f"port {ascii(port.decode())[:12]}": _with_field(b"address", b'"127.0.0.9:' + port + b'"')
        for port in ODD_PORTS
    },
    "doubled key": _entry(b"odd", 7, {b'slots": 4, "slots': DEEP, **FIELDS, b"slots": b"[]"}),
    "nested name": b'{"metadata": {"name": ' + DEEP + b', "revision": 7}, "specification": {}}',
    "nested revision": b'{"metadata": {"name": "odd", "revision": ' + DEEP + b"}}",
    "no specification": b'{"metadata": {"name": "odd", "revision": 7}, "specification": '
    + DEEP
    + b"}",
}


class _Store:
    """A store of raw entries; only reads that are linearizable see what `later` holds.

    While the store is busy, it refuses these reads, which would refute what only a replica has.
    """

    def __init__(self) -> None:
        self.listed: list[bytes] = []
        self.later: list[bytes] = []
        self.replicated: list[bytes] = []
        self.revision = 5
        self.linearizable_watches = 0
        self.is_busy = False

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        kind = path.split("?")[0].rpartition("/")[2]
        if self.is_busy and "serializable=1" not in path:
            return HttpAnswer(429, b"{}")
        if "watch=" not in path:
            listed = self.listed + self.later if kind == TARGET_KIND else []
            items = b'{"items": [' + b", ".join(listed) + b'], "as-of": %d}'
            return HttpAnswer(200, items % self.revision)
        since = int(path.split("watch=")[1].split("&")[0])
        is_stale = "serializable=1" in path
        self.linearizable_watches += not is_stale
        events = self.replicated if is_stale else self.later
        as_of = REPLICATED_REVISION if is_stale else self.revision
        if kind != TARGET_KIND or not events or since >= as_of:
            await asyncio.sleep(timeout_s - 0.1)
            return HttpAnswer(200, b'{"events": [], "as-of": %d}' % since)
        changes = b", ".join(b'{"object": ' + raw + b"}" for raw in events)
        answer = b'{"events": [' + changes + b'], "as-of": %d}'
        return HttpAnswer(200, answer % as_of)


class _Vm:
    """The copies of one entry VM, and what it made of them."""

    def __init__(self) -> None:
        self.store = _Store()
        membership = Membership("vm", 1, random.Random(1))
        fleet = TargetFleet("vm", "north", REGIONS, random.Random(1))
        clock = asyncio.get_running_loop().time
        self.state = SiteState(fleet, membership, OWN, clock, 1.5)
        self.replicas = {kind: KindReplica(kind) for kind in (TARGET_KIND, "evacuations")}
        self.sync = ReplicaSync(
            PlatformStore(self.store, "store"),
            self.replicas,
            self.state.apply_change,
            (TARGET_KIND,),
            "evacuations",
        )
        self.sync.confirmer.reader_rank = 0

    def known(self) -> set[str]:
        """Return the targets that can be used."""
        return {target.name for target in self.state.view.usable_targets("app")}


def _by_list(vm: _Vm, monkeypatch: pytest.MonkeyPatch, entries: list[bytes]) -> None:
    vm.store.revision = 9
    vm.store.listed = entries
    vm.sync._list_again(TARGET_KIND)


def _by_watch(vm: _Vm, monkeypatch: pytest.MonkeyPatch, entries: list[bytes]) -> None:
    vm.store.is_busy = True
    vm.store.replicated = entries
    vm.sync._watches[TARGET_KIND].cancel()  # sends it again


def _by_confirmation(vm: _Vm, monkeypatch: pytest.MonkeyPatch, entries: list[bytes]) -> None:
    vm.store.revision = 9
    vm.store.later = entries


def _by_peer(vm: _Vm, monkeypatch: pytest.MonkeyPatch, entries: list[bytes]) -> None:
    objects = b"[" + b", ".join(entries) + b"]"
    _fetch(
        vm, monkeypatch, b'"is_listed": true, "objects": %b, "proven": [], "hints": []' % objects
    )


def _by_hints_of_peer(vm: _Vm, monkeypatch: pytest.MonkeyPatch, entries: list[bytes]) -> None:
    vm.store.is_busy = True
    hints = b", ".join(b'{"object": %b, "deleted": false}' % raw for raw in entries[1:])
    fields = b'"is_listed": true, "objects": [%b], "proven": [], "hints": [%b]'
    _fetch(vm, monkeypatch, fields % (entries[0], hints), as_of=5)


def _by_earlier_peer(vm: _Vm, monkeypatch: pytest.MonkeyPatch, entries: list[bytes]) -> None:
    vm.store.is_busy = True
    _fetch(vm, monkeypatch, b'"objects": [%b]' % b", ".join(entries))


def _fetch(
    vm: _Vm, monkeypatch: pytest.MonkeyPatch, fields: bytes, as_of: int = REPLICATED_REVISION
) -> None:
    body = b'{"era": 0, "as_of": %d, "is_settled": true, %b}' % (as_of, fields)

    class Client:
        def __init__(self, host: Address) -> None: ...

        async def __call__(self, *_: object) -> HttpAnswer:
            return HttpAnswer(200, body)

        def close(self) -> None: ...

    monkeypatch.setattr(_replica_copies, "HttpClient", Client)
    vm.sync.handle_peer_versions(PEER, {TARGET_KIND: StoreVersion(0, 9)})


Path = Callable[[_Vm, pytest.MonkeyPatch, list[bytes]], None]


# An entry that was nested deeply, or had a huge number or port, ended VMs or stopped following.
@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
@pytest.mark.parametrize(
    "path",
    [_by_list, _by_watch, _by_confirmation, _by_peer, _by_hints_of_peer, _by_earlier_peer],
)
def test_odd_entry_costs_no_other_entry(
    monkeypatch: pytest.MonkeyPatch, path: Path, odd: bytes
) -> None:
    async def scenario() -> None:
        vm = _Vm()
        vm.store.listed = [_entry(b"first", 3, FIELDS)]
        tasks = [asyncio.ensure_future(vm.sync.run(kind)) for kind in vm.replicas]
        tasks.append(asyncio.ensure_future(vm.sync.confirmer.run()))
        await asyncio.sleep(0.3)
        assert vm.known() == {"first"}
        others = [_entry(b"first", 3, FIELDS), _entry(b"second", 8, FIELDS)]
        path(vm, monkeypatch, [others[0], odd, others[1]])
        await asyncio.sleep(2.4)
        assert vm.known() == {"first", "second"}
        assert not any(task.done() for task in tasks)
        vm.store.is_busy = False
        vm.store.revision = 12  # the store is still followed
        vm.store.later = [_entry(b"third", 11, FIELDS)]
        vm.sync.confirmer.reader_rank = 0
        await asyncio.sleep(2.4)
        assert "third" in vm.known()
        for task in tasks:
            task.cancel()

    run_virtually(scenario())


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_vm_starts_amid_odd_entries(odd: bytes) -> None:
    async def scenario() -> None:
        vm = _Vm()
        vm.store.listed = [odd, _entry(b"first", 3, FIELDS), odd]
        task = asyncio.ensure_future(vm.sync.run(TARGET_KIND))
        await asyncio.sleep(0.3)
        assert vm.known() == {"first"} and not task.done()
        task.cancel()

    run_virtually(scenario())
