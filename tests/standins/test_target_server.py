"""Test the faults that other tests inject with the target stand-in."""

import socket
import threading
from collections.abc import Iterator

import pytest
import urllib3

from chervilmill.standins.store import retry_until
from chervilmill.standins.target_server import AnswerFault, TargetState, target_server
from tests.support import free_address

TIMEOUT_S = 10


class Target:
    """A running target stand-in and an HTTP client for it."""

    def __init__(self) -> None:
        self.state = TargetState("target-1", late_s=0.2, crash_away_s=0.1)
        self.server = target_server(free_address(), self.state)
        self.server.start()
        address = self.server.address
        self.pool = urllib3.HTTPConnectionPool(address.host, address.port, timeout=TIMEOUT_S)

    def get(self, path: str, request_id: str = "r-1") -> urllib3.BaseHTTPResponse:
        headers = {"X-Request-Id": request_id}
        return self.pool.request("GET", path, headers=headers, retries=False)

    def start_request_that_breaks(self, failures: list[Exception]) -> threading.Thread:
        def run() -> None:
            try:
                self.get("/slow", "r-0")
            except urllib3.exceptions.HTTPError as exc:
                failures.append(exc)

        thread = threading.Thread(target=run)
        thread.start()
        assert retry_until(lambda: self.state.in_flight == 1, TIMEOUT_S)
        return thread


@pytest.fixture
def target() -> Iterator[Target]:
    running = Target()
    yield running
    running.pool.close()
    running.server.stop()


def test_full_target_sheds_with_proof(target: Target) -> None:
    target.state.behave({"slots": 1, "queue_limit": 0, "work_s": 5})
    failures: list[Exception] = []
    busy = target.start_request_that_breaks(failures)
    resp = target.get("/fast")
    assert (resp.status, resp.headers["X-Ran"]) == (503, "not_run")
    assert target.get("/-/load").json()["in_flight"] == 1
    cancelled = target.pool.request("POST", "/-/cancel/r-0").json()
    busy.join()
    assert cancelled == {"ran": "unknown"}
    assert (len(failures), target.state.stats()["cancelled"]) == (1, 1)


def test_cancelled_before_arrival_is_not_run(target: Target) -> None:
    assert target.pool.request("POST", "/-/cancel/r-9").json() == {"ran": "not_run"}
    assert target.get("/digest", "r-9").headers["X-Ran"] == "not_run"


def test_caller_that_leaves_frees_the_slot(target: Target) -> None:
    target.state.behave({"work_s": 60})
    with pytest.raises(urllib3.exceptions.HTTPError):
        target.pool.request("GET", "/slow", retries=False, timeout=0.1)
    assert retry_until(lambda: target.state.in_flight == 0, TIMEOUT_S)
    assert target.state.cancelled == 1


@pytest.mark.parametrize("fault", [AnswerFault.SHORT, AnswerFault.LOST])
def test_broken_answers_never_end_cleanly(target: Target, fault: AnswerFault) -> None:
    target.state.faults.append(fault)
    with pytest.raises(urllib3.exceptions.HTTPError):
        target.get("/digest")
    assert target.get("/digest").status == 200


@pytest.mark.parametrize("fault", [AnswerFault.LATE, AnswerFault.STALLED, AnswerFault.DOUBLED])
def test_slow_and_doubled_answers_are_whole(target: Target, fault: AnswerFault) -> None:
    whole = target.get("/digest").data
    target.state.faults.append(fault)
    assert target.get("/digest").data == whole


def test_crossed_answer_carries_the_id_of_another_request(target: Target) -> None:
    target.get("/digest", "r-1")
    target.state.faults.append(AnswerFault.CROSSED)
    assert target.get("/digest", "r-2").headers["X-Request-Id"] == "r-1"


def test_crash_cuts_every_request_and_comes_back_cold(target: Target) -> None:
    target.state.behave({"work_s": 60, "cold_start_s": 600})
    failures: list[Exception] = []

    thread = target.start_request_that_breaks(failures)
    with pytest.raises(urllib3.exceptions.HTTPError):
        target.get("/crash/1")
    thread.join()
    assert len(failures) == 1
    assert retry_until(lambda: not target.state.is_crashed and _is_up(target), TIMEOUT_S)
    assert target.get("/-/health").json() == {"state": "cold"}
    assert target.state.stats()["crashes"] == 1


def test_request_that_began_as_harmless_does_not_crash_the_target(target: Target) -> None:
    """Guard against a crash, counted after the answer, that no entry VM could have prevented."""
    target.state.behave({"crash_path": "", "part_delay_s": 0.2})
    headers = {"X-Request-Id": "r-1"}
    resp = target.pool.request("GET", "/crash/1", headers=headers, preload_content=False)
    target.state.behave({"crash_path": "/crash"})
    assert len(resp.read().splitlines()) == target.state.parts
    assert target.state.stats()["crashes"] == 0


def _is_up(target: Target) -> bool:
    try:
        return target.get("/-/health").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def test_health_misleads(target: Target) -> None:
    target.state.behave({"is_failing": True, "health": "live"})
    assert target.get("/-/health").json() == {"state": "live"}
    assert target.get("/digest").status == 500


def test_leaving_target_sheds_and_says_so(target: Target) -> None:
    target.state.behave({"is_leaving": True})
    resp = target.get("/digest")
    assert (resp.status, resp.headers["X-Target-State"]) == (503, "leaving")
    assert target.get("/-/health").json() == {"state": "leaving"}


def test_unknown_behaviour_is_refused(target: Target) -> None:
    with pytest.raises(ValueError, match="colour"):
        target.state.behave({"colour": "green"})


def test_crash_refuses_connections_before_any_connection_ends(target: Target) -> None:
    """A real crash does both at once, and callers recognise a crash by the refused connection."""
    target.server.crash()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((target.pool.host, target.pool.port), timeout=TIMEOUT_S)
