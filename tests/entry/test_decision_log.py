"""Test that a log line tells for each request which configuration decided it."""

import asyncio

from chervilmill._log_budget import LINES_PER_S, Budget
from chervilmill.entry._decision_basis import CopyTrust, DecisionBasis
from chervilmill.entry._decision_log import FLUSH_S, MAX_ID_CHARS, MAX_IDS_PER_LINE, DecisionLog
from chervilmill.platform import StoreVersion
from tests.entry.logged import Line, logged_lines, of_event
from tests.virtual_time import run_virtually

REQUESTS = 4000  # of one second, far more than the budget for lines of single requests


def _basis(version: int, revision: int = 38, proven_by: str = "list") -> DecisionBasis:
    return DecisionBasis(
        version, StoreVersion(), 0.5, CopyTrust.CONFIRMED, StoreVersion(2, revision), proven_by
    )


def _ids(lines: list[Line]) -> list[str]:
    return [request_id for line in lines for request_id in line["requests"]]


def test_requests_of_a_busy_second_are_all_logged_within_a_budget_of_their_own() -> None:
    async def scenario() -> None:
        log = DecisionLog()
        for number in range(REQUESTS):
            log.record(f"r{number}", _basis(7 + number % 2))
        await asyncio.sleep(FLUSH_S)

    with logged_lines() as lines:
        run_virtually(scenario())
    assert sorted(_ids(lines)) == sorted(f"r{number}" for number in range(REQUESTS))
    assert len(lines) == REQUESTS / MAX_IDS_PER_LINE < LINES_PER_S[Budget.DECISIONS]
    assert {line["budget"] for line in lines} == {Budget.DECISIONS}


def test_line_states_the_configuration_and_the_answer_that_proved_it() -> None:
    async def scenario() -> None:
        log = DecisionLog()
        log.record("a", _basis(7))
        log.record("b", _basis(7, 40, "peer of vm-2"))
        log.record("c", _basis(7))
        log.flush()

    with logged_lines() as lines:
        run_virtually(scenario())
    decided = [
        (line["config_version"], line["config_as_of"], line["config_proven_by"], line["requests"])
        for line in of_event(lines, "requests decided")
    ]
    assert decided == [(7, [2, 38], "list", ["a", "c"]), (7, [2, 40], "peer of vm-2", ["b"])]


def test_ids_that_callers_choose_are_bounded() -> None:
    async def scenario() -> None:
        log = DecisionLog()
        log.record("x" * 10_000, _basis(7))
        log.flush()

    with logged_lines() as lines:
        run_virtually(scenario())
    assert _ids(lines) == ["x" * MAX_ID_CHARS]
