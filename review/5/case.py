"""The store answers reads with `serializable` = 1 from data that is seconds old."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import standins
from standins import Backend, CannotRunError, Site, call, configuration, run_case, trouble

AGE_S = 4.0  # "seconds old"
PROPAGATION_S = 2.5  # config-propagation-s
DRAIN_S = 2.5  # drain-s
ROUNDS = 4
WATCHED_S = 7.0


class ReplicatedStore(standins.Store):
    """A store that answers serializable watches from a replica, and all else from the original."""

    def __init__(self, record) -> None:
        super().__init__(record)
        self.written_s: dict[int, float] = {}
        self.stale = 0
        self.linearizable = 0

    def _add(self, kind, value, is_deleted) -> None:
        self.written_s[self.revision] = time.monotonic()
        super()._add(kind, value, is_deleted)

    async def _perform(self, method, target, body, port):
        if method == "GET":
            is_stale = "serializable=1" in target
            self.stale += is_stale
            self.linearizable += not is_stale
            if trouble() and is_stale and "watch=" in target:
                return await self._watch_replica(target, port)
        return await super()._perform(method, target, body, port)

    async def _watch_replica(self, target, port):
        kind = target.partition("?")[0].rpartition("/")[2]
        query = dict(item.split("=") for item in target.partition("?")[2].split("&"))
        since, until_s = int(query["watch"]), time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            old_s = time.monotonic() - AGE_S
            seen = [item for item in self.history if self.written_s[item[0]] <= old_s]
            events = [{"object": value, "deleted": is_deleted}
                      for revision, changed, value, is_deleted in seen
                      if changed == kind and revision > since]
            if events or time.monotonic() >= until_s:
                as_of = max([since, *(item[0] for item in seen)])
                return 200, {"events": events, "as-of": as_of}
            await asyncio.sleep(0.02)


def routes(order_service: str) -> list[dict]:
    return [
        {"name": "orders", "path-prefix": "/order/", "kind": "unsafe", "service": order_service},
        {"name": "reads", "path-prefix": "/read/", "kind": "safe", "service": "app"},
    ]


async def case(site: Site) -> bool:
    record = site.record
    site.store = store = ReplicatedStore(record)
    await store.listen()
    site.write_config(configuration(3, routes("app"), ["app", "desk"]))
    leaver = await site.add_backend(Backend("i-app-1", "app", "north-a", record))
    for name, service, zone in (("i-app-2", "app", "north-a"), ("i-app-3", "app", "south-a"),
                                ("i-desk-1", "desk", "north-a"), ("i-desk-2", "desk", "south-a")):
        await site.add_backend(Backend(name, service, zone, record))
    for zone in ("north-a", "north-b", "south-a"):
        site.add_vm(zone)
    for vm in site.vms:
        await vm.wait_until_ready()
    await asyncio.sleep(8)  # the machines are in touch, and the replica has all of this

    serial, calls, sent_s = 0, [], {}
    moves: list[tuple[float, str]] = []
    drained_s = 0.0
    for number in range(ROUNDS):
        service = "desk" if number % 2 == 0 else "app"
        site.write_config(configuration(4 + number, routes(service), ["app", "desk"]))
        moves.append((record.now(), service))
        if number == 1:
            leaver.state = "draining"
            site.register(leaver)
            drained_s = record.now()
        until_s = record.now() + WATCHED_S
        while record.now() < until_s:
            for vm in site.vms:
                for path, method in (("/order/x", "POST"), ("/read/x", "GET")):
                    serial += 1
                    rid = f"r-{serial}-{vm.name}"
                    sent_s[rid] = record.now()
                    calls.append(asyncio.create_task(call(
                        vm.front, path, rid, record, method=method,
                        body=b"order" if method == "POST" else b"", address=vm.host)))
            await asyncio.sleep(0.1)
    results = await asyncio.gather(*calls)
    if not any(status == 200 for status, _ in results):
        raise CannotRunError("nothing was served")

    by_old: list[float] = []
    for at_s, service in moves:
        for backend in site.backends:
            for _, rid, path, _ in backend.runs:
                late_s = sent_s.get(rid, 0.0) - at_s - PROPAGATION_S
                if path.startswith("/order/") and backend.service != service \
                        and 0 < late_s < WATCHED_S - PROPAGATION_S:
                    by_old.append(late_s)
    at_leaver = [at_s - drained_s for at_s, rid, _, _ in leaver.runs
                 if at_s > drained_s + DRAIN_S and sent_s.get(rid, 0) > drained_s]
    record(f"store: {store.stale} reads with serializable = 1, {store.linearizable} without", show=True)
    record(f"CONFIG: {len(by_old)} orders, sent over {PROPAGATION_S} s after a config was acknowledged,"
           f" were run by the service of the one before; the latest {max(by_old, default=0):.2f} s"
           f" beyond the bound", show=True)
    record(f"DRAIN: {len(at_leaver)} requests reached i-app-1 over {DRAIN_S} s after it was"
           f" acknowledged as draining, the latest after {max(at_leaver, default=0):.2f} s", show=True)
    return bool(by_old or at_leaver)


run_case(__file__, case)
