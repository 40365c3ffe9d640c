"""Test that requests wait for a slot by priority and deadline, or are refused at once."""

import pytest

from chervilmill.requests import AdmissionQueue, Priority, QueuedRequest, RequestKind, priority_of


def drain(queue: AdmissionQueue, now_s: float) -> list[QueuedRequest]:
    drained = []
    while (waiting := queue.peek(now_s)) is not None:
        queue.leave(waiting)
        drained.append(waiting)
    return drained


@pytest.mark.parametrize(
    ("kind", "time_left_s", "expected"),
    [
        (RequestKind.ORDER, 60.0, Priority.ORDER),
        (RequestKind.IDEMPOTENT, 1.0, Priority.NEAR_DEADLINE),
        (RequestKind.IDEMPOTENT, 30.0, Priority.NORMAL),
        (RequestKind.UPLOAD, 1.0, Priority.BULK),
    ],
)
def test_priorities(kind: RequestKind, time_left_s: float, expected: Priority) -> None:
    assert priority_of(kind, time_left_s) is expected


def test_orders_and_near_deadlines_go_first() -> None:
    queue = AdmissionQueue()
    for _ in range(50):
        queue.slot_freed(0.0)
    waiting = [
        QueuedRequest(priority, 0.0, 10.0)
        for priority in (Priority.BULK, Priority.NORMAL, Priority.ORDER, Priority.NEAR_DEADLINE)
    ]
    for waiting_request in waiting:
        assert queue.join(waiting_request, 0.0) is None
    assert [waiting_request.priority for waiting_request in drain(queue, 0.0)] == sorted(Priority)


def test_bulk_that_waited_long_goes_before_new_requests() -> None:
    queue = AdmissionQueue()
    for _ in range(50):
        queue.slot_freed(0.0)
    bulk, new_order = QueuedRequest(Priority.BULK, 0.0, 60.0), QueuedRequest(
        Priority.ORDER, 0.4, 60.0
    )
    assert queue.join(bulk, 0.0) is None
    assert queue.join(new_order, 0.4) is None
    assert drain(queue, 0.4)[0] is bulk


def test_request_that_would_wait_too_long_is_refused_with_a_retry_time() -> None:
    queue = AdmissionQueue()
    for _ in range(10):
        queue.slot_freed(0.0)
    joined = 0
    while (refusal := queue.join(QueuedRequest(Priority.NORMAL, 0.0, 60.0), 0.0)) is None:
        joined += 1
    assert joined == 2
    assert refusal.retry_after_s == pytest.approx(0.2)
    assert queue.join(QueuedRequest(Priority.ORDER, 0.0, 60.0), 0.0) is None


def test_request_that_waited_too_long_is_passed_over() -> None:
    queue = AdmissionQueue()
    assert queue.join(QueuedRequest(Priority.NORMAL, 0.0, 60.0), 0.0) is None
    assert queue.peek(0.05) is not None
    assert queue.peek(0.5) is None


def test_burst_after_a_pause_waits_for_slots_that_are_held_briefly() -> None:
    queue = AdmissionQueue()
    queue.slot_taken()
    queue.slot_freed(0.03, held_s=0.03)
    for _ in range(6):
        queue.slot_taken()
    queue.slot_freed(5.03, held_s=0.03)
    burst = [QueuedRequest(Priority.NORMAL, 5.03, 60.0) for _ in range(4)]
    assert [queue.join(waiting_request, 5.03) for waiting_request in burst] == [None] * 4


def test_burst_is_refused_where_slots_are_held_long() -> None:
    queue = AdmissionQueue()
    for _ in range(6):
        queue.slot_taken()
    queue.slot_freed(2.0, held_s=2.0)
    assert queue.join(QueuedRequest(Priority.NORMAL, 2.0, 60.0), 2.0) is None
    refusal = queue.join(QueuedRequest(Priority.NORMAL, 2.0, 60.0), 2.0)
    assert refusal is not None
    assert refusal.retry_after_s > 0.1
