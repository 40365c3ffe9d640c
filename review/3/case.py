"""Another writer leaves an entry of a backend that can't be read."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import Backend, CannotRunError, Site, call, configuration, run_case, trouble

RESTART_S = 1.0  # "after a short delay"
WATCHED_S = 30.0
ENDS = 3
MACHINES = 2


async def case(site: Site) -> bool:
    record, store = site.record, site.store
    await store.listen()
    site.write_config(configuration(3, [
        {"name": "orders", "path-prefix": "/order/", "kind": "unsafe", "service": "app"},
    ], ["app"]))
    for number, zone in enumerate(("north-a", "south-a"), 1):
        await site.add_backend(Backend(f"i-app-{number}", "app", zone, record))
    for zone in ("north-a", "north-b", "south-a"):
        site.add_vm(zone)
    for vm in site.vms:
        await vm.wait_until_ready()
    await asyncio.sleep(5)

    if trouble():
        entry = Backend("i-other", "app", "north-a", record).entry()
        entry |= {"address": "127.0.0.1:9", "cold-remaining-s": 10**400}
        revision = store.put("servers", "i-other", entry)
        record("another writer writes the entry i-other, whose cold-remaining-s has 401 digits,"
               f" revision {revision}", show=True)
    ends = {vm.name: 0 for vm in site.vms}
    began_s = record.now()
    restart_at_s: dict[str, float] = {}
    served = sent = 0
    while record.now() < began_s + WATCHED_S:
        for vm in site.vms:
            if vm.process.poll() is not None and vm.name not in restart_at_s:
                ends[vm.name] += 1
                record(f"{vm.name} has ended by itself, exit code {vm.process.returncode}", show=True)
                restart_at_s[vm.name] = record.now() + RESTART_S
            elif vm.name in restart_at_s and record.now() >= restart_at_s[vm.name]:
                del restart_at_s[vm.name]
                vm.start()
                record(f"the platform starts {vm.name} again")
        for vm in site.vms:
            sent += 1
            status, _ = await call(vm.front, "/order/x", f"r-{sent}", record, method="POST",
                                   body=b"order", deadline_s=1.0, address=vm.host)
            served += status == 200
        await asyncio.sleep(0.2)
    for vm in site.vms:
        for line in vm.log_lines("task failed")[:1]:
            record(f"log of {vm.name}: {line[:300]}")
    if not sent:
        raise CannotRunError("nothing was sent")
    record(f"Fault: processes that ended by themselves: {ends}; {served} of {sent} orders served",
           show=True)
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


run_case(__file__, case)
