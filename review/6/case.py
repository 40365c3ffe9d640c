"""One entry of another writer ends the processes of entry VMs again and again."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

from standins import Backend, Record, Store, Vm, ask, configuration, run_case  # noqa: E402

VMS = 3
BACKENDS = 22
PLAY_S = 45.0
REQUEST_INTERVAL_S = 0.02
WORK_S = 0.64  # with a response-time goal of 0.5 s, as on the sheet of the site
RESTART_S = 0.5  # until the platform starts a process again
ENDS_BY_RULE = 3
ZONES = ("north-a", "north-b")  # of the backends and the entry VMs
# A link-local address with a zone, as another kind of server may have; it is no backend of the site.
FOREIGN_ADDRESS = "fe80::1%" + "container-network-" * 4 + "0:8080"
FOREIGN_ENTRY = {
    "service": "app",
    "address": FOREIGN_ADDRESS,
    "zone": "south-b",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-remaining-s": 0,
    "sequence": 1,
}


class Platform:
    """Starts the processes of the entry VMs again when they end, and counts these ends."""

    def __init__(self, vms: list[Vm], record: Record) -> None:
        self.ends = {vm.name: 0 for vm in vms}
        self._vms = vms
        self._record = record

    async def run(self) -> None:
        while True:
            for vm in self._vms:
                if vm.has_ended:
                    self.ends[vm.name] += 1
                    code = vm.process.returncode
                    reason = vm.last_problem("task failed")
                    self._record.say(
                        "process ended by itself", vm=vm.name, exit_code=code, reason=reason
                    )
                    await asyncio.sleep(RESTART_S)
                    vm.start()
            await asyncio.sleep(0.1)


async def call(vm: Vm, number: int, counts: dict, record: Record) -> None:
    answer = await ask(
        vm.host, vm.front, "/read/a", f"read-{number}", 2500, affinity=str(number % 60)
    )
    counts[answer.status] = counts.get(answer.status, 0) + 1
    record.note("answered", id=f"read-{number}", vm=vm.name, status=answer.status)


async def send_requests(vms: list[Vm], counts: dict, record: Record) -> None:
    number = 0
    pending: set[asyncio.Task] = set()
    while True:
        number += 1
        task = asyncio.create_task(call(vms[number % len(vms)], number, counts, record))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def scenario(record: Record, temporary: Path, vms: list[Vm], has_trouble: bool) -> bool:
    store = Store()
    await store.start()
    store.put("config", "main", configuration([("reads", "/read/", "safe", "app", 2.0)]))
    for number in range(BACKENDS):
        zone = ZONES[number % len(ZONES)]
        backend = Backend(f"i-{number}", "app", store, record, zone)
        backend.work_s = WORK_S
        await backend.start()
    for number in range(1, VMS + 1):
        vm = Vm(f"vm-{number}", f"127.0.1.{number}", ZONES[number % 2], store, temporary)
        vms.append(vm)
        vm.start()
    for vm in vms:
        await vm.wait_until_ready()
    platform = Platform(vms, record)
    counts: dict[int, int] = {}
    tasks = [
        asyncio.create_task(platform.run()),
        asyncio.create_task(send_requests(vms, counts, record)),
    ]
    if has_trouble:
        store.put("servers", "x-1", FOREIGN_ENTRY)
        record.note("entry of another writer", name="x-1", entry=FOREIGN_ENTRY)
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    record.say("counted", ends=platform.ends, answers_by_status=counts)
    return sum(ends >= ENDS_BY_RULE for ends in platform.ends.values()) >= 2


run_case(FOLDER, scenario)
