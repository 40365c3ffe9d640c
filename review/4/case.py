"""An entry VM without backends relays to peers, one of which is partitioned from the store."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import Backend, CannotRunError, Link, Site, call, configuration, run_case, trouble

SLACK_S = 0.25  # rollback-slack-s
ROUNDS = 3
DETECT_S = 3.0
CUT_S = 4.0  # from the store
REST_S = 6.0


def routes(order_service: str) -> list[dict]:
    return [{"name": "orders", "path-prefix": "/order/", "kind": "unsafe",
             "service": order_service}]


async def case(site: Site) -> bool:
    record, store = site.record, site.store
    ports = await store.listen(3)
    site.write_config(configuration(3, routes("app"), ["app", "desk"]))
    for name, service, zone in (("i-app-1", "app", "north-a"), ("i-app-2", "app", "north-b"),
                                ("i-desk-1", "desk", "north-a"), ("i-desk-2", "desk", "north-b")):
        await site.add_backend(Backend(name, service, zone, record))
    links = {}
    for backend in site.backends:
        links[f"127.0.0.1:{backend.port}"] = link = Link(backend)
        await link.open()

    def rewrite(port: int, kind: str, value: dict) -> dict:
        """Lead the first VM to the backends through its own links."""
        if port != ports[0] or kind != "servers":
            return value
        content = value["specification"]
        content = {**content, "address": f"127.0.0.1:{links[content['address']].port}"}
        return {**value, "specification": content}

    store.rewrite = rewrite
    front = site.add_vm("north-a", ports[0])
    site.add_vm("north-b", ports[1])
    site.add_vm("north-a", ports[2])
    for vm in site.vms:
        await vm.wait_until_ready()
    await asyncio.sleep(5)

    calls, sent_s = [], {}
    serial = 0

    async def send_for(seconds: float, pause_s: float) -> None:
        nonlocal serial
        until_s = record.now() + seconds
        while record.now() < until_s:
            serial += 1
            sent_s[f"r-{serial}"] = record.now()
            calls.append(asyncio.create_task(call(
                front.front, "/order/x", f"r-{serial}", record, method="POST", body=b"order",
                address=front.host)))
            await asyncio.sleep(pause_s)

    regressed: list[str] = []
    for number in range(ROUNDS):
        old, new = ("app", "desk") if number % 2 == 0 else ("desk", "app")
        await send_for(1.0, 0.05)
        if trouble():
            for link in links.values():
                link.cut()
            record(f"{front.name} is partitioned from all backends", show=True)
        await send_for(DETECT_S, 0.05)
        if trouble():
            store.silent_ports.add(ports[2])
            record(f"{site.vms[2].name} is partitioned from the store", show=True)
        await send_for(0.5, 0.05)
        site.write_config(configuration(4 + number, routes(new), ["app", "desk"]))
        changed_s = record.now()
        await send_for(CUT_S - 0.5, 0.02)
        store.silent_ports.clear()
        if trouble():
            for link in links.values():
                await link.open()
            record("both partitions end", show=True)
        await send_for(REST_S, 0.1)
        runs = sorted((at_s, rid, backend.service) for backend in site.backends
                      for at_s, rid, _, _ in backend.runs if at_s > changed_s)
        seen_s = next((at_s for at_s, _, service in runs if service == new), None)
        if seen_s is None:
            raise CannotRunError("the config had no effect")
        late = [rid for _, rid, service in runs
                if service == old and sent_s[rid] > seen_s + SLACK_S]
        last_s = max((sent_s[rid] for rid in late), default=0.0) - seen_s if late else 0.0
        record(f"r{4 + number}: its effect was first seen {seen_s - changed_s:.2f} s after its"
               f" acknowledgement; {len(late)} requests sent over {SLACK_S} s later were run as only"
               f" the version before allows, the last one {last_s:.2f} s later", show=True)
        regressed += late
    statuses = [status for status, _ in await asyncio.gather(*calls)]
    served = sum(status == 200 for status in statuses)
    relayed = len(front.log_lines("request relayed"))
    record(f"{served} of {len(statuses)} requests were served, {front.name} relayed at least {relayed}",
           show=True)
    if served < len(statuses) / 2 or (trouble() and not relayed):
        raise CannotRunError("too little was served, or nothing relayed")
    return bool(regressed)


run_case(__file__, case)
