"""Run one fleet under load and faults and collect the trace of the run."""

import json
import random
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from bench.checker import (
    ConfigurationWrite,
    RegionSlots,
    RequestKind,
    RevisionSeen,
    TargetRun,
    Trace,
)
from bench.faults._inject import Injector, Supervisor, write_configuration
from bench.faults._operators import race_operators, record_block_regions
from bench.faults._schedule import FaultKind, PlannedFault
from bench.fleet import Fleet, FleetSize, Shape
from bench.fleet.target import CRASH_EXIT_CODE
from bench.load import Callers, Mix, PlannedRequest, offer_load, plan_requests
from chervilmill.coordination import Vm

CRASH_REQUEST_NUMBER = 1_000_000
RESTART_AFTER_S = 0.5
STATUS_INTERVAL_S = 0.5
CONFIGURATION_INTERVAL_S = 1.5
QUIET_BEFORE_OUTAGE_S = 1.0
_KIND_BY_METHOD = {"GET": RequestKind.DIGEST, "POST": RequestKind.ORDER, "PUT": RequestKind.UPLOAD}


@dataclass(frozen=True, slots=True)
class FaultRun:
    """The shape and faults of a run and the trace that the run produced."""

    shape: Shape
    faults: tuple[PlannedFault, ...]
    trace: Trace


@dataclass(frozen=True, slots=True)
class Load:
    """The request mix, how long requests are sent and how long a target works on each request.

    If `has_operators` is set, two operators race for conflicting shifts at the start.
    """

    mix: Mix = Mix(requests_per_s=40.0)
    duration_s: float = 12.0
    work_s: float = 0.0
    has_operators: bool = False


def run_faults(
    shape: Shape, faults: Sequence[PlannedFault], seed: int, load: Load | None = None
) -> FaultRun:
    """Run a whole fleet once and return the run with its trace."""
    load = load or Load()
    trace = Trace()
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(shape, Path(directory), FleetSize(work_s=load.work_s)) as fleet:
            trace.started_s = time.monotonic()
            _run_load(fleet, faults, seed, load, trace)
        for vm in fleet.targets.values():
            trace.runs += _read_runs(fleet.records_file(vm.name), vm)
    trace.slots += _region_slots(fleet)
    return FaultRun(shape, tuple(faults), trace)


def _run_load(
    fleet: Fleet, faults: Sequence[PlannedFault], seed: int, load: Load, trace: Trace
) -> None:
    stopped = threading.Event()
    started_s = trace.started_s
    injector = Injector(fleet, trace)
    supervisor = Supervisor(fleet, trace, CRASH_EXIT_CODE)
    observers = ThreadPoolExecutor(len(fleet.entries) + 3, thread_name_prefix="observer")
    injections = ThreadPoolExecutor(len(faults) + 1, thread_name_prefix="fault")
    with observers, injections:
        injection_futures = [
            injections.submit(injector.inject, fault, started_s) for fault in faults
        ]
        observer_futures = [observers.submit(supervisor.run, stopped, RESTART_AFTER_S)]
        observer_futures.append(
            observers.submit(_change_configuration, fleet, trace, faults, stopped)
        )
        observer_futures.append(
            observers.submit(record_block_regions, fleet, trace, random.Random(seed), stopped)
        )
        if load.has_operators:
            injection_futures.append(
                injections.submit(race_operators, fleet, trace, random.Random(seed))
            )
        for name in fleet.entries:
            observer_futures.append(observers.submit(_read_revisions, fleet, trace, name, stopped))
        try:
            requests = _planned_requests(fleet, faults, seed, load)
            offer_load(Callers(fleet, trace), requests, threading.Event())
            for fut in injection_futures:
                fut.result()
        finally:
            stopped.set()
        for fut in observer_futures:
            fut.result()


def _planned_requests(
    fleet: Fleet, faults: Sequence[PlannedFault], seed: int, load: Load
) -> list[PlannedRequest]:
    requests = list(
        plan_requests(load.mix, len(fleet.clients), load.duration_s, random.Random(seed))
    )
    for fault in faults:
        if fault.kind is FaultKind.CRASH_REQUEST:
            base = replace(requests[0], kind=RequestKind.DIGEST, due_s=fault.from_s)
            requests.append(replace(base, number=CRASH_REQUEST_NUMBER, is_crashing=True))
    return sorted(requests, key=lambda req: req.due_s)


def _change_configuration(
    fleet: Fleet, trace: Trace, faults: Sequence[PlannedFault], stopped: threading.Event
) -> None:
    started_s = time.monotonic()
    name = f"leaving/{next(iter(fleet.entries))}"
    while not stopped.wait(CONFIGURATION_INTERVAL_S):
        if _is_near_outage(faults, time.monotonic() - started_s):
            continue
        version = write_configuration(fleet, name, b'{"leaving": false}')
        if version is not None:
            trace.writes.append(ConfigurationWrite(name, version, time.monotonic()))


def _is_near_outage(faults: Sequence[PlannedFault], at_s: float) -> bool:
    return any(
        fault.kind is FaultKind.STORE_DOWN
        and fault.from_s - QUIET_BEFORE_OUTAGE_S < at_s < fault.until_s
        for fault in faults
    )


def _read_revisions(fleet: Fleet, trace: Trace, entry: str, stopped: threading.Event) -> None:
    """Record the revision of an entry VM at intervals, whenever the VM answers callers."""
    while not stopped.wait(STATUS_INTERVAL_S):
        if not fleet.is_up(entry):
            continue
        requested_s = time.monotonic()
        status = fleet.status(entry)
        if status is not None and status["revision"] is not None:
            trace.revisions.append(RevisionSeen(entry, requested_s, int(status["revision"])))


def _read_runs(file: Path, vm: Vm) -> Iterator[TargetRun]:
    if not file.exists():
        return
    lines = [json.loads(line) for line in file.read_text().splitlines()]
    shed = {line["run"] for line in lines if line["event"] == "shed"}
    ended = {line["run"]: line["at_s"] for line in lines if line["event"] == "end"}
    for line in lines:
        if line["event"] == "start":
            yield TargetRun(
                target=vm.name,
                region=vm.region,
                service=vm.service,
                request_id=line["id"],
                kind=_KIND_BY_METHOD[line["method"]],
                key=line["key"],
                started_s=line["at_s"],
                ended_s=ended.get(line["run"]),
                was_shed=line["run"] in shed,
            )


def _region_slots(fleet: Fleet) -> Iterator[RegionSlots]:
    slots: Counter[str] = Counter()
    for vm in fleet.targets.values():
        slots[vm.region] += fleet.shape.slots
    for region, count in slots.items():
        yield RegionSlots(region, fleet.shape.service, count)
