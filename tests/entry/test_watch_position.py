"""Test from where a VM watches, given what replicas and proofs have said."""

import asyncio
from collections.abc import Callable

import pytest

from chervilmill.entry._watch_position import PROOF_STEP_S, REPLICA_LAG_S, WatchPosition
from chervilmill.platform import StoredObject, StoreVersion, WatchEvent, WatchResult
from tests.virtual_time import run_virtually

HISTORY_S = 20.0  # for which the stores of the user sites keep changes


def _version(revision: int) -> StoreVersion:
    return StoreVersion(1, revision)


def _result(as_of: int, *revisions: int) -> WatchResult:
    events = tuple(WatchEvent(StoredObject("t", revision), False) for revision in revisions)
    return WatchResult(events, _version(as_of))


def _run(check: Callable[[WatchPosition], None]) -> None:
    async def scenario() -> None:
        position = WatchPosition()
        position.read(_version(10))
        check(position)

    run_virtually(scenario())


# A watch began behind changes that the replica did not have yet, and never returned them.
@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (_result(50), 10),
        (_result(50, 12, 14), 14),
        (_result(14, 12, 14), 14),
        (_result(50, 9), 50),  # a removal has the revision of the last write
        (_result(5, 9), 10),
    ],
)
def test_stale_answer_moves_the_position_past_its_events_only(
    result: WatchResult, expected: int
) -> None:
    def check(position: WatchPosition) -> None:
        position.follow(result)
        assert position.version() == _version(expected)

    _run(check)


def test_changes_that_are_left_out_are_asked_for_again() -> None:
    """An object with a name of no use is in no copy, but its changes are read."""

    def check(position: WatchPosition) -> None:
        position.follow(WatchResult((), _version(50), newest_revision=14))
        assert position.version() == _version(14)

    _run(check)


def test_position_of_a_quiet_kind_stays_within_the_history_of_the_store() -> None:
    async def scenario() -> None:
        position = WatchPosition()
        position.read(_version(10))
        for revision in range(11, 200):  # a proof each half second, of changes of other kinds
            position.note_proven(_version(revision))
            await asyncio.sleep(0.5)
            behind_s = (revision + 1 - position.version().revision) * 0.5
            assert behind_s <= REPLICA_LAG_S + PROOF_STEP_S + 1.0 < HISTORY_S
            if revision > 10 + 2 * REPLICA_LAG_S:
                assert behind_s >= REPLICA_LAG_S

    run_virtually(scenario())


def test_only_what_the_store_itself_stated_lately_may_be_ahead_of_replicas() -> None:
    async def scenario() -> None:
        position = WatchPosition()
        assert not position.is_read_ahead
        position.read(_version(10))
        assert position.is_read_ahead
        await asyncio.sleep(REPLICA_LAG_S)
        position.follow(_result(12, 12))
        position.note_proven(_version(13))
        position.read(_version(12))
        assert not position.is_read_ahead

    run_virtually(scenario())
