"""Test when an entry VM reads the store itself to confirm its copies, and what confirms them."""

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import ConnectError, ExchangeTimeoutError, HttpAnswer
from chervilmill.entry._confirmation import (
    CONFIRM_TIMEOUT_S,
    HOP_S,
    UNCONFIRMED_AFTER_S,
)
from chervilmill.entry._copy_updates import LIST_AGAIN_S
from chervilmill.entry._read_schedule import (
    CHECK_S,
    CONFIRM_INTERVAL_S,
    PRESSED_INTERVAL_S,
    STANDBY_STEP_S,
    read_age_s,
)
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.entry._store_state import AWAY_AFTER_S
from chervilmill.peers import SUSPECT_AFTER_S, CopyProof, KindReplica, ReplicaChange
from chervilmill.platform import Listing, PlatformStore, StoreVersion
from tests.virtual_time import run_virtually

CALL_S = 0.02
LISTED, OTHER = "evacuations", "servers"
PEER = Address("10.0.0.2", 7720)
MAX_AGE_S = 2.2  # up to which VMs act on their copies


class _Store:
    """A store of two kinds whose replica never learns of a change; `failure` answers all else."""

    def __init__(self) -> None:
        self.revision = 5
        self.changed: dict[str, int] = {}
        self.failure: HttpAnswer | Exception | None = None
        self.has_current_replica = False
        self.has_no_history = False
        self.answer_s = CALL_S
        self.refused_kinds: tuple[str, ...] = ()
        self.stale: list[str] = []
        self.linearizable: list[str] = []
        self.called_s: list[float] = []

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        if self.has_no_history and "serializable=1" in path:
            return HttpAnswer(410, b"{}")
        if "serializable=1" in path:
            self.stale.append(path)
            if timeout_s > 1.0:
                await asyncio.sleep(timeout_s - 1.0)
            as_of = self.revision if self.has_current_replica else 5
            return self._answer({"events": [], "as-of": as_of})
        self.linearizable.append(path)
        self.called_s.append(asyncio.get_running_loop().time())
        kind = path.split("?")[0].rpartition("/")[2]
        revision, as_of = self.changed.get(kind, 5), self.revision
        await asyncio.sleep(min(self.answer_s, timeout_s))
        if isinstance(self.failure, ExchangeTimeoutError) or self.answer_s > timeout_s:
            await asyncio.sleep(max(0.0, timeout_s - self.answer_s))
            raise ExchangeTimeoutError("no answer", step="GET", peer="store")
        if isinstance(self.failure, Exception):
            raise self.failure
        if self.failure is not None or kind in self.refused_kinds:
            return self.failure or HttpAnswer(429, b"{}")
        entry = {"metadata": {"name": "a", "revision": revision}, "specification": {}}
        if "watch=" not in path:
            return self._answer({"items": [entry], "as-of": as_of})
        if self.has_no_history:
            return HttpAnswer(410, b"{}")
        since = int(path.split("watch=")[1].split("&")[0])
        events = [{"object": entry}] if revision > since else []
        return self._answer({"events": events, "as-of": since if not events else revision})

    def change(self, kind: str) -> None:
        """Change the object of a kind."""
        self.revision += 1
        self.changed[kind] = self.revision

    async def change_other_kinds(self, seconds: int) -> None:
        """Change objects of kinds that nobody follows, once a second."""
        for _ in range(seconds):
            self.revision += 1
            await asyncio.sleep(1.0)

    def _answer(self, value: object) -> HttpAnswer:
        return HttpAnswer(200, json.dumps(value).encode())


class _Follower:
    """The copies of one VM, and the times at which they changed."""

    def __init__(self, reader_rank: int | None, *, was_late: bool = False) -> None:
        self.store = _Store()
        self.replicas = {kind: KindReplica(kind) for kind in (LISTED, OTHER)}
        self.written: list[str] = []
        self.sync = ReplicaSync(
            PlatformStore(self.store, "store"),
            self.replicas,
            self._record,
            (),
            LISTED,
            was_late_since=lambda _: was_late,
        )
        self.sync.confirmer.schedule.reader_rank = reader_rank
        self.sync.confirmer.schedule.fleet_size = 12

    def _record(self, kind: str, change: ReplicaChange, kept_until_s: float | None) -> None:
        self.written.extend(kind for _ in change.written)

    def hear(self, age_s: float | None, versions: dict[str, StoreVersion] | None = None) -> None:
        """Receive the digest of a peer, by default of one that knows as much."""
        own = self.sync.proofs()
        proofs = {
            kind: proof if versions is None else CopyProof(versions[kind], 1)
            for kind, proof in own.items()
        }
        self.sync.handle_peer_versions(PEER, versions or self.sync.versions(), age_s, proofs)

    def run(self, scenario: Coroutine[Any, Any, None]) -> None:
        """Run a scenario while the VM follows the store."""

        async def following() -> None:
            tasks = [asyncio.ensure_future(self.sync.run(kind)) for kind in self.replicas]
            tasks.append(asyncio.ensure_future(self.sync.confirmer.run()))
            await self.sync.wait_until_loaded()
            try:
                await scenario
            finally:
                for task in tasks:
                    task.cancel()

        run_virtually(following())


@pytest.mark.parametrize(
    ("rank", "vms", "hears_peers", "expected_s"),
    [
        (0, 800, True, CONFIRM_INTERVAL_S),
        (0, 1, False, CONFIRM_INTERVAL_S),
        (3, 12, True, CONFIRM_INTERVAL_S + 3 * STANDBY_STEP_S),
        (None, 12, False, CONFIRM_INTERVAL_S),
    ],
)
def test_age_at_which_a_vm_reads(
    rank: int | None, vms: int, hears_peers: bool, expected_s: float
) -> None:
    assert read_age_s(rank, vms, hears_peers=hears_peers) == expected_s


def test_vm_that_hears_peers_reads_later_in_a_larger_fleet_but_within_its_bound() -> None:
    ages_s = [read_age_s(None, vms, hears_peers=True) for vms in (1, 12, 83, 195, 800)]
    assert ages_s == sorted(ages_s)
    assert ages_s[0] > CONFIRM_INTERVAL_S + 3 * STANDBY_STEP_S
    assert ages_s[-1] < UNCONFIRMED_AFTER_S / 2


# Each VM of a fleet that started at once listed the store a second time before it heard a peer.
def test_vm_that_starts_waits_for_its_peers_before_it_reads() -> None:
    heard, unheard = _Follower(None), _Follower(None)

    async def of_heard() -> None:
        before = len(heard.store.linearizable)
        await asyncio.sleep(SUSPECT_AFTER_S - CHECK_S)
        heard.hear(0.0)
        await asyncio.sleep(CONFIRM_INTERVAL_S)
        assert len(heard.store.linearizable) == before

    async def of_unheard() -> None:
        before = len(unheard.store.linearizable)
        await asyncio.sleep(SUSPECT_AFTER_S + CHECK_S + CALL_S)
        assert len(unheard.store.linearizable) > before

    heard.run(of_heard())
    unheard.run(of_unheard())


# A VM of a large fleet waited for gossip although its copies were soon too old to be acted on.
@pytest.mark.parametrize("was_late", [False, True])
def test_vm_reads_before_its_copies_are_too_old_although_it_hears_peers(was_late: bool) -> None:
    vm = _Follower(None, was_late=was_late)
    vm.sync.confirmer.schedule.fleet_size = 800
    vm.sync.confirmer.schedule.act_age_s = 2.2

    async def scenario() -> None:
        vm.hear(0.0)
        before = len(vm.store.linearizable)
        for _ in range(6):
            vm.hear(None)
            await asyncio.sleep(0.25)
        assert len(vm.store.linearizable) == before
        for _ in range(2):
            vm.hear(None)
            await asyncio.sleep(0.25)
        assert len(vm.store.linearizable) > before

    vm.run(scenario())


# A watch that a replica answered was taken for a proof that nothing had changed.
def test_reader_learns_of_a_change_that_replicas_never_get() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.written.clear()
        vm.store.change(OTHER)
        await asyncio.sleep(CONFIRM_INTERVAL_S + 4 * CALL_S)
        assert vm.written == [OTHER]
        assert (vm.sync.confirmed_age_s() or 0.0) <= CONFIRM_INTERVAL_S + 4 * CALL_S

    vm.run(scenario())


def test_only_the_first_of_the_readers_calls_the_store() -> None:
    first, standby = _Follower(0), _Follower(1)

    async def of_first() -> None:
        await asyncio.sleep(10.0)
        assert len(first.store.linearizable) <= 2 + 10.0 / CONFIRM_INTERVAL_S

    async def of_standby() -> None:
        before = len(standby.store.linearizable)
        for _ in range(20):
            standby.hear(0.0)
            await asyncio.sleep(CONFIRM_INTERVAL_S)
        assert len(standby.store.linearizable) == before
        await asyncio.sleep(10.0)
        assert len(standby.store.linearizable) - before >= 8

    first.run(of_first())
    standby.run(of_standby())


def test_unchanged_store_costs_one_linearizable_read() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        before = len(vm.store.linearizable)
        await asyncio.sleep(5 * CONFIRM_INTERVAL_S)
        assert {path.rpartition("/")[2] for path in vm.store.linearizable[before:]} == {LISTED}

    vm.run(scenario())


# A read took two round trips, one at a time, and an answer that was late was thrown away, so that
# copies grew older than the bounds of the operators while the store was sound.
@pytest.mark.parametrize("answer_s", [0.5, 0.7, 1.0, 1.8])
def test_copies_of_a_store_that_answers_slowly_grow_old(answer_s: float) -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.answer_s = answer_s
        await asyncio.sleep(4.0)
        vm.written.clear()
        vm.store.change(OTHER)
        changed_s = asyncio.get_running_loop().time()
        while not vm.written:
            assert (vm.sync.confirmed_age_s() or 9.0) <= answer_s + PRESSED_INTERVAL_S + CHECK_S
            await asyncio.sleep(0.01)
        took_s = asyncio.get_running_loop().time() - changed_s
        assert took_s <= answer_s + PRESSED_INTERVAL_S + CHECK_S
        assert not vm.sync.is_store_unreachable

    vm.run(scenario())


# One refused call kept the answers to all others from confirming their copies.
def test_refused_read_of_one_kind_confirms_no_other() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.refused_kinds = (LISTED,)
        await asyncio.sleep(8.0)
        ages_s = vm.sync.copy_ages_s()
        assert ages_s[OTHER] < 1.0 < ages_s[LISTED]
        now_s = asyncio.get_running_loop().time()
        assert not vm.sync.is_store_away(now_s)

    vm.run(scenario())


# Reads that overlap would cost a silent store a call every third of a second from each VM.
def test_silent_store_is_asked_about_once_a_second() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.failure = ExchangeTimeoutError("no answer", step="GET", peer="store")
        await asyncio.sleep(5.0)
        before = len(vm.store.linearizable)
        assert vm.sync.is_store_away(asyncio.get_running_loop().time())
        await asyncio.sleep(20.0)
        assert len(vm.store.linearizable) - before <= 22
        vm.store.failure = None
        await asyncio.sleep(CONFIRM_TIMEOUT_S)
        assert (vm.sync.confirmed_age_s() or 9.0) <= CONFIRM_TIMEOUT_S

    vm.run(scenario())


# A replica that stated the store's revision was taken to have all changes up to it.
@pytest.mark.parametrize("has_current_replica", [False, True])
def test_revision_that_a_replica_states_spares_no_linearizable_read(
    has_current_replica: bool,
) -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.has_current_replica = has_current_replica
        stale, before = len(vm.store.stale), len(vm.store.linearizable)
        await vm.store.change_other_kinds(15)
        lists = [path for path in vm.store.linearizable[before:] if path.endswith(OTHER)]
        assert 10 <= len(lists) <= 15.0 / CONFIRM_INTERVAL_S + 1
        assert len(vm.store.stale) - stale <= 2  # one for each kind
        assert max(vm.sync.copy_ages_s().values()) <= CONFIRM_INTERVAL_S + 4 * CALL_S

    vm.run(scenario())


# A store that refused most reads counted as away after few of them, as chance would have it.
def test_refused_reader_reads_often_until_the_store_counts_as_away() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        served_s = asyncio.get_running_loop().time()
        vm.store.failure = HttpAnswer(503, b"{}")
        await asyncio.sleep(CONFIRM_INTERVAL_S)
        before = len(vm.store.linearizable)
        while not vm.sync.is_store_away(asyncio.get_running_loop().time()):
            await asyncio.sleep(0.01)
        away_s = asyncio.get_running_loop().time()
        assert away_s - served_s >= AWAY_AFTER_S
        assert len(vm.store.linearizable) - before >= 4
        before = len(vm.store.linearizable)
        await asyncio.sleep(20.0)
        # The watches are tried again as well, each once a second.
        assert len(vm.store.linearizable) - before <= 20.0 / PRESSED_INTERVAL_S + 2 * 20.0

    vm.run(scenario())


@pytest.mark.parametrize("knows_as_much", [True, False])
def test_peer_confirms_copies_that_lack_nothing_it_knows(knows_as_much: bool) -> None:
    vm = _Follower(None)

    async def scenario() -> None:
        while (own_age_s := vm.sync.copy_ages_s()[OTHER]) <= 0.3 + HOP_S:
            await asyncio.sleep(0.05)
        later = {LISTED: StoreVersion(0, 5), OTHER: StoreVersion(0, 9)}
        vm.hear(0.3, None if knows_as_much else later)
        age_s = vm.sync.copy_ages_s()[OTHER]
        assert age_s == pytest.approx(0.3 + HOP_S if knows_as_much else own_age_s)

    vm.run(scenario())


def test_age_does_not_shrink_when_vms_pass_it_on() -> None:
    vm = _Follower(None)

    async def scenario() -> None:
        for _ in range(20):
            before_s = vm.sync.confirmed_age_s()
            vm.hear(before_s)
            assert vm.sync.confirmed_age_s() == before_s
            await asyncio.sleep(0.05)

    vm.run(scenario())


def test_vm_whose_peers_state_no_age_reads_for_itself() -> None:
    """Entry VMs of earlier versions state none."""
    vm = _Follower(None)

    async def scenario() -> None:
        before = len(vm.store.linearizable)
        for _ in range(20):
            vm.hear(None)
            await asyncio.sleep(0.5)
        assert len(vm.store.linearizable) > before
        assert max(vm.sync.copy_ages_s().values()) < UNCONFIRMED_AFTER_S / 2

    vm.run(scenario())


# An answer of a replica ended an outage, although the store still did not answer.
def test_replica_does_not_end_an_outage() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.failure = ConnectError("refused", step="connect", peer="store")
        await asyncio.sleep(60.0)  # replicas answer watches in this time
        assert vm.sync.is_store_unreachable and not vm.sync.is_settled
        vm.store.failure = None
        await asyncio.sleep(1.0 + 2 * CALL_S)
        assert not vm.sync.is_store_unreachable

    vm.run(scenario())


def test_refusal_for_too_many_calls_is_no_outage() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.failure = HttpAnswer(429, b"{}")
        await asyncio.sleep(3.0)
        assert not vm.sync.is_store_unreachable
        assert (vm.sync.confirmed_age_s() or 0.0) > 2.0

    vm.run(scenario())


def test_call_on_a_silent_connection_is_repeated_at_once() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.failure = ExchangeTimeoutError("no answer", step="GET", peer="store")
        await asyncio.sleep(1.0)
        vm.store.failure = None
        await asyncio.sleep(CONFIRM_TIMEOUT_S)
        assert (vm.sync.confirmed_age_s() or 9.0) <= CONFIRM_INTERVAL_S + 4 * CALL_S
        assert not vm.sync.is_store_unreachable

    vm.run(scenario())


def test_store_without_history_is_not_read_without_a_pause() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.has_no_history = True
        before = len(vm.store.linearizable)
        await vm.store.change_other_kinds(10)
        # Each time a list of each kind; those that follow both kinds add a few while they back off.
        assert len(vm.store.linearizable) - before <= 2 * 10.0 / CONFIRM_INTERVAL_S + 12

    vm.run(scenario())


# A list that was behind what the VM had proven before its call confirmed the copies.
def test_list_that_is_behind_confirms_no_copy() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.revision -= 1
        confirmed_s = vm.sync.confirmer.confirmed_s()
        await asyncio.sleep(3 * CONFIRM_INTERVAL_S)
        assert vm.sync.confirmer.confirmed_s() == confirmed_s
        assert vm.sync.versions() == {LISTED: StoreVersion(0, 5), OTHER: StoreVersion(0, 5)}

    vm.run(scenario())


# The list after history was gone confirmed a copy although it was behind what was proven.
def test_list_that_is_behind_confirms_no_copy_after_history_is_gone() -> None:
    vm = _Follower(None)

    async def scenario() -> None:
        vm.store.revision -= 1
        before_s = vm.sync.copy_ages_s()[OTHER]
        vm.sync._list_again(OTHER)
        await asyncio.sleep(3 * CALL_S)
        assert vm.sync.copy_ages_s()[OTHER] >= before_s + 3 * CALL_S
        vm.store.revision += 1
        await asyncio.sleep(3.0)
        assert vm.sync.copy_ages_s()[OTHER] < 3.0

    vm.run(scenario())


# The revision that a list states also counts where the objects of other kinds have not changed.
def test_unchanged_kinds_are_listed_once_for_each_revision_of_the_store() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        vm.store.change(LISTED)
        before = len(vm.store.linearizable)
        await asyncio.sleep(6 * CONFIRM_INTERVAL_S)
        kinds = [path.rpartition("/")[2] for path in vm.store.linearizable[before:]]
        assert kinds.count(OTHER) == 1
        assert kinds.count(LISTED) >= 5

    vm.run(scenario())


def _make_wrong(vm: _Follower) -> CopyProof:
    """Have the copy of the other kind lack its object; return the proof of a right one."""
    right = vm.sync.proofs()[OTHER]
    wrong = KindReplica(OTHER)
    wrong.apply_listing(Listing({}, right.version))
    vm.replicas[OTHER].proven = {}
    vm.replicas[OTHER]._fingerprint = 0
    assert vm.sync.proofs()[OTHER] == wrong.proof()
    return right


# A copy that was wrong at its version confirmed peers with a right one, and was never read again.
@pytest.mark.parametrize("rank", [0, None])
def test_copies_that_contradict_each_other_at_one_version_confirm_each_other(
    rank: int | None,
) -> None:
    vm = _Follower(rank)

    async def scenario() -> None:
        right = _make_wrong(vm)
        confirmed_s = vm.sync.confirmer.confirmed_s()
        vm.sync.handle_peer_versions(PEER, vm.sync.versions(), 0.0, {OTHER: right})
        assert vm.sync.confirmer.confirmed_s() == confirmed_s
        await asyncio.sleep(3 * CALL_S)
        assert vm.sync.proofs()[OTHER] == right

    vm.run(scenario())


def test_wrong_peer_costs_few_lists() -> None:
    vm = _Follower(0)

    async def scenario() -> None:
        wrong = CopyProof(vm.sync.proofs()[OTHER].version, 1)
        before = len(vm.store.linearizable)
        for _ in range(10):
            vm.sync.handle_peer_versions(PEER, vm.sync.versions(), 0.0, {OTHER: wrong})
            await asyncio.sleep(1.0)
        lists = [path for path in vm.store.linearizable[before:] if path.endswith(OTHER)]
        assert len(lists) <= 1 + 10.0 / LIST_AGAIN_S
        assert (vm.sync.confirmed_age_s() or 9.0) <= CONFIRM_INTERVAL_S + 4 * CALL_S

    vm.run(scenario())


class _LongStore:
    """A store that answers one call after the other, and has many pages of one kind."""

    def __init__(self, long_kind: str, pages: int, page_s: float) -> None:
        self.revision = 5
        self._long_kind = long_kind
        self._pages = pages
        self._page_s = page_s
        self._turn = asyncio.Lock()
        self.open_lists = 0
        self.most_open_lists = 0

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        if "watch=" in path:
            await asyncio.sleep(timeout_s - 1.0)
            return self._answer({"events": [], "as-of": 5})
        kind = path.split("?")[0].rpartition("/")[2]
        page = int(path.partition("after=")[2] or 0)
        is_long = kind == self._long_kind
        if is_long and not page:
            self.open_lists += 1
            self.most_open_lists = max(self.most_open_lists, self.open_lists)
        async with self._turn:
            await asyncio.sleep(self._page_s)
        has_more = is_long and page + 1 < self._pages
        if is_long and not has_more:
            self.open_lists -= 1
        item = {"metadata": {"name": f"{page + 1:03d}", "revision": 3}, "specification": {}}
        return self._answer({"items": [item], "more": has_more, "as-of": self.revision})

    def _answer(self, value: object) -> HttpAnswer:
        return HttpAnswer(200, json.dumps(value).encode())


# Each read listed all pages beside those of the reads before, and the copies stayed old for good.
@pytest.mark.parametrize("long_kind", [LISTED, OTHER])
def test_long_lists_are_begun_anew_until_none_ends_in_time(long_kind: str) -> None:
    pages, page_s, changes = 16, 0.05, 10

    async def scenario() -> None:
        vm = _Follower(reader_rank=0)
        vm.store = store = _LongStore(long_kind, pages, page_s)  # type: ignore[assignment]
        vm.sync = ReplicaSync(
            PlatformStore(store, "store"), vm.replicas, lambda *_: None, (), LISTED
        )
        vm.sync.confirmer.schedule.reader_rank = 0
        tasks = [asyncio.ensure_future(vm.sync.run(kind)) for kind in vm.replicas]
        tasks.append(asyncio.ensure_future(vm.sync.confirmer.run()))
        await asyncio.sleep(3.0)
        for _ in range(changes):
            store.revision += 1
            await asyncio.sleep(2.0)
        assert store.most_open_lists <= 1
        age_s = vm.sync.confirmed_age_s()
        assert age_s is not None and age_s <= MAX_AGE_S
        for task in tasks:
            task.cancel()

    run_virtually(scenario())
