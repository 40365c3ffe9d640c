"""The store comes back from a copy that is some seconds old; later changes are to be followed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import Backend, CannotRunError, Site, call, configuration, run_case, trouble

PROPAGATION_S = 2.5  # config-propagation-s
DRAIN_S = 2.5  # drain-s
STRETCH_S = 6.0  # max-stretch-s, granted although the store is stable again
WATCHED_S = 16.0


def routes(order_service: str) -> list[dict]:
    return [
        {"name": "orders", "path-prefix": "/order/", "kind": "unsafe", "service": order_service},
        {"name": "reads", "path-prefix": "/read/", "kind": "safe", "service": "app"},
    ]


async def case(site: Site) -> bool:
    store, record = site.store, site.record
    await store.listen()
    site.write_config(configuration(3, routes("app"), ["app", "desk"]))
    leaver = await site.add_backend(Backend("i-app-1", "app", "north-a", record))
    await site.add_backend(Backend("i-app-2", "app", "north-b", record))
    app_3 = await site.add_backend(Backend("i-app-3", "app", "south-a", record))
    desk = await site.add_backend(Backend("i-desk-1", "desk", "north-a", record))
    await site.add_backend(Backend("i-desk-2", "desk", "south-a", record))
    for zone in ("north-a", "north-b", "south-a", "south-b"):
        site.add_vm(zone)
    for vm in site.vms:
        await vm.wait_until_ready()
    await asyncio.sleep(5)

    copy = store.copy()
    record(f"a copy of the store is made at revision {copy[0]}", show=True)
    await asyncio.sleep(0.2)
    for zone in ("north-a", "north-b", "south-a"):
        site.add_vm(zone)
    for vm in site.vms[4:]:
        await vm.wait_until_ready()
    while len([key for key in store.objects if key[0] == "entry-vms"]) < len(site.vms):
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.5)
    record(f"store: revision {store.revision} before the drill, era {store.era}", show=True)

    if trouble():
        store.go_away()
        record("store: away", show=True)
        await asyncio.sleep(0.5)
        store.come_back_from(copy)
        record(f"store: back from the copy, revision {store.revision}, era {store.era}", show=True)
        for backend in site.backends:  # an equal entry changes nothing
            site.register(backend)
        site.write_config(configuration(3, routes("app"), ["app", "desk"]))
    calls_before = store.calls
    await asyncio.sleep(10)  # longer than stable-window-s and catch-up-s together
    record(f"store: {store.calls - calls_before} calls in 10 s", show=True)
    for vm in site.vms:
        status, _ = await call(vm.front, "/order/before", f"b-{vm.name}", record, method="POST",
                               body=b"order", address=vm.host)
        if status != 200:
            raise CannotRunError(f"{vm.name} does not serve before the change")

    site.write_config(configuration(4, routes("desk"), ["app", "desk"]))
    changed_s = record.now()
    leaver.state = "draining"
    site.register(leaver)
    serial = 0
    calls: list[asyncio.Task] = []
    sent_s: dict[str, float] = {}
    while record.now() < changed_s + WATCHED_S:
        for vm in site.vms:
            for path, method in (("/order/x", "POST"), ("/read/x", "GET")):
                serial += 1
                rid = f"r-{serial}-{vm.name}"
                sent_s[rid] = record.now()
                calls.append(asyncio.create_task(call(
                    vm.front, path, rid, record, method=method,
                    body=b"order" if method == "POST" else b"", address=vm.host)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*calls)

    old_service = [
        rid for backend in site.backends if backend.service == "app"
        for _, rid, path, _ in backend.runs
        if path.startswith("/order/") and sent_s.get(rid, 0) > changed_s + PROPAGATION_S + STRETCH_S
    ]
    at_leaver = [
        rid for at_s, rid, _, _ in leaver.runs
        if at_s > changed_s + DRAIN_S and sent_s.get(rid, 0) > changed_s + STRETCH_S
    ]
    right = [rid for backend in (desk,) for _, rid, path, _ in backend.runs]
    record(f"CONFIG: {len(old_service)} orders, sent over {PROPAGATION_S + STRETCH_S} s after r4 was "
           f"acknowledged, were run by the old service; i-desk-1 ran {len(right)} requests", show=True)
    record(f"DRAIN: {len(at_leaver)} requests, sent over {STRETCH_S} s after i-app-1 was acknowledged "
           f"as draining, were run by it", show=True)
    record(f"(i-app-3 ran {len(app_3.runs)})")
    return bool(old_service or at_leaver)


run_case(__file__, case)
