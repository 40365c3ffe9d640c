"""Test that orders are relayed to their owner, and run without it if it is unreachable."""

from chervilmill.coordination import VmRole
from chervilmill.requests import owner_of
from chervilmill.standins.store import retry_until
from chervilmill.targets import AnswerLostError, TargetUnreachableError
from tests.callers.harness import TIMEOUT_S, Entry, running


def order_keys(entries: list[Entry], count: int) -> list[str]:
    """Return distinct order keys; with 8 or more, every entry VM is expected to own some."""
    return [f"key-{number}" for number in range(count)]


def written_shards(entry: Entry) -> int:
    """Return how many shards an entry VM has written itself."""
    return sum(queue.cached is not None for queue in entry.ledger._queues)


def test_orders_through_one_entry_vm_are_recorded_by_all_owners() -> None:
    with running(targets=2, entries=3) as (entries, states):
        for key in order_keys(entries, 24):
            assert entries[0].order(key).status == 200
        assert all(written_shards(entry) for entry in entries)
        assert sum(state.orders_run.total() for state in states) == 24


def test_owner_that_cannot_be_reached_is_done_without() -> None:
    with running(entries=2) as (entries, [state]):
        entries[1].server.abort()
        for key in order_keys(entries, 16):
            assert entries[0].order(key).status == 200
        assert max(state.orders_run.values()) == 1


def test_owner_that_leaves_is_done_without() -> None:
    with running(entries=2) as (entries, [state]):
        entries[1].app.refuses_new_requests = True
        for key in order_keys(entries, 16):
            assert entries[0].order(key).status == 200
        assert set(state.orders_run.values()) == {1}


def test_refusal_of_an_owner_is_passed_on() -> None:
    with running(entries=2) as (entries, [state]):
        entries[0].ledger._store.is_down = True
        answers = [entries[0].order(key) for key in order_keys(entries, 8)]
        assert {resp.json()["reason"] for resp in answers} == {"order_records_unavailable"}
        assert not state.requests


def test_order_whose_owner_gave_no_answer_is_not_run_here_too(monkeypatch) -> None:
    with running(entries=2) as (entries, [state]):
        send = entries[0].client.send

        def lose(peer, req, timeout_s):
            if peer.role is VmRole.ENTRY:
                raise AnswerLostError("reset", step="read headers", peer=peer.name)
            return send(peer, req, timeout_s)

        monkeypatch.setattr(entries[0].client, "send", lose)
        answers = {key: entries[0].order(key) for key in order_keys(entries, 16)}
        lost = {key: resp for key, resp in answers.items() if resp.status != 200}
        assert lost
        assert {resp.json()["ran"] for resp in lost.values()} == {"unknown"}
        assert not set(lost) & set(state.orders_run)


def test_an_order_runs_once_while_entry_vms_differ_on_its_owner(monkeypatch) -> None:
    with running(entries=2) as (entries, [state]):

        def unreachable(*_args) -> None:
            raise TargetUnreachableError("refused", step="connect", peer="entry")

        keys = order_keys(entries, 16)
        for key in keys:
            assert entries[0].order(key).status == 200
        assert retry_until(lambda: not any(e.ledger.pending_records for e in entries), TIMEOUT_S)
        for entry in entries:
            monkeypatch.setattr(entry.services["souhrny"].slots, "take", unreachable)
            entry.directory._entries = entry.directory._entries[:0]
        for key in keys:
            assert [entry.order(key).status for entry in entries] == [200, 200]
        assert set(state.orders_run.values()) == {1}


def test_a_shard_moves_only_when_its_owner_goes() -> None:
    names = [f"entry-{number}" for number in range(4)]
    owners = {shard: owner_of(shard, names) for shard in range(64)}
    assert set(owners.values()) == set(names)
    for shard, owner in owners.items():
        if owner != names[0]:
            assert owner_of(shard, names[1:]) == owner
    assert owner_of(1, []) is None
