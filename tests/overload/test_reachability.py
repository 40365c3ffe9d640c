"""Test when an entry VM doubts its own links, and what ends that."""

import pytest

from chervilmill.addresses import Address
from chervilmill.overload import TargetReachability
from chervilmill.routing import Target


def _target(name: str) -> Target:
    """Return a target whose name begins with its failure domain."""
    return Target(name, 1, "app", Address("127.0.0.1", 1), name[0], 6, False, 0.0)


MANY = [_target(name) for name in ("a1", "a2", "a3", "b1", "b2", "c1")]
ANSWER = "answer"


@pytest.mark.parametrize(
    ("known", "seen", "is_in_doubt"),
    [
        (MANY, ["a1", "b1", "c1"], True),
        (MANY, ["a1", "a2", "b1"], True),
        (MANY, ["a1", "a2", "a3"], False),  # one domain is in trouble itself
        (MANY, ["a1", "b1"], False),
        (MANY, ["a1", "b1", "b1", "a1"], False),  # two targets that failed twice
        (MANY, ["a1", "b1", ANSWER, "c1"], False),
        (MANY, ["a1", ANSWER, "a1", "b1", "c1"], True),
        (MANY[:1], ["a1"], True),
        (MANY[:3], ["a1", "a2", "a3"], True),
    ],
)
def test_troubled_targets_are_taken_for_a_cut_link(
    known: list[Target], seen: list[str], is_in_doubt: bool
) -> None:
    reachability = TargetReachability()
    found = False
    for name in seen:
        if name == ANSWER:
            reachability.record_answer()
            found = False
        else:
            found = reachability.record_unreached(_target(name), known)
    assert found is is_in_doubt
    assert not reachability.is_cut_off


def test_answer_on_an_old_connection_ends_a_cut() -> None:
    """Connections may live on while new ones are refused."""
    reachability = TargetReachability()
    assert reachability.record_probes(has_connected=False)
    assert not reachability.record_probes(has_connected=False)
    reachability.record_answer()
    assert reachability.is_cut_off
    assert reachability.record_probes(has_connected=True)
    assert not reachability.is_cut_off
