"""Test that callers get complete answers to their own requests, or a visible failure."""

import pytest
import urllib3

from chervilmill.reasons import DropReason
from chervilmill.standins.store import retry_until
from chervilmill.standins.target_server import AnswerFault
from tests.callers.harness import SERVICE, TIMEOUT_S, running

GET = f"GET /s/{SERVICE}/digest HTTP/1.%d\r\nHost: x\r\nX-Deadline-Ms: %d\r\n\r\n"


def digest(path: str, target: str = "target-0") -> bytes:
    parts = [f"{path} part {index} of 3 from {target}\n" for index in (1, 2, 3)]
    return "".join(parts).encode()


@pytest.mark.parametrize(
    ("fault", "reason"),
    [(AnswerFault.CROSSED, DropReason.CROSSED), (AnswerFault.LOST, DropReason.LOST)],
)
def test_digest_whose_answer_is_unusable_is_sent_to_another_target(
    fault: AnswerFault, reason: DropReason
) -> None:
    with running(targets=2) as ([entry], states):
        states[0].faults.append(fault)
        states[1].faults.append(fault)
        for number in range(4):
            resp = entry.get(f"/digest/{number}", X_Request_Id=f"r-{number}")
            if resp.status == 200:
                assert resp.headers["X-Request-Id"] == f"r-{number}"
                assert resp.data.startswith(f"/digest/{number} part 1".encode())
        assert entry.dropped(reason) == 2


@pytest.mark.parametrize("fault", [AnswerFault.CROSSED, AnswerFault.LOST, AnswerFault.SHORT])
def test_order_with_an_unusable_answer_is_not_sent_again(fault: AnswerFault) -> None:
    with running(targets=2) as ([entry], states):
        for state in states:
            state.faults.append(fault)
        resp = entry.order("k")
        assert (resp.status, resp.json()["ran"]) == (502, "unknown")
        again = entry.order("k")
        assert again.json()["reason"] == "order_outcome_unknown"
        assert sum(state.orders_run["k"] for state in states) == 1


def test_short_answer_is_seen_as_short() -> None:
    with running() as ([entry], [state]):
        state.behave({"part_bytes": 100_000})
        state.faults.append(AnswerFault.SHORT)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            entry.get("/digest")
        assert entry.dropped(DropReason.SHORT) == 1
        assert len(entry.get("/digest").data) == 300_000


def test_caller_that_could_not_see_a_short_answer_is_refused() -> None:
    with running() as ([entry], [state]):
        sock = entry.raw((GET % (0, 5_000)).encode())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 505")
        assert state.requests == 0


def test_doubled_answer_never_reaches_the_next_request() -> None:
    with running() as ([entry], [state]):
        state.faults.append(AnswerFault.DOUBLED)
        for number in range(5):
            resp = entry.get(f"/digest/{number}", X_Request_Id=f"r-{number}")
            assert resp.data == digest(f"/digest/{number}")
        assert entry.dropped(DropReason.EXTRA_BYTES) == 1


@pytest.mark.parametrize("fault", [AnswerFault.LATE, AnswerFault.STALLED])
def test_answer_past_its_deadline_breaks_off_visibly(fault: AnswerFault) -> None:
    with running() as ([entry], [state]):
        state.faults.append(fault)
        sock = entry.raw((GET % (1, 300)).encode())
        sock.settimeout(2.0)
        received = b""
        while part := sock.recv(65_536):
            received += part
            if b"deadline_exceeded" in received:
                break
        is_late = fault is AnswerFault.LATE
        assert received.startswith(b"HTTP/1.1 504" if is_late else b"HTTP/1.1 200")
        assert not received.endswith(b"0\r\n\r\n")
        assert entry.dropped(DropReason.STALLED) + entry.dropped(DropReason.SHORT) == 1
        assert retry_until(lambda: state.cancelled == 1, TIMEOUT_S)
        assert entry.get("/digest", X_Request_Id="r-2").data == digest("/digest")


@pytest.mark.parametrize(
    "behaviour",
    [{"work_s": 20.0}, {"part_delay_s": 20.0}],
    ids=["before the headers", "between parts"],
)
def test_caller_that_goes_away_cancels_its_request(behaviour: dict) -> None:
    with running(**behaviour) as ([entry], [state]):
        sock = entry.raw((GET % (1, 30_000)).encode())
        assert retry_until(lambda: state.in_flight == 1, TIMEOUT_S)
        sock.close()
        assert retry_until(lambda: state.cancelled == 1, TIMEOUT_S)
        assert retry_until(lambda: entry.in_flight.count == 0, TIMEOUT_S)


def test_upload_that_breaks_off_never_looks_whole() -> None:
    with running() as ([entry], [state]):
        head = f"PUT /s/{SERVICE}/scan HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
        sock = entry.raw(head.encode() + bytes(999))
        assert retry_until(lambda: state.in_flight == 1, TIMEOUT_S)
        sock.close()
        assert retry_until(lambda: state.uploads_broken == 1, TIMEOUT_S)
        assert not state.upload_hashes
        assert retry_until(lambda: entry.in_flight.count == 0, TIMEOUT_S)


def test_order_goes_on_when_its_caller_goes_away() -> None:
    with running(work_s=0.3) as ([entry], [state]):
        head = f"POST /s/{SERVICE}/orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
        sock = entry.raw((head + "Content-Length: 2\r\n\r\n{}").encode())
        assert retry_until(lambda: state.in_flight == 1, TIMEOUT_S)
        sock.close()
        assert retry_until(lambda: entry.in_flight.count == 0, TIMEOUT_S)
        assert retry_until(lambda: entry.order("k").status == 200, TIMEOUT_S)
        assert state.orders_run["k"] == 1


def test_slow_caller_applies_backpressure_to_the_target() -> None:
    with running(part_bytes=1_000_000, parts=100) as ([entry], [state]):
        sock = entry.raw((GET % (1, 60_000)).encode())
        assert sock.recv(1)
        assert not retry_until(lambda: state.in_flight == 0, 0.5)
        sock.close()
        assert retry_until(lambda: state.in_flight == 0, TIMEOUT_S)
