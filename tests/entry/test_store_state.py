"""Test what failed calls show of the store."""

import pytest

from chervilmill.aio import (
    ConnectError,
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    HttpAnswer,
)
from chervilmill.entry._store_state import TIMED_OUT_S, StoreState
from chervilmill.errors import ChervilmillError
from chervilmill.platform import PlatformStore, StoreError
from tests.support import run_async

NOW_S = 100.0
TIMED_OUT = ExchangeTimeoutError("no answer", step="GET", peer="store")
NOT_CONNECTED = ConnectTimeoutError("TimeoutError", step="connect", peer="store")
BROKEN = ExchangeError("the connection was reset", step="GET", peer="store")
REFUSED = ConnectError("refused", step="connect", peer="store")
UNAVAILABLE = HttpAnswer(503, b"{}")


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


# A late VM whose connection to the store was cut went on with what it knew, as in an outage.
@pytest.mark.parametrize(
    ("result", "was_late", "is_away"),
    [
        (BROKEN, True, False),
        (BROKEN, False, False),
        (TIMED_OUT, True, False),
        (TIMED_OUT, False, True),
        (REFUSED, True, True),
        (UNAVAILABLE, True, True),
    ],
)
def test_connection_that_broke_is_taken_for_a_store_that_is_away(
    result: ChervilmillError | HttpAnswer, was_late: bool, is_away: bool
) -> None:
    state = StoreState(was_late_since=lambda _: was_late)
    state.record_failure("config", _failure(result), NOW_S)
    assert state.is_away is is_away
    state.record_answer(NOW_S + 1.0)
    assert not state.is_away
