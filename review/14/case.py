"""One backend of six that answers without end, in small chunks, stops a machine for all callers."""

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

import ordinary
from lab import CannotRunError, RouteRow, Site, configuration, free_port, next_host, run_case
from lab import trouble, until
from light_target import LightTarget

from chervilmill.addresses import Address

CASE = Path(__file__).resolve().parent
PLAY_S = 30.0
PER_S = 40
TIMEOUT_S = 2.0
WORK_S = 0.1
SLOTS = 6
ROUTES = (RouteRow("reads", "/read/", "safe", timeout_s=TIMEOUT_S),)


async def scenario(site: Site) -> bool:
    site.store.put("config", "main", configuration(1, ROUTES))
    targets = [LightTarget(f"t{number}", slots=SLOTS, work_s=WORK_S) for number in range(1, 6)]
    for target in targets:
        await site.add_target(target)  # type: ignore[arg-type]
    host = next_host()
    address = Address(host, free_port(host))
    out_path = site.folder / "bad.txt"
    with out_path.open("wb") as out:
        bad = subprocess.Popen(
            [
                sys.executable,
                str(CASE / "bad_target.py"),
                "t0",
                host,
                str(address.port),
                str(SLOTS),
                str(WORK_S),
            ],
            stdout=out,
            stderr=out,
        )

    async def listens() -> bool:
        return "listens" in out_path.read_text()

    try:
        await until(listens, 10.0)
        entry = LightTarget("t0", slots=SLOTS).entry(
            "app", address, "north-a", int(time.time() * 1000)
        )
        site.store.put("servers", "t0", entry)
        vm = site.add_vm("vm-1")
        await site.start()
        before = await ordinary.play(vm, site, 5.0, PER_S, TIMEOUT_S)
        if before.answers["200"] < 190:
            raise CannotRunError(f"not served before the disruption: {before.answers}")
        if trouble():
            bad.send_signal(signal.SIGUSR1)
            site.record("t0 turns bad")
        seen = await ordinary.play(vm, site, PLAY_S, PER_S, TIMEOUT_S)
    finally:
        bad.kill()
        bad.wait()
    lines = out_path.read_text().splitlines()
    site.record(f"t0 answered {len(lines) - 1} requests without end: {lines[1:9]}")
    for target in targets:
        site.record(f"{target.name} ran {len(target.runs)} requests")
    late, later = seen.unanswered_at_timeout, seen.unanswered_later
    site.record(f"unanswered at the time-out of the route: {late}, half a second later: {later}")
    # CONFIG: eight or more, and more than half of them without an answer half a second later.
    return late < 8 or 2 * later <= late


SITE = Site(CASE)
sys.exit(run_case(CASE, scenario, SITE))
