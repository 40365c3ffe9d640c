"""Idle connections of one caller keep all others from an entry VM that says it is ready."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

from standins import (  # noqa: E402
    Backend,
    Record,
    Store,
    Vm,
    ask,
    configuration,
    raise_descriptor_limit,
    run_case,
)

IDLE_CONNECTIONS = 1900  # of one caller; an entry VM has 4,100 descriptors
CALLERS = 10  # ordinary ones, each at an address of its own
INTERVAL_S = 0.5  # between two requests of one of them
PLAY_S = 40.0
WINDOW_S = 4.0  # stable-window-s
CALLERS_BY_RULE = 7
READY_WITHIN_S = 1.0  # between two readiness checks


async def hold_idle(vm: Vm, opened: list[int]) -> None:
    """Hold a connection open without sending anything, and open another when it is closed."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(vm.host, vm.front)
            opened[0] += 1
            await reader.read(64)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.05)


async def scenario(record: Record, temporary: Path, vms: list[Vm], has_trouble: bool) -> bool:
    raise_descriptor_limit(3 * IDLE_CONNECTIONS)
    store = Store()
    await store.start()
    store.put("config", "main", configuration([("reads", "/read/", "safe", "app", 2.0)]))
    for number in range(6):
        await Backend(f"i-{number}", "app", store, record, "north-a").start()
    vm = Vm("vm-1", "127.0.1.1", "north-a", store, temporary)
    vms.append(vm)
    vm.start()
    await vm.wait_until_ready()
    await asyncio.sleep(4.5)  # the VM is in touch
    opened = [0]
    tries: list[tuple[float, int, int]] = []  # time, caller, status
    ready: list[tuple[float, bool]] = []
    peak_mb = 0.0

    async def call(caller: int) -> None:
        number = 0
        while True:
            number += 1
            began_s = time.monotonic()
            request_id = f"read-{caller}-{number}"
            answer = await ask(
                vm.host,
                vm.front,
                "/read/a",
                request_id,
                2500,
                from_host=f"127.0.2.{caller + 1}",
                affinity=str(number % 20),
            )
            tries.append((began_s, caller, answer.status))
            record.note("answered", id=request_id, status=answer.status)
            await asyncio.sleep(max(0.0, INTERVAL_S - (time.monotonic() - began_s)))

    async def check_readiness() -> None:
        nonlocal peak_mb
        while True:
            is_ready, _ = await asyncio.gather(vm.is_ready(), asyncio.sleep(1.0))
            ready.append((time.monotonic(), is_ready))
            peak_mb = max(peak_mb, vm.resident_mb())
            record.note("readiness", is_ready=is_ready, connections_opened=opened[0])

    tasks = [asyncio.create_task(call(caller)) for caller in range(CALLERS)]
    tasks.append(asyncio.create_task(check_readiness()))
    began_s = time.monotonic()
    if has_trouble:
        tasks += [asyncio.create_task(hold_idle(vm, opened)) for _ in range(IDLE_CONNECTIONS)]
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    # Any answer counts as a connection that was taken, also one that turns the caller away.
    taken_s = [at_s for at_s, _, status in tries if status]
    borders_s = [began_s, *sorted(taken_s), began_s + PLAY_S]
    longest_s, longest_callers = 0.0, 0
    for start_s, end_s in zip(borders_s, borders_s[1:]):
        callers = {caller for at_s, caller, _ in tries if start_s < at_s < end_s}
        is_ready = all(state for at_s, state in ready if start_s <= at_s <= end_s + READY_WITHIN_S)
        if is_ready and end_s - start_s > longest_s:
            longest_s, longest_callers = end_s - start_s, len(callers)
    statuses = [status for _, _, status in tries]
    record.say(
        "counted",
        tries=len(tries),
        served=statuses.count(200),
        refused=statuses.count(503),
        closed_without_answer=statuses.count(0),
        longest_without_any_s=round(longest_s, 1),
        callers_that_tried_then=longest_callers,
        idle_connections_opened=opened[0],
        readiness_failed=sum(not state for _, state in ready),
        peak_resident_mb=round(peak_mb),
    )
    return longest_s > WINDOW_S and longest_callers >= CALLERS_BY_RULE


run_case(FOLDER, scenario)
