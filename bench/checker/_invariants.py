"""Define the promises of the product as named invariants over the records of a run."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from bench.checker._answers import is_own_and_whole
from bench.checker._records import CallerRecord, Outcome, PlannedStop, RequestKind, TargetRun, Trace

MAX_CONFIGURATION_DELAY_S = 3.0
MAX_LEAVING_DELAY_S = 3.0
MAX_OVERLOAD_S = 1.0
NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant and a description of the records that show the violation."""

    invariant: str
    detail: str


Invariant = Callable[[Trace], Iterator[str]]


def check(trace: Trace) -> tuple[Violation, ...]:
    """Return every violation found in the records of a run."""
    return tuple(
        Violation(name, detail)
        for name, invariant in INVARIANTS.items()
        for detail in invariant(trace)
    )


def _executed_runs(trace: Trace) -> Iterator[TargetRun]:
    return (run for run in trace.runs if not run.was_shed)


def _shift_within_cap(trace: Trace) -> Iterator[str]:
    for shift in trace.shifts:
        seen = [
            record
            for record in sorted(trace.lookups, key=lambda record: record.at_s)
            if record.service == shift.service
        ]
        home_regions = {record.block: record.region for record in reversed(seen)}
        blocks_away: set[str] = set()
        for record in seen:
            if not shift.from_s <= record.at_s <= shift.until_s:
                continue
            if record.region == home_regions[record.block]:
                blocks_away.discard(record.block)
                continue
            blocks_away.add(record.block)
            if len(blocks_away) > shift.max_blocks:
                yield f"{len(blocks_away)} blocks outside their home region, cap {shift.max_blocks}"
                break


def _one_of_racing_confirms_wins(trace: Trace) -> Iterator[str]:
    accepted: dict[tuple[str, str], set[str]] = {}
    for confirm in trace.confirms:
        if confirm.is_accepted:
            accepted.setdefault((confirm.service, confirm.base), set()).add(confirm.plan)
    for (service, base), plans in accepted.items():
        if len(plans) > 1:
            yield f"plans {', '.join(sorted(plans))} of {service} on base {base} were all accepted"


def _no_region_overloaded(trace: Trace) -> Iterator[str]:
    for limit in trace.slots:
        changes: list[tuple[float, int]] = []
        for run in _executed_runs(trace):
            if (run.region, run.service) == (limit.region, limit.service):
                end_s = run.started_s if run.ended_s is None else run.ended_s
                changes += [(run.started_s, 1), (end_s, -1)]
        in_flight, over_since_s = 0, None
        for at_s, change in sorted(changes):
            in_flight += change
            if in_flight <= limit.slots:
                if over_since_s is not None and at_s - over_since_s > MAX_OVERLOAD_S:
                    yield f"{limit.region} over {limit.slots} slots for {at_s - over_since_s:.1f} s"
                over_since_s = None
            elif over_since_s is None:
                over_since_s = at_s


def _answers_are_own_and_whole(trace: Trace) -> Iterator[str]:
    for record in trace.attempts:
        if record.outcome is Outcome.WHOLE and not is_own_and_whole(record):
            yield f"{record.request_id} accepted {record.body[:120]!r} as a complete answer"


def _not_run_is_true(trace: Trace) -> Iterator[str]:
    run_by_id = {run.request_id: run for run in _executed_runs(trace)}
    for record in trace.attempts:
        if record.ran == NOT_RUN and record.request_id in run_by_id:
            yield (
                f"{record.request_id} was reported as not run but ran at "
                f"{run_by_id[record.request_id].target}: {record.reason}"
            )


def _not_run_is_true_of_resends(trace: Trace) -> Iterator[str]:
    started: dict[str, float] = {}
    for run in _executed_runs(trace):
        if run.key is not None:
            started[run.key] = min(run.started_s, started.get(run.key, run.started_s))
    for record in trace.attempts:
        if record.ran == NOT_RUN and started.get(record.key or "", record.ended_s) < record.ended_s:
            yield (
                f"order {record.key} ran before {record.request_id} was reported as not run: "
                f"{record.reason}"
            )


def _orders_run_at_most_once(trace: Trace) -> Iterator[str]:
    targets_by_key: dict[str, list[str]] = {}
    for run in _executed_runs(trace):
        if run.kind is RequestKind.ORDER:
            targets_by_key.setdefault(run.key or "", []).append(run.target)
    for key, targets in targets_by_key.items():
        if len(targets) > 1:
            yield f"order {key} ran at {', '.join(targets)}"


def _leaving_target_gets_no_new_work(trace: Trace) -> Iterator[str]:
    for leaving in trace.leavings:
        for run in trace.runs:
            is_late = leaving.announced_s + MAX_LEAVING_DELAY_S < run.started_s < leaving.until_s
            if run.target == leaving.target and is_late:
                delay_s = run.started_s - leaving.announced_s
                yield (
                    f"{run.target} got {run.request_id} {delay_s:.1f} s after the target's leaving "
                    "was announced"
                )


def _planned_stop_cuts_nothing(trace: Trace) -> Iterator[str]:
    target_by_request = {run.request_id: run.target for run in trace.runs}
    for stop in trace.stops:
        if stop.exit_code != 0:
            yield f"{stop.entry} ended a planned stop with exit code {stop.exit_code}"
        for record in trace.attempts:
            if not _was_cut(record, stop):
                continue
            vms = {record.entry, target_by_request.get(record.request_id)}
            is_excused = any(
                item.vm in vms and item.overlaps(record.sent_s, record.ended_s)
                for item in trace.disruptions
            )
            if not is_excused:
                yield (
                    f"{record.request_id} ended {record.outcome.value} during the planned stop of "
                    f"{stop.entry}"
                )


def _was_cut(record: CallerRecord, stop: PlannedStop) -> bool:
    is_cut = record.outcome in (Outcome.SHORT, Outcome.LOST)
    is_during = record.sent_s <= stop.ended_s and record.ended_s >= stop.requested_s
    return is_cut and is_during and record.entry == stop.entry


def _configuration_in_force_in_time(trace: Trace) -> Iterator[str]:
    for write in trace.writes:
        for seen in trace.revisions:
            due_s = write.at_s + MAX_CONFIGURATION_DELAY_S
            if seen.at_s < due_s or seen.revision >= write.version:
                continue
            is_excused = any(
                item.vm == seen.node
                and item.overlaps(seen.at_s - MAX_CONFIGURATION_DELAY_S, seen.at_s)
                for item in trace.disruptions
            )
            if not is_excused:
                delay_s = seen.at_s - write.at_s
                yield f"{seen.node} lacks {write.name} v{write.version} after {delay_s:.1f} s"
                break


def _configuration_never_reverts(trace: Trace) -> Iterator[str]:
    highest: dict[str, int] = {}
    for seen in sorted(trace.revisions, key=lambda record: record.at_s):
        before = highest.get(seen.node, 0)
        if seen.revision < before:
            yield f"{seen.node} went from revision {before} to {seen.revision}"
        highest[seen.node] = max(before, seen.revision)


INVARIANTS: Mapping[str, Invariant] = MappingProxyType(
    {
        "shift_within_cap": _shift_within_cap,
        "one_of_racing_confirms_wins": _one_of_racing_confirms_wins,
        "no_region_overloaded": _no_region_overloaded,
        "answers_are_own_and_whole": _answers_are_own_and_whole,
        "not_run_is_true": _not_run_is_true,
        "not_run_is_true_of_resends": _not_run_is_true_of_resends,
        "orders_run_at_most_once": _orders_run_at_most_once,
        "leaving_target_gets_no_new_work": _leaving_target_gets_no_new_work,
        "planned_stop_cuts_nothing": _planned_stop_cuts_nothing,
        "configuration_in_force_in_time": _configuration_in_force_in_time,
        "configuration_never_reverts": _configuration_never_reverts,
    }
)
