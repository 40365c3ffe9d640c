"""Run the callers' interface of entry VMs in this process, with target stand-ins."""

import random
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace

import urllib3

from chervilmill.addresses import Address
from chervilmill.callers import (
    Attempts,
    CallersApp,
    CallerWatch,
    Forwarder,
    InFlight,
    Links,
    Lookups,
    OrderOwners,
    Orders,
    Prober,
    Retries,
    SteeredRequests,
    build_services,
)
from chervilmill.coordination import OrderLedger, Vm
from chervilmill.http import HttpServer
from chervilmill.metrics import Metrics
from chervilmill.nodes import BroadcastItem, link_resource
from chervilmill.overload import LimitReport
from chervilmill.reasons import DropReason
from chervilmill.requests import CrashReport
from chervilmill.settings import check_settings
from chervilmill.standins.store import MemoryStore
from chervilmill.standins.target_server import TargetState, target_server
from chervilmill.targets import HttpTargets
from tests.support import entry_vm, free_address, raw_settings, target_vm

SERVICE = "souhrny"
TIMEOUT_S = 10


class FixedDirectory:
    """A directory of the VMs that a test lists."""

    def __init__(self, entries: list[Vm], targets: list[Vm]) -> None:
        self._entries = entries
        self.listed = targets
        self.reported: list[str] = []

    def targets(self, service: str) -> tuple[Vm, ...]:
        return tuple(vm for vm in self.listed if vm.service == service)

    def entry_vms(self) -> tuple[Vm, ...]:
        return tuple(self._entries)

    def report_leaving(self, name: str) -> None:
        self.reported.append(name)


class FixedAllotments:
    """Allotments that are the same for every cap."""

    def __init__(self, units: int = 10_000) -> None:
        self.wanted: dict[str, int] = {}
        self._units = units

    def set_demand(self, resource: str, units: int) -> None:
        self.wanted[resource] = units

    def granted_units(self, resource: str) -> int:
        return self._units


class LoopbackChannel:
    """A broadcast channel that delivers items to the listeners of the same process."""

    def __init__(self) -> None:
        self.listeners: dict[str, list] = {}

    def publish(self, topic: str, key: str, value: bytes, lifetime_s: float) -> None:
        for listener in self.listeners.get(topic, []):
            listener(BroadcastItem(topic, key, 1, int(1000 * lifetime_s), value))

    def on_broadcast(self, topic: str, listener) -> None:
        self.listeners.setdefault(topic, []).append(listener)


class Entry:
    """One entry VM that runs in this process, and a client for it."""

    def __init__(
        self,
        entries: list[Vm],
        targets: list[Vm],
        store: MemoryStore,
        name: str = "entry-1",
        steered: SteeredRequests | None = None,
    ) -> None:
        raw = raw_settings(name, Address("127.0.0.1", 1))
        raw["node"].update(callers=str(free_address()))
        raw["node"].update(operators="127.0.0.2:1", nodes="127.0.0.3:1")
        settings = check_settings(raw)
        self.metrics = Metrics()
        self.crash_reports: list[CrashReport] = []
        self.limit_reports: list[LimitReport] = []
        self.watch = CallerWatch()
        self.ledger = OrderLedger(store)
        self.directory = FixedDirectory(entries, targets)
        entries.append(entry_vm(raw))
        self.client = HttpTargets(
            33, lambda: self.metrics.count_dropped("", DropReason.EXTRA_BYTES)
        )
        self.services = build_services(
            settings,
            self.directory,
            self.client.is_reachable,
            lambda _service, report: self.crash_reports.append(report),
            lambda _service, report: self.limit_reports.append(report),
            random.Random(1),
        )
        self.prober = Prober([service.slots for service in self.services.values()], self.client)
        links = Links(FixedAllotments(), "praha", link_resource)
        attempts = Attempts(self.services, self.client, links, self.metrics, steered)
        retries = Retries(attempts, self.services, self.watch, self.metrics, random.Random(2))
        owners = OrderOwners(
            self.directory,
            self.client,
            name,
            settings.nodes_key,
            "praha",
            self.ledger.shards,
        )
        self.in_flight = InFlight()
        self.app = CallersApp(
            settings,
            Lookups(self.directory, SimpleNamespace(place_regions=()), 5),
            Forwarder(retries, Orders(self.ledger, attempts, owners)),
            self.watch,
            self.in_flight,
            self.metrics,
        )
        self.server = HttpServer(settings.node.callers, self.app, threads=24)
        self.http = urllib3.HTTPConnectionPool(
            settings.node.callers.host, settings.node.callers.port, timeout=TIMEOUT_S, maxsize=16
        )

    def start(self) -> None:
        for part in (self.watch, self.ledger, self.prober, self.server):
            part.start()

    def stop(self) -> None:
        self.http.close()
        self.server.abort()
        self.prober.stop()
        self.ledger.stop(0)
        self.watch.stop()

    def get(self, path: str, **headers: str) -> urllib3.BaseHTTPResponse:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.http.request("GET", f"/s/{SERVICE}{path}", headers=named, retries=False)

    def order(self, key: str, body: bytes = b"{}") -> urllib3.BaseHTTPResponse:
        headers = {"Idempotency-Key": key}
        return self.http.request(
            "POST", f"/s/{SERVICE}/orders", body=body, headers=headers, retries=False
        )

    def dropped(self, reason: DropReason) -> float:
        samples = self.metrics.dropped_answers.collect()[0].samples
        return sum(
            sample.value
            for sample in samples
            if sample.name.endswith("_total") and sample.labels["reason"] == reason.value
        )

    def raw(self, request: bytes) -> socket.socket:
        sock = socket.create_connection((self.http.host, self.http.port), timeout=TIMEOUT_S)
        sock.sendall(request)
        return sock


@contextmanager
def running(
    targets: int = 1,
    entries: int = 1,
    steered: SteeredRequests | None = None,
    **behaviour: object,
) -> Iterator[tuple[list[Entry], list[TargetState]]]:
    """Run entry VMs that share targets and a store; `behaviour` applies to every target.

    With `steered`, requests are limited to the failure domains that it allows.
    """
    states = [TargetState(f"target-{index}", late_s=3.0) for index in range(targets)]
    servers = [target_server(free_address(), state) for state in states]
    for state, server in zip(states, servers, strict=True):
        state.behave(dict(behaviour))
        server.start()
    vms = [
        target_vm(state.name, server.address, domain=f"praha-{'ab'[index % 2]}")
        for index, (state, server) in enumerate(zip(states, servers, strict=True))
    ]
    store = MemoryStore()
    listed: list[Vm] = []
    started = [
        Entry(listed, list(vms), store, f"entry-{index}", steered) for index in range(entries)
    ]
    for entry in started:
        entry.start()
    try:
        yield started, states
    finally:
        for entry in started:
            entry.stop()
        for server in servers:
            server.stop()


def in_thread(call, *args, **kwargs) -> tuple[threading.Thread, list]:
    """Call a function in a thread; return the thread and the list that gets its result."""
    results: list = []
    thread = threading.Thread(target=lambda: results.append(call(*args, **kwargs)))
    thread.start()
    return thread, results
