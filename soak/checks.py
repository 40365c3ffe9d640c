"""Checks of the promises against the records of callers, targets and entry VMs."""

import math
from collections import Counter
from collections.abc import Callable, Iterator

from soak.records import NOT_RUN_STATUSES, Attempt, Breach, ExclusionSpan, History, TargetRun
from soak.route_checks import (
    configuration_is_in_force,
    configuration_never_goes_back,
    proper_requests_are_not_denied,
    runs_at_home,
)
from soak.touch import STABLE_WINDOW_S, own_delay_s, stretch_s

DRAIN_BOUND_S = 2.5  # for a draining target, as drain-s of the site
EVACUATION_BOUND_S = 5.0
READY_BOUND_S = 15.0  # the recovery-s that both user sites set
DEADLINE_S = 2.0  # of the callers
MAX_LATE_CRASHING_RUNS = 3
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_EXTRA_REQUESTS = 5
MIN_SERVED_SHARE = 0.9  # of the requests sent once VMs had time to recover


def runs_at_most_once(history: History) -> Iterator[Breach]:
    """Yield a breach for each unsafe request or upload that ran more than once."""
    counts = Counter(run.request_id for run in history.runs)
    for request_id, count in counts.items():
        attempt = history.attempts.get(request_id)
        if attempt is not None and attempt.kind != "safe" and count > 1:
            yield Breach("runs_at_most_once", f"{request_id} ran {count} times")


def refused_is_not_run(history: History) -> Iterator[Breach]:
    """Yield a breach for each unsafe request or upload that ran despite a not-run status."""
    ran = {run.request_id for run in history.runs}
    for attempt in history.attempts.values():
        if (
            attempt.kind != "safe"
            and attempt.status in NOT_RUN_STATUSES
            and attempt.request_id in ran
        ):
            yield Breach("refused_is_not_run", f"{attempt.request_id} got {attempt.status}")


def answers_are_own_and_whole(history: History) -> Iterator[Breach]:
    """Yield a breach for each 200 answer that isn't the target's whole answer to that request."""
    for attempt in history.attempts.values():
        if attempt.status == 200:
            expected = f" ran {attempt.request_id} {attempt.body_digest}".encode()
            if not attempt.body.endswith(expected):
                yield Breach("answers_are_own_and_whole", f"{attempt.request_id}: {attempt.body!r}")


def nothing_runs_unasked(history: History) -> Iterator[Breach]:
    """Yield a breach for each run that no caller requested, or that differs from the request."""
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is None:
            yield Breach("nothing_runs_unasked", f"{run.request_id} at {run.target}")
        elif (run.method, run.path, run.body_digest) != (
            attempt.method,
            attempt.path,
            attempt.body_digest,
        ):
            yield Breach("nothing_runs_unasked", f"{run.request_id} was altered")


def leaving_gets_nothing(history: History) -> Iterator[Breach]:
    """Yield a breach for each run at a draining target or in an evacuated failure domain.

    The bound counts from an acknowledgement of a stable store, and holds for VMs in touch. A run is
    not late if the link to its target was disturbed within the stable window before it. While the
    store refuses reads, the bound for an evacuation is stretched, and that for a target is lifted.
    """
    for exclusion in history.exclusions:
        bound_s = EVACUATION_BOUND_S if exclusion.is_domain else DRAIN_BOUND_S
        from_s = _stable_from_s(history, exclusion)
        for run in history.runs:
            name = run.failure_domain if exclusion.is_domain else run.target
            if name != exclusion.name or not from_s + bound_s < run.at_s < exclusion.until_s:
                continue
            attempt = history.attempts.get(run.request_id)
            if attempt is None or _is_held_up(history, run):
                continue
            at_s = run.at_s - own_delay_s(history, run.at_s)
            late_s = at_s - from_s - bound_s
            stretched_s = stretch_s(history, attempt, run.at_s)
            if stretched_s and not exclusion.is_domain:
                stretched_s = math.inf
            if late_s > stretched_s:
                yield Breach(
                    "leaving_gets_nothing",
                    f"{run.request_id} at {exclusion.name}, {late_s:.2f} s late",
                )


def _stable_from_s(history: History, exclusion: ExclusionSpan) -> float:
    """Return from when the bound of an exclusion counts."""
    from_s = exclusion.from_s
    refusals = [] if exclusion.is_domain else history.store_refusals
    for began_s, until_s in sorted([*history.store_disruptions, *refusals]):
        if began_s <= from_s <= until_s + STABLE_WINDOW_S:
            from_s = until_s + STABLE_WINDOW_S
    return from_s


def _is_held_up(history: History, run: TargetRun) -> bool:
    return any(
        target == run.target and from_s <= run.at_s <= until_s + STABLE_WINDOW_S
        for target, from_s, until_s in history.link_disruptions
    )


def planned_stop_cuts_nothing(history: History) -> Iterator[Breach]:
    """Yield a breach for each request left unanswered without an unplanned disruption."""
    for attempt in history.attempts.values():
        if attempt.status is not None or not attempt.must_be_answered or attempt.ended_s is None:
            continue
        if _reached_deadline_in_overload(history, attempt):
            continue
        if not any(
            from_s <= attempt.ended_s and attempt.sent_s <= until_s
            for from_s, until_s in history.disruptions
        ):
            yield Breach("planned_stop_cuts_nothing", f"{attempt.request_id} through {attempt.vm}")


def all_is_served_again(history: History) -> Iterator[Breach]:
    """Yield a breach if too few requests are served after the last disruption."""
    late = [
        attempt
        for attempt in history.attempts.values()
        if attempt.sent_s >= history.recovered_from_s and not attempt.crashes_targets
    ]
    served = sum(attempt.status == 200 for attempt in late)
    if late and served < MIN_SERVED_SHARE * len(late):
        yield Breach("all_is_served_again", f"{served} of {len(late)} served")


def crashing_request_is_stopped(history: History) -> Iterator[Breach]:
    """Yield a breach for each request that goes on to crash targets after the third crash."""
    runs_by_path: dict[str, list[TargetRun]] = {}
    for run in sorted(history.runs, key=lambda run: run.at_s):
        attempt = history.attempts.get(run.request_id)
        if attempt is not None and attempt.crashes_targets:
            runs_by_path.setdefault(run.path, []).append(run)
    for path, runs in runs_by_path.items():
        late = [
            run
            for run in runs[3:]
            if run.at_s > runs[2].at_s + STABLE_WINDOW_S and _is_in_touch(history, run)
        ]
        if len(late) > MAX_LATE_CRASHING_RUNS:
            yield Breach(
                "crashing_request_is_stopped", f"{path}: {len(runs)} runs, {len(late)} of them late"
            )


def limits_are_kept(history: History) -> Iterator[Breach]:
    """Yield a breach for each target that ran more requests than the limit that it named allows."""
    for span in history.limits:
        times_s = sorted(
            run.at_s
            for run in history.runs
            if run.target == span.target
            and span.from_s + STABLE_WINDOW_S <= run.at_s < span.until_s
            and _is_in_touch(history, run)
        )
        most = max(
            (
                sum(at_s <= other_s < at_s + LIMIT_WINDOW_S for other_s in times_s)
                for at_s in times_s
            ),
            default=0,
        )
        if most > LIMIT_OVERSHOOT * LIMIT_WINDOW_S * span.per_s + LIMIT_EXTRA_REQUESTS:
            yield Breach(
                "limits_are_kept", f"{span.target}: {most} in 4 s at {span.per_s} a second"
            )


def started_vm_is_ready(history: History) -> Iterator[Breach]:
    """Yield a breach for each entry VM that wasn't ready in time after a start."""
    for start in history.vm_starts:
        if start.took_s > READY_BOUND_S:
            yield Breach(
                "started_vm_is_ready", f"{start.vm} was not ready within {start.took_s:.1f} s"
            )


def _reached_deadline_in_overload(history: History, attempt: Attempt) -> bool:
    """Return whether a caller waited to its deadline for a VM whose processor is full."""
    ended_s = attempt.ended_s or attempt.sent_s
    return ended_s - attempt.sent_s >= DEADLINE_S and any(
        from_s <= ended_s and attempt.sent_s <= until_s for from_s, until_s in history.overloads
    )


def _is_in_touch(history: History, run: TargetRun) -> bool:
    """Return whether neither the entry VM that sent a run nor the store was disturbed before."""
    vm = history.attempts[run.request_id].vm
    own = [(from_s, until_s) for name, from_s, until_s in history.vm_disruptions if name == vm]
    return not any(
        from_s <= run.at_s <= until_s + STABLE_WINDOW_S
        for from_s, until_s in (*own, *history.store_disruptions, *history.store_refusals)
    )


Check = Callable[[History], Iterator[Breach]]

CHECKS: tuple[Check, ...] = (
    runs_at_most_once,
    refused_is_not_run,
    answers_are_own_and_whole,
    nothing_runs_unasked,
    leaving_gets_nothing,
    configuration_is_in_force,
    runs_at_home,
    configuration_never_goes_back,
    proper_requests_are_not_denied,
    planned_stop_cuts_nothing,
    all_is_served_again,
    crashing_request_is_stopped,
    limits_are_kept,
    started_vm_is_ready,
)


def breaches(history: History) -> list[Breach]:
    """Return the breaches of all promises."""
    return [breach for check in CHECKS for breach in check(history)]
