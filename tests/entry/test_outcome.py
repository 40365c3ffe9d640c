"""Feed ends of attempts to the learner and look at what is believed of target and request."""

import random
from dataclasses import dataclass
from types import SimpleNamespace

import pytest

from chervilmill.addresses import Address
from chervilmill.aio import RequestHead
from chervilmill.entry._attempt import Attempt, AttemptEnd, AttemptResult, Outgoing
from chervilmill.entry._crashes import CrashWatch
from chervilmill.entry._outcome import OVERDUE, OutcomeLearner, overdue_after_s
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._progress import Progress
from chervilmill.overload import Candidate, TargetFleet
from chervilmill.platform import RequestFacts
from chervilmill.requests import Limited, RequestKind
from chervilmill.routing import Route, SiteView, Target, TargetChanged

SENT_S = 100.0
EXPECTED_S = 0.2
OBJECTIVE_S = 0.5


@dataclass(slots=True)
class _Scene:
    """Hold a learner with one request under way at one target."""

    learner: OutcomeLearner
    progress: Progress
    candidate: Candidate
    crashes: CrashWatch

    @property
    def is_left_alone(self) -> bool:
        return self.candidate.record.is_ejected(SENT_S + 1.0)


def _attempt(target: Target, *, is_sent: bool = True) -> Attempt:
    attempt = Attempt(None, None, TargetPool(), target)  # type: ignore[arg-type]
    attempt.is_sent = is_sent
    return attempt


def _scene(*, is_whole: bool = True, answered_s: float = 0.0) -> _Scene:
    fleet = TargetFleet("vm", "north", {"north-a": "north"}, random.Random(1))
    target = Target("t", 1, "app", Address("127.0.0.1", 1), "north-a", 6, False, 0.0)
    fleet.apply([TargetChanged(target, None)], SiteView(), 0.0)
    record = fleet.record("t")
    assert record is not None
    record.answered_s = answered_s
    candidate = Candidate(record, EXPECTED_S, 0.0, EXPECTED_S, None)
    route = Route(
        name="orders",
        host="x",
        path_prefix="/",
        kind=RequestKind.ORDER,
        timeout_s=2.0,
        objective_s=OBJECTIVE_S,
        priority=1,
        max_attempts=2,
        has_affinity=False,
        home_regions=frozenset(),
        split=(),
    )
    body = SimpleNamespace(is_whole=is_whole)
    facts = RequestFacts("id", "", None)
    progress = Progress(
        caller=SimpleNamespace(),  # type: ignore[arg-type]
        facts=facts,
        outgoing=Outgoing(RequestHead(b"POST", b"/", []), facts, body),  # type: ignore[arg-type]
        route=route,
        service="app",
        began_s=SENT_S,
        deadline_s=SENT_S + 2.0,
        patience_until_s=SENT_S + 2.0,
        age_s=0.0,
        fingerprint=b"f",
        sent_s=SENT_S,
        last=candidate,
        attempt=_attempt(target),
    )
    crashes = CrashWatch()
    crashes.set_targets({"t": "north-a", "u": "north-b"})
    return _Scene(OutcomeLearner(fleet, crashes), progress, candidate, crashes)


@pytest.mark.parametrize(
    ("result", "is_left_alone", "may_have_run", "sends"),
    [
        (AttemptResult(AttemptEnd.NOT_SENT), True, False, 0),
        (AttemptResult(AttemptEnd.NOT_RUN, 503), False, False, 1),
        (AttemptResult(AttemptEnd.NOT_RUN, 421), True, False, 1),
        (AttemptResult(AttemptEnd.LOST), False, True, 1),
        (AttemptResult(AttemptEnd.OVERDUE), True, True, 1),
        (AttemptResult(AttemptEnd.SPOILED, 200), False, True, 1),
        (AttemptResult(AttemptEnd.BROKEN_OFF), False, True, 1),
        (AttemptResult(AttemptEnd.ANSWERED, 200), False, True, 1),
        (AttemptResult(AttemptEnd.ANSWERED, 500), False, True, 1),
    ],
)
def test_end_of_an_attempt(
    result: AttemptResult, is_left_alone: bool, may_have_run: bool, sends: int
) -> None:
    scene = _scene()
    scene.learner.learn(scene.progress, scene.candidate, result, SENT_S + 1.0)
    assert scene.is_left_alone is is_left_alone
    assert (scene.progress.may_have_run, scene.progress.sends) == (may_have_run, sends)
    assert scene.progress.sent_s is None


@pytest.mark.parametrize(
    ("after_s", "is_whole", "answered_s", "is_left_alone"),
    [
        (1.0, True, 0.0, True),
        (1.0, True, SENT_S + 0.5, False),
        (1.0, False, 0.0, False),
        (0.4, True, 0.0, False),
    ],
    ids=["silent", "answered others meanwhile", "the caller still sends", "little time"],
)
def test_time_that_ends_tells_of_a_target_only_if_it_had_enough(
    after_s: float, is_whole: bool, answered_s: float, is_left_alone: bool
) -> None:
    scene = _scene(is_whole=is_whole, answered_s=answered_s)
    scene.learner.time_out(scene.progress, SENT_S + after_s)
    assert scene.is_left_alone is is_left_alone


def test_time_that_ends_between_attempts_tells_nothing() -> None:
    scene = _scene()
    scene.progress.attempt = None
    scene.learner.time_out(scene.progress, SENT_S + 1.0)
    assert not scene.is_left_alone


def test_attempt_is_overdue_after_its_objective_and_three_times_what_was_expected() -> None:
    scene = _scene()
    assert overdue_after_s(scene.progress, scene.candidate) == max(
        OBJECTIVE_S, OVERDUE * EXPECTED_S
    )


@pytest.mark.parametrize("end", [AttemptEnd.LOST, AttemptEnd.OVERDUE])
def test_request_lost_at_a_target_that_then_refuses_connections_is_suspected(
    end: AttemptEnd,
) -> None:
    scene = _scene()
    scene.learner.learn(scene.progress, scene.candidate, AttemptResult(end), SENT_S + 1.0)
    refused = AttemptResult(AttemptEnd.NOT_SENT)
    scene.learner.learn(scene.progress, scene.candidate, refused, SENT_S + 1.5)
    verdict = scene.crashes.verdict(b"f", SENT_S + 2.0, lambda _: True)
    assert verdict == Limited("u")


@pytest.mark.parametrize("is_sent", [True, False])
def test_request_whose_time_ends_while_it_connects_has_not_run(is_sent: bool) -> None:
    scene = _scene()
    scene.progress.attempt = _attempt(scene.candidate.record.target, is_sent=is_sent)
    assert scene.progress.may_still_run is is_sent
    scene.learner.time_out(scene.progress, SENT_S + 1.0)
    assert scene.progress.may_have_run is is_sent
