"""Test that a target that states that it is leaving is reported once and gets no new work."""

from tests.callers.harness import running

ANSWERS = 12


def test_a_target_that_says_it_leaves_is_reported_once() -> None:
    with running(targets=2) as ([entry], states):
        states[0].is_leaving = True
        answers = [entry.get(f"/digest/{number}") for number in range(ANSWERS)]
        assert {answer.status for answer in answers} == {200}
        assert entry.directory.reported.count(states[0].name) <= 1
        if states[0].requests:
            assert entry.directory.reported == [states[0].name]
        assert states[0].requests <= 1
        assert states[1].requests >= ANSWERS - 1


def test_a_target_that_stays_is_not_reported() -> None:
    with running(targets=2) as ([entry], _):
        for number in range(ANSWERS):
            entry.get(f"/digest/{number}")
        assert entry.directory.reported == []
