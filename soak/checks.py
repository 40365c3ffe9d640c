"""Check the promises from what callers and targets saw."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from soak.records import PROMISES, History, Ran

LEAVING_BOUND_S = 2.5  # for a target that drains
EVACUATION_BOUND_S = 5.0
READY_BOUND_S = 15.0  # the users' recovery-s, which both sites set to it
RECOVERED_SHARE = 0.9  # of the requests after the last disruption, once VMs have had time


@dataclass(frozen=True, slots=True)
class Breach:
    """Report a promise that was broken."""

    promise: str
    detail: str


def runs_at_most_once(history: History) -> Iterator[Breach]:
    """Yield requests that must run once and ran more often."""
    counts = Counter(run.request_id for run in history.runs)
    for request_id, count in counts.items():
        sent = history.sent.get(request_id)
        if sent is not None and sent.kind != "safe" and count > 1:
            yield Breach("runs_at_most_once", f"{request_id} ran {count} times")


def refused_is_not_run(history: History) -> Iterator[Breach]:
    """Yield requests that must run once, were said not to have run, and ran."""
    ran = {run.request_id for run in history.runs}
    for sent in history.sent.values():
        if sent.kind != "safe" and sent.status in PROMISES and sent.request_id in ran:
            yield Breach("refused_is_not_run", f"{sent.request_id} got {sent.status}")


def answers_are_own_and_whole(history: History) -> Iterator[Breach]:
    """Yield successes that are not the target's answer to that request."""
    for sent in history.sent.values():
        if sent.status == 200:
            wanted = f" ran {sent.request_id} {sent.body_digest}".encode()
            if not sent.body.endswith(wanted):
                yield Breach("answers_are_own_and_whole", f"{sent.request_id}: {sent.body!r}")


def nothing_runs_unasked(history: History) -> Iterator[Breach]:
    """Yield runs that no caller asked for, or not like that."""
    for run in history.runs:
        sent = history.sent.get(run.request_id)
        if sent is None:
            yield Breach("nothing_runs_unasked", f"{run.request_id} at {run.target}")
        elif (run.method, run.path, run.body_digest) != (
            sent.method,
            sent.path,
            sent.body_digest,
        ):
            yield Breach("nothing_runs_unasked", f"{run.request_id} was changed")


def leaving_gets_nothing(history: History) -> Iterator[Breach]:
    """Yield runs at targets and failure domains that were to get nothing."""
    for left in history.left:
        bound_s = EVACUATION_BOUND_S if left.is_domain else LEAVING_BOUND_S
        for run in history.runs:
            name = run.failure_domain if left.is_domain else run.target
            is_late = left.from_s + bound_s < run.at_s < left.until_s
            if name == left.name and is_late and not _is_disrupted(history, run):
                yield Breach("leaving_gets_nothing", f"{run.request_id} at {left.name}")


def planned_stop_cuts_nothing(history: History) -> Iterator[Breach]:
    """Yield requests that were read and got no answer with nothing disrupted."""
    for sent in history.sent.values():
        if sent.status is not None or not sent.is_read or sent.ended_s is None:
            continue
        if not any(a <= sent.ended_s and sent.sent_s <= b for a, b in history.disrupted):
            yield Breach("planned_stop_cuts_nothing", f"{sent.request_id} through {sent.vm}")


def all_is_served_again(history: History) -> Iterator[Breach]:
    """Yield a breach where too few requests are served after the last disruption."""
    late = [sent for sent in history.sent.values() if sent.sent_s >= history.calm_from_s]
    served = sum(sent.status == 200 for sent in late)
    if late and served < RECOVERED_SHARE * len(late):
        yield Breach("all_is_served_again", f"{served} of {len(late)}")


def started_vm_is_ready(history: History) -> Iterator[Breach]:
    """Yield VMs that were not ready in time after a start."""
    for start in history.starts:
        if start.took_s > READY_BOUND_S:
            yield Breach("started_vm_is_ready", f"{start.vm} not within {start.took_s:.1f} s")


def _is_disrupted(history: History, run: Ran) -> bool:
    return any(from_s <= run.at_s <= until_s for from_s, until_s in history.disrupted)


Check = Callable[[History], Iterator[Breach]]

CHECKS: tuple[Check, ...] = (
    runs_at_most_once,
    refused_is_not_run,
    answers_are_own_and_whole,
    nothing_runs_unasked,
    leaving_gets_nothing,
    planned_stop_cuts_nothing,
    all_is_served_again,
    started_vm_is_ready,
)


def breaches(history: History) -> list[Breach]:
    """Return every breach of every promise."""
    return [breach for check in CHECKS for breach in check(history)]
