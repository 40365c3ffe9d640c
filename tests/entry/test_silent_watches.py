"""Test that a watch that hears of no changes is no proof that there are none.

The store answers lists all the time. Its watches hear of nothing for a second while objects change,
and may end in that time; then the history is dropped and they are cut off.
"""

from dataclasses import replace

import pytest

from tests.entry.fleet_decisions import FAULT_S, WATCHED_S, Decisions, run_fleet
from tests.entry.store_fleet import SILENCE_S, FleetCase, SilentWatch, StaleAsOf, StoreFault

IN_SILENCE_S = FAULT_S + 0.4
OTHER_KIND = "config"  # listed to confirm the copies; the kind that changes is not


def _compaction(silent_watch: SilentWatch, **others: object) -> StoreFault:
    fault = StoreFault(FAULT_S, compactions_s=(FAULT_S,), silent_watch=silent_watch)
    return replace(fault, **others)  # type: ignore[arg-type]


def _case(vms: int, fault: StoreFault, *changes_s: float, loss: float = 0.0) -> FleetCase:
    return FleetCase(vms, fault, changes_s or (IN_SILENCE_S,), loss, listed_kind=OTHER_KIND)


CASES = {
    **{
        f"{watch.value}-{age_s}-{vms}": _case(vms, _compaction(watch, replica_age_s=age_s))
        for watch in SilentWatch
        for age_s in (0.0, 5.5)
        for vms in (1, 12, 63)
    },
    **{
        f"{watch.value}-{name}": case
        for watch in SilentWatch
        for name, case in {
            "present-6": _case(
                6, _compaction(watch, replica_age_s=3.0, stale_as_of=StaleAsOf.PRESENT)
            ),
            "lossy-12": _case(12, _compaction(watch, replica_age_s=3.0), loss=0.05),
            "two-changes-12": _case(12, _compaction(watch), IN_SILENCE_S, FAULT_S + 1.1),
            "part-12": _case(12, _compaction(watch, deaf=lambda vm: vm % 3 == 0)),
            "again-12": _case(
                12,
                _compaction(watch, compactions_s=(FAULT_S, FAULT_S + SILENCE_S + 0.2)),
                IN_SILENCE_S,
                FAULT_S + SILENCE_S + 0.6,
            ),
            "before-12": _case(12, _compaction(watch), FAULT_S - 0.05),
        }.items()
    },
    **{
        f"{watch.value}-slow-{vms}": _case(vms, _compaction(watch, answer_s=0.3))
        for watch in SilentWatch
        for vms in (1, 12)
    },
}


def _decide(monkeypatch: pytest.MonkeyPatch, case: FleetCase, seed: int) -> Decisions:
    decisions = Decisions(case)
    run_fleet(monkeypatch, decisions, seed, case.changes_s[-1] + WATCHED_S)
    return decisions


# A copy that lacked a change was held for proven, by its VM and its peers, until the next change.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_watch_that_hears_nothing_proves_an_old_copy(
    monkeypatch: pytest.MonkeyPatch, case: FleetCase
) -> None:
    for seed in range(2):
        decisions = _decide(monkeypatch, case, seed)
        assert not decisions.old, (seed, decisions.worst_s)


# While watches were held or history was gone, nothing confirmed copies that lists could confirm.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_store_that_drops_its_history_makes_vms_refuse_requests(
    monkeypatch: pytest.MonkeyPatch, case: FleetCase
) -> None:
    decisions = _decide(monkeypatch, case, 0)
    assert not decisions.refused, decisions.samples
