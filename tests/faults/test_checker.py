"""Check that each invariant, and no other, reports a violation planted in a valid trace."""

import hashlib
import json
from dataclasses import replace

import pytest

from bench.checker import (
    INVARIANTS,
    CallerRecord,
    ConfigurationWrite,
    Confirm,
    Disruption,
    LookupRecord,
    Outcome,
    PlannedStop,
    RegionSlots,
    RequestKind,
    RevisionSeen,
    Shift,
    TargetLeaving,
    TargetRun,
    Trace,
    check,
)

DIGEST = b"/digest/1 part 1 of 2 from t1\n/digest/1 part 2 of 2 from t1\n"
SHA = hashlib.sha256(b"scan").hexdigest()
BLOCKS = 10


def caller(
    request_id: str, kind: RequestKind, expected: str, body: bytes, **fields
) -> CallerRecord:
    given = {"key": None, "first_part_s": 10.1, "outcome": Outcome.WHOLE, "entry": "e1"}
    given.update(fields)
    times = {"due_s": 10.0, "sent_s": 10.0, "ended_s": 10.2}
    return CallerRecord(
        request_id, kind, expected=expected, body=body, echoed_id=request_id, **times, **given
    )


def run(request_id: str, kind: RequestKind, key: str | None = None, **fields) -> TargetRun:
    given = {"target": "t1", "started_s": 10.05, "ended_s": 10.15} | fields
    return TargetRun(
        region="praha", service="souhrny", request_id=request_id, kind=kind, key=key, **given
    )


def sound_trace() -> Trace:
    """Return a trace in which every invariant holds."""
    return Trace(
        attempts=[
            caller("d1", RequestKind.DIGEST, "/digest/1", DIGEST),
            caller("o1", RequestKind.ORDER, "k1", json.dumps({"order": "k1"}).encode(), key="k1"),
            caller("u1", RequestKind.UPLOAD, SHA, json.dumps({"sha256": SHA}).encode()),
            caller(
                "o2", RequestKind.ORDER, "k2", b"", key="k2", outcome=Outcome.REFUSED, ran="not_run"
            ),
        ],
        runs=[
            run("d1", RequestKind.DIGEST),
            run("o1", RequestKind.ORDER, "k1"),
            run("u1", RequestKind.UPLOAD),
        ],
        leavings=[TargetLeaving("t2", 5.0, 30.0)],
        stops=[PlannedStop("e1", 9.0, 12.0, 0)],
        writes=[ConfigurationWrite("steering/souhrny", 4, 8.0)],
        revisions=[RevisionSeen("e1", at_s, 4) for at_s in (9.0, 11.5, 14.0)],
        lookups=[
            LookupRecord(f"b{index}", "souhrny", at_s, "praha")
            for index in range(BLOCKS)
            for at_s in (1.0, 20.0)
        ],
        shifts=[Shift("souhrny", 2, 15.0, 25.0)],
        confirms=[
            Confirm("souhrny", "p1", "base-1", is_accepted=True),
            Confirm("souhrny", "p1", "base-1", is_accepted=True),
            Confirm("souhrny", "p2", "base-1", is_accepted=False),
            Confirm("souhrny", "p3", "base-2", is_accepted=True),
        ],
        slots=[RegionSlots("praha", "souhrny", 3)],
    )


def moves_too_many_blocks(trace: Trace) -> None:
    trace.lookups += [LookupRecord(f"b{index}", "souhrny", 21.0, "brno") for index in range(3)]


def accepts_both_of_two_racing_confirms(trace: Trace) -> None:
    trace.confirms.append(Confirm("souhrny", "p2", "base-1", is_accepted=True))


def overloads_a_region(trace: Trace) -> None:
    trace.runs += [run(f"x{i}", RequestKind.DIGEST, started_s=20.0, ended_s=21.5) for i in range(4)]


def crosses_an_answer(trace: Trace) -> None:
    trace.attempts[0] = replace(trace.attempts[0], body=DIGEST.replace(b"/1", b"/2"))


def leaves_out_a_part(trace: Trace) -> None:
    trace.attempts[0] = replace(trace.attempts[0], body=DIGEST.splitlines(keepends=True)[0])


def echoes_another_id(trace: Trace) -> None:
    trace.attempts[1] = replace(trace.attempts[1], echoed_id="d1")


def damages_an_upload(trace: Trace) -> None:
    trace.attempts[2] = replace(trace.attempts[2], body=b'{"sha256": "0"}')


def runs_what_it_says_did_not_run(trace: Trace) -> None:
    trace.runs.append(run("o2", RequestKind.ORDER, "k2", started_s=10.3))


def denies_that_an_earlier_send_ran(trace: Trace) -> None:
    trace.runs.append(run("o2-first", RequestKind.ORDER, "k2", started_s=9.0))


def runs_an_order_twice(trace: Trace) -> None:
    trace.runs.append(run("o1-again", RequestKind.ORDER, "k1", target="t3"))


def sends_work_to_a_leaving_target(trace: Trace) -> None:
    trace.runs.append(run("d9", RequestKind.DIGEST, target="t2"))


def cuts_a_request_by_a_planned_stop(trace: Trace) -> None:
    trace.attempts[2] = replace(trace.attempts[2], outcome=Outcome.SHORT)


def ends_a_planned_stop_by_force(trace: Trace) -> None:
    trace.stops[0] = replace(trace.stops[0], exit_code=-9)


def applies_a_configuration_late(trace: Trace) -> None:
    trace.revisions[:2] = [RevisionSeen("e1", 9.0, 3), RevisionSeen("e1", 11.5, 3)]


def reverts_a_configuration(trace: Trace) -> None:
    trace.revisions.append(RevisionSeen("e1", 14.5, 3))
    trace.disruptions.append(Disruption("e1", 14.1, 14.4))


PLANTED = [
    ("shift_within_cap", moves_too_many_blocks),
    ("one_of_racing_confirms_wins", accepts_both_of_two_racing_confirms),
    ("no_region_overloaded", overloads_a_region),
    ("answers_are_own_and_whole", crosses_an_answer),
    ("answers_are_own_and_whole", leaves_out_a_part),
    ("answers_are_own_and_whole", echoes_another_id),
    ("answers_are_own_and_whole", damages_an_upload),
    ("not_run_is_true", runs_what_it_says_did_not_run),
    ("not_run_is_true_of_resends", denies_that_an_earlier_send_ran),
    ("orders_run_at_most_once", runs_an_order_twice),
    ("leaving_target_gets_no_new_work", sends_work_to_a_leaving_target),
    ("planned_stop_cuts_nothing", cuts_a_request_by_a_planned_stop),
    ("planned_stop_cuts_nothing", ends_a_planned_stop_by_force),
    ("configuration_in_force_in_time", applies_a_configuration_late),
    ("configuration_never_reverts", reverts_a_configuration),
]


def test_sound_run_has_no_violation() -> None:
    assert check(sound_trace()) == ()


@pytest.mark.parametrize(
    ("invariant", "plant"), PLANTED, ids=lambda item: getattr(item, "__name__", item)
)
def test_planted_fault_is_caught_by_its_invariant(invariant: str, plant) -> None:
    trace = sound_trace()
    plant(trace)
    assert {violation.invariant for violation in check(trace)} == {invariant}


def test_every_invariant_has_a_planted_fault() -> None:
    assert {invariant for invariant, _ in PLANTED} == set(INVARIANTS)


def test_unplanned_failure_excuses_a_cut_answer_only_at_its_vm() -> None:
    trace = sound_trace()
    cuts_a_request_by_a_planned_stop(trace)
    trace.disruptions.append(Disruption("t1", 10.1, 10.2))
    assert check(trace) == ()
    trace.disruptions[0] = Disruption("t9", 10.1, 10.2)
    assert len(check(trace)) == 1
