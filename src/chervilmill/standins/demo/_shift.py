"""Step of the demonstration: an intent, its plan, and the blocks moved against the cap."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from chervilmill.coordination import Vm
from chervilmill.standins.demo._report import Report
from chervilmill.standins.demo._site import SERVICE, Site

INTENT = "more-in-brno"
CAP_PERCENT_PER_MIN = 60
SHARES = {"praha": 35, "brno": 65}
SAMPLED_CLIENTS = tuple(f"10.1.{number}.1" for number in range(0, 256, 2))
POLL_INTERVAL_S = 0.5
SHIFT_TIMEOUT_S = 30.0
CAP_WINDOW_S = 60.0
STEP_S = 5.0


@dataclass(frozen=True, slots=True)
class Reading:
    """Number of blocks moved and phase of the shift at a time of the monotonic clock."""

    at_s: float
    blocks: int
    phase: str


def show_shift(site: Site, report: Report) -> None:
    """Submit an intent, print its plan, confirm the plan and follow its steps."""
    vm = site.entries[0]
    intent = {
        "name": INTENT,
        "service": SERVICE,
        "shares": SHARES,
        "cap": {"percent_of_blocks_per_min": CAP_PERCENT_PER_MIN, "mbit_per_s": 1000},
    }
    submitted = site.command(vm, "intent", str(site.write_file("intent.jsonc", intent)))
    plan = site.command(vm, "plan", INTENT)
    _print_plan(report, submitted, plan)
    before = _places_by_client(site, vm)
    site.command(vm, "confirm", INTENT, plan["token"])
    readings = list(_follow_shift(site, vm))
    _print_steps(report, plan, readings)
    _check_claims(site, report, plan, readings, before)


def _print_plan(report: Report, submitted: dict[str, Any], plan: dict[str, Any]) -> None:
    shares = ", ".join(f"{place} {percent} %" for place, percent in SHARES.items())
    last = plan["steps"][-1]
    report.line(f"intent {INTENT} in revision {submitted['version']}: {shares}")
    report.line(
        f"plan {plan['plan']}: {last['blocks_moved']} of {plan['blocks']} blocks in "
        f"{len(plan['steps'])} steps, at most {plan['cap_blocks_per_min']} a minute"
    )


def _print_steps(report: Report, plan: dict[str, Any], readings: list[Reading]) -> None:
    for reading in readings:
        elapsed_s = reading.at_s - readings[0].at_s
        share = 100 * reading.blocks / plan["blocks"]
        allowed = 100 * _allowed_blocks(plan, elapsed_s) / plan["blocks"]
        report.line(f"{elapsed_s:5.1f} s: {share:4.1f} % of blocks moved, cap {allowed:4.1f} %")


def _check_claims(
    site: Site,
    report: Report,
    plan: dict[str, Any],
    readings: list[Reading],
    before: dict[str, str],
) -> None:
    is_within = all(
        reading.blocks <= _allowed_blocks(plan, reading.at_s - readings[0].at_s)
        for reading in readings
    )
    report.claim("no step moved more than the cap allows by then", is_within)
    is_done = readings[-1].phase == "done"
    report.claim("every step of the plan was carried out", is_done)
    after = {vm.name: _places_by_client(site, vm) for vm in (site.entries[0], site.entries[2])}
    moved = _share_moved(before, after[site.entries[0].name])
    expected = plan["steps"][-1]["blocks_moved"] / (plan["blocks"] / 2)
    report.line(f"callers of praha that moved: {moved:.0%} of a sample, {expected:.0%} planned")
    report.claim("callers moved as planned", abs(moved - expected) < 0.15)
    is_same = len({tuple(places.items()) for places in after.values()}) == 1
    report.claim("two entry VMs agree on the place of each caller", is_same)


def _follow_shift(site: Site, vm: Vm) -> Iterator[Reading]:
    """Yield a reading at the start, after each change of the moved blocks, and at the end."""
    deadline_s = time.monotonic() + SHIFT_TIMEOUT_S
    last = Reading(time.monotonic(), 0, "confirmed")
    yield last
    while last.phase not in ("done", "returned") and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)
        reading = _read(site, vm)
        if reading.blocks != last.blocks or reading.phase in ("done", "returned"):
            yield reading
            last = reading


def _read(site: Site, vm: Vm) -> Reading:
    shifts = site.query_operators(vm, "/shifts")["shifts"]
    shift = next(item for item in shifts if item["intent"] == INTENT)
    return Reading(time.monotonic(), shift["blocks_moved"], shift["phase"])


def _allowed_blocks(plan: dict[str, Any], elapsed_s: float) -> float:
    """Return how many blocks may have moved after a time.

    The cap of a minute is spread evenly over steps of `STEP_S`, and the first step may be taken at
    once.
    """
    return float(plan["cap_blocks_per_min"]) * (elapsed_s + STEP_S) / CAP_WINDOW_S


def _places_by_client(site: Site, vm: Vm) -> dict[str, str]:
    """Return the place of each sampled client according to `/explain` of an entry VM."""
    path = f"/explain?service={SERVICE}&client="
    return {
        client: str(site.query_operators(vm, path + client)["place"]) for client in SAMPLED_CLIENTS
    }


def _share_moved(before: dict[str, str], after: dict[str, str]) -> float:
    moved = sum(before[client] != after[client] for client in SAMPLED_CLIENTS)
    return moved / len(SAMPLED_CLIENTS)
