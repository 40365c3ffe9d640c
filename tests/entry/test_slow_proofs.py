"""Test that entry VMs do not act on copies that a sound but slow store let grow old.

What the store says is right, and late. Copies then are older than the bounds of the operators allow
for, and a VM has to know that it is behind. It may still not give up requests for a store that
answers tolerably, nor while there is no store to ask.
"""

import pytest

from tests.entry.fleet_decisions import (
    FAULT_S,
    WATCHED_S,
    WAY_TO_TARGET_S,
    Decisions,
    run_fleet,
)
from tests.entry.store_fleet import BOUNDS, FleetCase, StoreFault

CHANGES_S = tuple(FAULT_S + number for number in range(21))  # each second
LAST_S = (12.0, 12.2)
OUTAGE_S = 8.0
CONFIGURATION = "config"


def _all(_: int) -> bool:
    return True


def _slow(answer_s: float, **others: float) -> StoreFault:
    return StoreFault(FAULT_S, answer_s=answer_s, **others)


def _busy(refusal: int, **others: float) -> StoreFault:
    return StoreFault(FAULT_S, busy_share=0.9, refusal=refusal, **others)


def _case(vms: int, fault: StoreFault, *changes_s: float, loss: float = 0.0) -> FleetCase:
    return FleetCase(vms, fault, changes_s, loss, listed_kind=CONFIGURATION)


STALE_S = {"": 0.0, "-stale-2": 2.0, "-stale-8": 8.0}

OLD_COPIES = {
    **{
        f"answers-{answer_s}{name}-{vms}": _case(vms, _slow(answer_s, replica_age_s=age_s), *LAST_S)
        for answer_s in (0.5, 0.7)
        for name, age_s in STALE_S.items()
        for vms in (1, 6, 12)
    },
    **{
        f"all-answers-{answer_s}-{vms}": _case(
            vms, _slow(answer_s, stale_answer_s=answer_s, replica_age_s=age_s), *LAST_S
        )
        for answer_s, age_s in ((1.0, 2.0), (1.8, 0.0), (1.8, 8.0))
        for vms in (1, 12)
    },
    **{
        f"refused-{refusal}-{vms}": _case(vms, _busy(refusal, replica_age_s=8.0), *LAST_S)
        for refusal in (429, 503)
        for vms in (1, 12)
    },
    **{
        f"alternating-{slow_for_s}-{vms}": _case(
            vms, _slow(1.8, replica_age_s=8.0, slow_for_s=slow_for_s), 9.0, 9.2
        )
        for slow_for_s in (0.5, 2.0)
        for vms in (1, 12)
    },
    "answers-0.7-lossy-12": _case(12, _slow(0.7, replica_age_s=8.0), *LAST_S, loss=0.05),
}


# VMs on time acted on copies of any age: on routes that were dropped, and at targets that had left.
@pytest.mark.parametrize("case", OLD_COPIES.values(), ids=OLD_COPIES)
def test_vm_acts_on_copies_that_a_slow_store_let_grow_old(
    monkeypatch: pytest.MonkeyPatch, case: FleetCase
) -> None:
    for seed in range(2):
        decisions = Decisions(case)
        run_fleet(monkeypatch, decisions, seed, case.changes_s[-1] + WATCHED_S)
        assert not decisions.old, (seed, decisions.worst_s)


SLOW = _slow(0.7, replica_age_s=8.0)
SOUND = StoreFault(replica_age_s=2.0)

# With the share of samples at which VMs may refuse requests.
TOLERABLE = {
    **{f"answers-0.7-{vms}": (_case(vms, SLOW, *CHANGES_S), 0.02) for vms in (1, 6, 12, 63)},
    "answers-0.7-83": (_case(83, SLOW, *CHANGES_S[:11]), 0.02),
    "answers-0.7-195": (_case(195, SLOW, *CHANGES_S[:11]), 0.02),
    "sound-1": (_case(1, SOUND, *CHANGES_S), 0.0),
    "sound-12": (_case(12, SOUND, *CHANGES_S), 0.0),
    "sound-lossy-12": (_case(12, SOUND, *CHANGES_S, loss=0.05), 0.0),
    "sound-lossy-63": (_case(63, SOUND, *CHANGES_S[:11], loss=0.05), 0.0),
}


# A VM that refuses whenever its copies are a little old would turn away what it could serve.
@pytest.mark.parametrize(("case", "share"), TOLERABLE.values(), ids=TOLERABLE)
def test_vms_act_too_late_or_refuse_requests_though_the_store_answers_tolerably(
    monkeypatch: pytest.MonkeyPatch, case: FleetCase, share: float
) -> None:
    decisions = Decisions(case)
    run_fleet(monkeypatch, decisions, 0, case.changes_s[-1])
    assert not decisions.old, decisions.worst_s
    assert decisions.refused <= share * decisions.samples, decisions.samples


SWALLOWED = StoreFault(FAULT_S, silenced=_all, swallowed_for_s=OUTAGE_S)
REFUSED = StoreFault(FAULT_S, silenced=_all, refused=_all, refused_for_s=OUTAGE_S)
BACK_S = FAULT_S + OUTAGE_S
OUTAGES = {
    **{f"swallowed-{vms}": _case(vms, SWALLOWED, BACK_S + 0.1) for vms in (1, 6, 12, 63)},
    **{f"refused-{vms}": _case(vms, REFUSED, BACK_S + 0.1) for vms in (1, 6, 12, 83)},
}


# VMs whose store is away have nothing better than what they know, and learn of its return in time.
@pytest.mark.parametrize("case", OUTAGES.values(), ids=OUTAGES)
def test_outage_makes_vms_refuse_requests_or_lasts_beyond_its_end(
    monkeypatch: pytest.MonkeyPatch, case: FleetCase
) -> None:
    decisions = Decisions(case, BACK_S)
    fleet = run_fleet(monkeypatch, decisions, 0, case.changes_s[-1] + WATCHED_S)
    assert not decisions.refused
    in_touch_s = BACK_S + BOUNDS.stable_window_s
    assert not fleet.late(in_touch_s - case.changes_s[-1] - WAY_TO_TARGET_S)
