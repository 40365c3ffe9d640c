"""Test that a request that crashes each of its targets stops reaching targets, fleet-wide.

The bound is the promise: of the sends later than the stable window after the third crash, at most
three reach a target.
"""

import pytest

from chervilmill.entry import _crashes
from tests.entry.crash_fleet import CrashCase, CrashFleet

MAX_LATE_SENDS = 3
SEEDS = range(10)

CASES = {
    "crash_seen_as_refused_connections": CrashCase(),
    "crash_seen_as_new_lifetime_after_3_s": CrashCase(refusal_s=None, back_s=3.0),
    "crash_seen_as_new_lifetime_after_4_5_s": CrashCase(refusal_s=None, back_s=4.5),
    "crash_seen_as_new_lifetime_after_9_s": CrashCase(refusal_s=None, back_s=9.0),
    "silent_target_shows_the_loss_after_2_s": CrashCase(
        loss_seen_s=2.0, refusal_s=None, back_s=4.5
    ),
    "request_comes_to_four_vms_at_once": CrashCase(at_once=4),
    "request_comes_rarely": CrashCase(period_s=3.0),
    "vms_restart_one_after_the_other": CrashCase(restart_every_s=3.0),
    "halves_of_the_fleet_are_parted": CrashCase(cut_s=(0.0, 15.0)),
    "reports_of_other_crashes_come_first": CrashCase(other_losses_per_s=10.0),
    "hundred_vms": CrashCase(vms=100, targets=300, period_s=0.2),
    "two_targets_an_attempt": CrashCase(loss_seen_s=0.1, sends_per_attempt=2),
    "two_targets_an_attempt_four_times_a_second": CrashCase(
        period_s=0.25, loss_seen_s=0.1, sends_per_attempt=2, refusal_s=None, back_s=4.5
    ),
    "two_targets_an_attempt_while_vms_restart": CrashCase(
        period_s=0.25, loss_seen_s=0.1, sends_per_attempt=2, refusal_s=1.0, restart_every_s=3.0
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_crashing_request_goes_on_to_further_targets(
    case: CrashCase, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_crashes, "log_problem", lambda *_, **__: None)
    late_sends = []
    for seed in SEEDS:
        fleet = CrashFleet(case, seed)
        fleet.run()
        late_sends.append(fleet.late_sends)
    assert max(late_sends) <= MAX_LATE_SENDS, late_sends
