"""Test that what a report costs does not grow with what is known of other requests.

Work is counted in calls of functions, so the load of the machine does not matter.
"""

import sys
from collections.abc import Callable

from chervilmill.requests import Lifetime, Quarantine, request_fingerprint

FEW, MANY = 100, 1000
MAX_GROWTH = 2.0  # for ten times as many records
TARGETS = 360
DOMAINS = 9


def _fingerprint(number: int) -> bytes:
    return request_fingerprint("host", "GET", f"/{number}", "", "caller")


def _count_calls(action: Callable[[], object]) -> int:
    """Return how many functions an action calls, those written in C included."""
    calls = 0

    def count(_frame: object, event: str, _arg: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def _quarantine_with_culprits(count: int) -> Quarantine:
    """Return a quarantine with requests that have crashed three lifetimes of targets each."""
    quarantine = Quarantine()
    quarantine.set_targets({f"t{number}": f"d{number % DOMAINS}" for number in range(TARGETS)})
    for number in range(count):
        for place in range(3):
            at_s = 10.0 * place
            lifetime = Lifetime(f"t{(3 * number + place) % TARGETS}", number)
            quarantine.record_loss(_fingerprint(number), lifetime, at_s, at_s)
            quarantine.record_crash(lifetime.target, None, at_s)
        quarantine.judgement(_fingerprint(number), 30.0)
    return quarantine


def _cost_of_a_report(quarantine: Quarantine) -> int:
    """Return the calls for a request that has crashed three targets, and is judged again."""
    fingerprint = _fingerprint(-1)
    for place in range(3):
        quarantine.record_loss(fingerprint, Lifetime(f"t{place}", MANY), 60.0, 60.0)
        quarantine.record_crash(f"t{place}", None, 60.0 + 3.0 * place)

    def lose_one_more() -> None:
        quarantine.record_loss(fingerprint, Lifetime("t9", MANY), 70.0, 70.0)
        quarantine.judgement(fingerprint, 70.0)

    return _count_calls(lose_one_more)


def test_report_costs_more_with_each_request_that_is_known() -> None:
    few, many = (_cost_of_a_report(_quarantine_with_culprits(count)) for count in (FEW, MANY))
    assert many <= MAX_GROWTH * few, (few, many)


def test_each_loss_of_a_request_searches_all_crashes_again() -> None:
    """Many requests lose runs at a target that goes down with many others."""
    quarantine = Quarantine()
    quarantine.set_targets({f"t{number}": f"d{number % DOMAINS}" for number in range(TARGETS)})
    for number in range(TARGETS // 2):
        quarantine.record_crash(f"t{number}", None, 1.0)

    def lose(number: int) -> None:
        quarantine.record_loss(_fingerprint(number), Lifetime("t0", 1), 1.5, 1.5)
        quarantine.judgement(_fingerprint(number), 1.5)

    first, second = (_count_calls(lambda number=number: lose(number)) for number in (1, 2))
    assert second <= first / MAX_GROWTH, (first, second)
