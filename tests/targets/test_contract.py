"""Test HttpTargets against a target stand-in that injects faults."""

import contextlib
import io
from collections.abc import Iterator

import pytest

from chervilmill.coordination import Vm
from chervilmill.standins.store import retry_until
from chervilmill.standins.target_server import AnswerFault, TargetState, target_server
from chervilmill.targets import (
    AnswerCrossedError,
    AnswerLostError,
    AnswerShortError,
    HttpTargets,
    TargetError,
    TargetRequest,
    TargetUnreachableError,
)
from tests.support import free_address, target_vm

TIMEOUT_S = 10
CONNECTIONS = 4


class TargetHarness:
    """A target stand-in and the client that sends requests to it."""

    def __init__(self) -> None:
        self.state = TargetState("target-1", late_s=0.3)
        self.server = target_server(free_address(), self.state)
        self.server.start()
        self.vm: Vm = target_vm("target-1", self.server.address)
        self.targets = HttpTargets(CONNECTIONS)

    def get(self, request_id: str, timeout_s: float = TIMEOUT_S) -> bytes:
        req = TargetRequest(request_id, "GET", f"/digest/{request_id}", (), None, 0)
        answer = self.targets.send(self.vm, req, timeout_s)
        try:
            return b"".join(answer.chunks())
        finally:
            answer.close()


@pytest.fixture
def harness() -> Iterator[TargetHarness]:
    running = TargetHarness()
    yield running
    running.server.stop()


def expected(request_id: str) -> bytes:
    lines = [f"/digest/{request_id} part {index} of 3 from target-1\n" for index in (1, 2, 3)]
    return "".join(lines).encode()


@pytest.mark.parametrize(
    ("fault", "timeout_s", "error"),
    [
        (AnswerFault.CROSSED, TIMEOUT_S, AnswerCrossedError),
        (AnswerFault.SHORT, TIMEOUT_S, AnswerShortError),
        (AnswerFault.LOST, TIMEOUT_S, AnswerLostError),
        (AnswerFault.LATE, 0.1, TargetError),
        (AnswerFault.STALLED, 0.1, TargetError),
    ],
)
def test_faulty_answer_is_an_error_and_the_next_one_is_right(
    harness: TargetHarness, fault: AnswerFault, timeout_s: float, error: type[TargetError]
) -> None:
    harness.get("r-1")
    harness.state.faults.append(fault)
    with pytest.raises(error):
        harness.get("r-2", timeout_s)
    assert harness.get("r-3") == expected("r-3")
    assert retry_until(lambda: harness.state.in_flight == 0, TIMEOUT_S)


def test_doubled_answer_never_reaches_another_request(harness: TargetHarness) -> None:
    """The extra bytes may arrive before or after the connection is reused."""
    for number in range(6):
        harness.state.faults.append(AnswerFault.DOUBLED)
        try:
            seen = harness.get(f"r-{number}")
        except AnswerCrossedError:
            continue
        assert seen == expected(f"r-{number}")
    harness.state.faults.clear()
    with contextlib.suppress(AnswerCrossedError):
        harness.get("r-6")
    assert harness.get("r-7") == expected("r-7")


def test_shed_answer_states_that_the_request_was_not_run(harness: TargetHarness) -> None:
    harness.state.behave({"shed_next": 1})
    req = TargetRequest("r-1", "GET", "/digest", (), None, 0)
    answer = harness.targets.send(harness.vm, req, TIMEOUT_S)
    headers = {name.lower(): value for name, value in answer.headers}
    assert (answer.status, headers["x-ran"]) == (503, "not_run")
    answer.close()


def test_request_with_an_incomplete_body_is_not_run(harness: TargetHarness) -> None:
    class BrokenBody(io.BytesIO):
        def read(self, size: int | None = -1) -> bytes:
            part = super().read(1000)
            if not part:
                raise OSError("caller is gone")
            return part

    req = TargetRequest("r-1", "PUT", "/scans/1", (), BrokenBody(b"x" * 3000), 4000)
    with pytest.raises((TargetError, OSError)):
        harness.targets.send(harness.vm, req, TIMEOUT_S)
    assert retry_until(lambda: harness.state.in_flight == 0, TIMEOUT_S)
    assert harness.state.upload_hashes == {}
    assert harness.get("r-2") == expected("r-2")


def test_unreachable_target_has_run_nothing(harness: TargetHarness) -> None:
    gone = target_vm("target-2", free_address())
    req = TargetRequest("r-1", "GET", "/digest", (), None, 0)
    with pytest.raises(TargetUnreachableError):
        harness.targets.send(gone, req, TIMEOUT_S)
