"""Wire the parts of a node together."""

import math
import random
import threading
import time

from chervilmill.callers import (
    Attempts,
    CallersApp,
    CallerWatch,
    EarlyRefusalCounter,
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
    publish_crash,
    receive_crashes,
)
from chervilmill.coordination import (
    Directory,
    HeldConfiguration,
    HttpPlatform,
    OrderLedger,
    Vm,
)
from chervilmill.http import HttpServer
from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.nodes import Nodes, link_resource
from chervilmill.operators import (
    LeavingMarks,
    NodeStatus,
    OperatorsApp,
    Route,
    SteeringRoutes,
    status_routes,
)
from chervilmill.reasons import DropReason
from chervilmill.requests import CrashNews
from chervilmill.settings import Settings
from chervilmill.steering import (
    Headroom,
    LinkBudget,
    LookupVersions,
    RegionLinks,
    SharedRates,
    ShiftRunner,
    SteeringTable,
    SteeringWorld,
    VmEvidence,
    headroom,
)
from chervilmill.targets import HttpTargets

OPERATOR_THREADS = 4
IDLE_CLOSE_S = 1
CLOSE_TIMEOUT_S = 5.0
ORDERS_STOP_TIMEOUT_S = 10.0


class _NodeView:
    """Hide this node from look-ups once it is leaving."""

    def __init__(self, directory: Directory, name: str) -> None:
        self._directory = directory
        self._name = name
        self.is_leaving = False

    def entry_vms(self) -> tuple[Vm, ...]:
        vms = self._directory.entry_vms()
        if not self.is_leaving:
            return vms
        return tuple(vm for vm in vms if vm.name != self._name)


class Daemon:
    """Hold the running parts of one node."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.in_flight = InFlight()
        self.metrics.in_flight.set_function(lambda: self.in_flight.count)
        platform = HttpPlatform(settings.platform.address, settings.platform.timeout_ms / 1000)
        self._platform = platform
        self.directory = Directory()
        self.configuration = HeldConfiguration()
        self.nodes = Nodes(
            settings,
            platform,
            self.configuration,
            self.directory,
            self.metrics,
            lambda: self.in_flight.count,
        )
        self._orders = OrderLedger(platform)
        self._watch = CallerWatch()
        self._targets = HttpTargets(_connections(settings), self._count_extra_bytes)
        self._services = build_services(
            settings,
            self.directory,
            self._targets.is_reachable,
            self._on_crash,
            random.Random(),
        )
        receive_crashes(self.nodes, self._services)
        self._prober = Prober([parts.places for parts in self._services.values()], self._targets)
        self._view = _NodeView(self.directory, settings.node.name)
        self._world = SteeringWorld(settings, self.directory)
        self._table = SteeringTable(self._world, settings)
        self._link_rates = SharedRates(self.nodes)
        self._link_budget = LinkBudget(self._link_rates.user("requests"), link_resource)
        self._shifts = self._shift_runner()
        self._callers = self._callers_server()
        self._operators = self._operators_server()
        self._stop_asked = threading.Event()
        self._is_serving = False

    def start(self) -> None:
        """Begin to serve callers and operators, or raise OSError."""
        self.nodes.start()
        self.configuration.subscribe(self._table.receive)
        self._shifts.start()
        self._orders.start()
        self._watch.start()
        self._prober.start()
        self._operators.start()
        if self.nodes.wait_until_ready(self._stop_asked):
            self._callers.start()
            self._is_serving = True
        log_event("node started", callers=str(self.settings.node.callers))

    def ask_stop(self) -> None:
        """Begin a graceful stop; asking again changes nothing."""
        self._stop_asked.set()

    def run(self) -> None:
        """Wait for a stop to be asked for, then end without cutting a request."""
        self._stop_asked.wait()
        started_s = time.monotonic()
        self._view.is_leaving = True
        self.nodes.leave()
        log_event("node leaving", in_flight=self.in_flight.count)
        if self._is_serving:
            self._end_serving()
        self._prober.stop()
        self._watch.stop()
        self._shifts.stop()
        self._orders.stop(ORDERS_STOP_TIMEOUT_S)
        self._operators.stop()
        self.nodes.stop()
        elapsed_s = time.monotonic() - started_s
        self.metrics.drain.labels("entry").observe(elapsed_s)
        log_event("node stopped", drain_s=round(elapsed_s, 3))

    def _end_serving(self) -> None:
        time.sleep(self.settings.limits.lookup_lifetime_s)
        self._callers_app.refuses_new = True
        self._callers.refuse_keep_alive()
        self.in_flight.wait_until_idle()
        self._callers.drain(IDLE_CLOSE_S, CLOSE_TIMEOUT_S)
        self._callers.stop()

    def status(self) -> NodeStatus:
        """Return what an operator sees of this node."""
        node, services = self.settings.node, self.settings.services
        freshness = self.nodes.freshness()
        return NodeStatus(
            node=node.name,
            region=node.region,
            failure_domain=node.failure_domain,
            is_leaving=self._view.is_leaving,
            in_flight=self.in_flight.count,
            revision=self.configuration.snapshot().revision if self._is_serving else None,
            entry_vms=tuple(vm.name for vm in self.directory.entry_vms()),
            targets={item.name: len(self.directory.targets(item.name)) for item in services},
            nodes_present=self.nodes.present(),
            configuration_age_s=None if math.isinf(freshness.age_s) else freshness.age_s,
            is_stale=freshness.is_stale,
            headroom=self._headroom(),
        )

    def _headroom(self) -> dict[str, Headroom]:
        snapshot = self.configuration.snapshot()
        services = self.settings.services
        return {item.name: headroom(self._world, snapshot, item) for item in services}

    def _refresh_metrics(self) -> None:
        for service, found in self._headroom().items():
            for place, part in found.by_place.items():
                self.metrics.headroom.labels(service, place).set(part)
            after_loss = self.metrics.headroom_after_loss
            after_loss.labels(service, "failure_domain").set(found.after_domain_loss)
            after_loss.labels(service, "region").set(found.after_region_loss)

    def _operator_routes(self) -> tuple[Route, ...]:
        steering = SteeringRoutes(
            self._platform, self.settings, self._world, self._table, self.metrics
        )
        return (
            *status_routes(self.status),
            *LeavingMarks(self._platform).routes(),
            *steering.routes(),
        )

    def _shift_runner(self) -> ShiftRunner:
        return ShiftRunner(
            self._platform,
            self.configuration,
            self.settings,
            self._world,
            VmEvidence(self._world, self.directory, LookupVersions(), self._platform),
            time.monotonic,
            self.metrics.count_shift_wait,
            self._tick,
        )

    def _tick(self) -> None:
        self._table.tick()
        self._link_budget.tick()

    def _operators_server(self) -> HttpServer:
        settings = self.settings
        return HttpServer(
            settings.node.operators,
            OperatorsApp(
                settings.operators_token,
                self.metrics,
                self._operator_routes(),
                self._refresh_metrics,
            ),
            threads=OPERATOR_THREADS,
        )

    def _callers_server(self) -> HttpServer:
        settings = self.settings
        lookups = Lookups(self._view, self._table, settings.limits.lookup_lifetime_s)
        self._callers_app = CallersApp(
            settings, lookups, self._forwarder(), self._watch, self.in_flight, self.metrics
        )
        return HttpServer(
            settings.node.callers,
            self._callers_app,
            threads=settings.limits.request_threads,
            max_header_bytes=settings.limits.max_header_bytes,
            io_timeout_s=settings.limits.idle_timeout_s,
            least_bytes_per_s=settings.limits.least_bytes_per_s,
            keep_alive_s=settings.limits.keep_alive_s,
            max_connections=settings.limits.max_connections,
            early_refusals=EarlyRefusalCounter(self.metrics),
        )

    def _forwarder(self) -> Forwarder:
        links = Links(self._link_rates.user("uploads"), self.settings.node.region, link_resource)
        reach = RegionLinks(self.settings, self._link_budget)
        steered = SteeredRequests(self._table, reach, self.settings.node.region)
        attempts = Attempts(self._services, self._targets, links, self.metrics, steered)
        retries = Retries(attempts, self._services, self._watch, self.metrics, random.Random())
        settings = self.settings
        owners = OrderOwners(
            self.directory,
            self._targets,
            settings.node.name,
            settings.nodes_key,
            settings.platform.region,
            self._orders.shards,
        )
        return Forwarder(retries, Orders(self._orders, attempts, owners))

    def _count_extra_bytes(self) -> None:
        self.metrics.count_dropped("", DropReason.EXTRA_BYTES)

    def _on_crash(self, service: str, news: CrashNews) -> None:
        publish_crash(self.nodes, service, news)


def _connections(settings: Settings) -> int:
    return max(service.connections_per_target for service in settings.services)
