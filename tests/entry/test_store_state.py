"""Test what failed calls show of the store."""

import pytest

from chervilmill.aio import (
    ConnectError,
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    HttpAnswer,
)
from chervilmill.entry._store_state import (
    AWAY_AFTER_S,
    REFUSAL_VALID_S,
    REGISTER_AGAIN_S,
    SILENT_AFTER_S,
    TIMED_OUT_S,
    StoreState,
)
from chervilmill.errors import ChervilmillError
from chervilmill.platform import PlatformStore, StoreError
from tests.support import run_async

NOW_S = 100.0
TIMED_OUT = ExchangeTimeoutError("no answer", step="GET", peer="store")
NOT_CONNECTED = ConnectTimeoutError("TimeoutError", step="connect", peer="store")
BROKEN = ExchangeError("the connection was reset", step="GET", peer="store")
REFUSED = ConnectError("refused", step="connect", peer="store")
UNAVAILABLE = HttpAnswer(503, b"{}")
BUSY = HttpAnswer(429, b"{}")


def _failure(result: ChervilmillError | HttpAnswer) -> StoreError:
    """Return how a call to the store fails by an answer, or by an error of its connection."""

    async def exchange(method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        if isinstance(result, HttpAnswer):
            return result
        raise result

    async def scenario() -> None:
        with pytest.raises(StoreError) as caught:
            await PlatformStore(exchange, "store").list_all("config", 1.0)
        failures.append(caught.value)

    failures: list[StoreError] = []
    run_async(scenario)
    return failures[0]


# The answer may have waited in the socket of a VM that was late itself.
@pytest.mark.parametrize("result", [TIMED_OUT, NOT_CONNECTED], ids=["answer", "connection"])
@pytest.mark.parametrize(
    ("late_s", "is_lost"),
    [(NOW_S - 0.1, False), (NOW_S - TIMED_OUT_S - 0.1, True), (float("-inf"), True)],
)
def test_call_that_timed_out_on_a_late_vm_is_taken_for_an_outage(
    result: ChervilmillError, late_s: float, is_lost: bool
) -> None:
    state = StoreState(was_late_since=lambda at_s: late_s >= at_s)
    state.record_failure("config", _failure(result), NOW_S)
    assert state.is_unreachable is is_lost


@pytest.mark.parametrize("result", [REFUSED, UNAVAILABLE], ids=["refused", "status"])
def test_refusal_shows_an_outage_also_to_a_late_vm(result: ChervilmillError | HttpAnswer) -> None:
    state = StoreState(was_late_since=lambda _: True)
    state.record_failure("config", _failure(result), NOW_S)
    assert state.is_unreachable


# A late VM whose connection to the store was cut went on with what it knew, as in an outage, and a
# VM on time did so while others were served.
@pytest.mark.parametrize("has_peer_news", [False, True])
@pytest.mark.parametrize(
    ("result", "was_late", "is_away"),
    [
        (BROKEN, True, False),
        (BROKEN, False, True),
        (TIMED_OUT, True, False),
        (TIMED_OUT, False, True),
        (REFUSED, True, True),
        (UNAVAILABLE, True, True),
        (BUSY, True, True),
        (BUSY, False, True),
    ],
)
def test_failed_call_is_taken_for_a_store_that_is_away(
    result: ChervilmillError | HttpAnswer, was_late: bool, is_away: bool, has_peer_news: bool
) -> None:
    state = StoreState(was_late_since=lambda _: was_late)
    state.record_answer(NOW_S - AWAY_AFTER_S, 0.1)
    state.record_call(NOW_S - SILENT_AFTER_S)
    state.record_failure("config", _failure(result), NOW_S)
    assert not state.is_away(NOW_S)  # it has answered lately
    at_s = NOW_S + 0.1
    if has_peer_news:
        state.record_peer_confirmation(NOW_S - 1.0, NOW_S)
    assert state.is_away(at_s) is (is_away and not has_peer_news)
    state.record_answer(at_s, 0.1)
    assert not state.is_away(at_s)


# A VM that had once been refused, and was late since, went on with what it knew for ever.
@pytest.mark.parametrize(("was_late", "is_away"), [(True, False), (False, True)])
def test_old_refusal_shows_nothing_to_a_vm_that_was_late_since(
    was_late: bool, is_away: bool
) -> None:
    state = StoreState(was_late_since=lambda _: was_late)
    state.record_call(NOW_S)
    state.record_failure("config", _failure(REFUSED), NOW_S)
    assert state.is_away(NOW_S + REFUSAL_VALID_S)
    assert state.is_away(NOW_S + REFUSAL_VALID_S + 0.1) is is_away


def test_store_that_was_not_asked_is_not_away() -> None:
    state = StoreState()
    state.record_answer(NOW_S, 0.1)
    assert not state.is_away(NOW_S + 60.0)
    state.record_call(NOW_S + 60.0)
    assert not state.is_away(NOW_S + 59.9 + SILENT_AFTER_S)
    assert state.is_away(NOW_S + 60.1 + SILENT_AFTER_S)


def test_store_that_answers_slowly_is_not_away() -> None:
    state = StoreState()
    for second in range(5):
        state.record_call(NOW_S + second)
        state.record_answer(NOW_S + second + 2.4, 2.4)
        assert not state.is_away(NOW_S + second + 2.4 + AWAY_AFTER_S)


def test_confirmation_that_peers_pass_on_again_is_no_news_of_the_store() -> None:
    state = StoreState()
    state.record_peer_confirmation(NOW_S, NOW_S)
    state.record_call(NOW_S + 1.0)
    for step in range(1, 4):
        state.record_peer_confirmation(NOW_S + 0.05 * step, NOW_S + step)
    assert state.is_away(NOW_S + 3.0)


# One call that broke made a VM keep a target that was removed for two seconds, past drain-s.
@pytest.mark.parametrize("result", [BROKEN, UNAVAILABLE, TIMED_OUT])
def test_failed_call_to_a_store_that_serves_lets_no_target_register_again(
    result: ChervilmillError | HttpAnswer,
) -> None:
    state = StoreState()
    state.record_answer(NOW_S, 0.1)
    state.record_failure("servers", _failure(result), NOW_S + 0.1)
    assert state.register_again_until_s(NOW_S + 0.2) is None
    state.record_answer(NOW_S + 0.3, 0.1)
    assert state.register_again_until_s(NOW_S + 0.4) is None


@pytest.mark.parametrize("is_heard_from_peer", [False, True])
def test_targets_may_register_again_after_an_outage(is_heard_from_peer: bool) -> None:
    state = StoreState()
    state.record_answer(NOW_S, 0.1)
    state.record_failure("servers", _failure(UNAVAILABLE), NOW_S + 0.1)
    assert state.register_again_until_s(NOW_S + 5.0) == NOW_S + 5.0 + REGISTER_AGAIN_S
    if is_heard_from_peer:
        state.record_peer_confirmation(NOW_S + 5.9, NOW_S + 6.0)
    state.record_answer(NOW_S + 6.1, 0.1)
    back_s = NOW_S + (6.0 if is_heard_from_peer else 6.1)
    assert state.register_again_until_s(NOW_S + 6.2) == back_s + REGISTER_AGAIN_S
    assert state.register_again_until_s(back_s + REGISTER_AGAIN_S) is None
