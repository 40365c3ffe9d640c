"""Construct the components of a node and control their start and stop."""

import functools
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
    publish_limit,
    receive_crashes,
    receive_limits,
)
from chervilmill.coordination import (
    ConfigurationCache,
    Directory,
    HttpPlatform,
    OrderLedger,
    Vm,
)
from chervilmill.http import HttpServer
from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.nodes import NodeService, link_resource
from chervilmill.operators import (
    LeavingMarks,
    NodeStatus,
    OperatorsApp,
    Route,
    SteeringRoutes,
    status_routes,
)
from chervilmill.reasons import DropReason
from chervilmill.settings import Settings
from chervilmill.steering import (
    Headroom,
    LinkBudget,
    LookupVersions,
    RegionLinks,
    SharedRates,
    ShiftRunner,
    SteeringModel,
    SteeringTable,
    VmEvidence,
    headroom,
)
from chervilmill.targets import HttpTargets

OPERATOR_THREADS = 4
IDLE_CLOSE_S = 1  # while draining, a connection without a request is closed after this time
CLOSE_TIMEOUT_S = 5.0
ORDERS_STOP_TIMEOUT_S = 10.0


class _LookupEntryVms:
    """The entry VMs for look-ups, without this node once it is leaving."""

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
    """The components of one node and their life cycle."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.in_flight = InFlight()
        self.metrics.in_flight.set_function(lambda: self.in_flight.count)
        platform = HttpPlatform(settings.platform.address, settings.platform.timeout_ms / 1000)
        self._platform = platform
        self.directory = Directory()
        self.configuration = ConfigurationCache()
        self.nodes = NodeService(
            settings,
            platform.in_background(),
            self.configuration,
            self.directory,
            self.metrics,
            lambda: self.in_flight.count,
        )
        self._order_ledger = OrderLedger(platform)
        self._caller_watch = CallerWatch()
        self._targets = HttpTargets(_max_connections_per_target(settings), self._count_extra_bytes)
        self._services = build_services(
            settings,
            self.directory,
            self._targets.is_reachable,
            functools.partial(publish_crash, self.nodes),
            functools.partial(publish_limit, self.nodes),
            random.Random(),
        )
        receive_crashes(self.nodes, self._services)
        receive_limits(self.nodes, self._services)
        self._prober = Prober([state.slots for state in self._services.values()], self._targets)
        self._lookup_entry_vms = _LookupEntryVms(self.directory, settings.node.name)
        self._steering_model = SteeringModel(settings, self.directory)
        self._steering_table = SteeringTable(self._steering_model, settings)
        self._link_rates = SharedRates(self.nodes)
        self._link_budget = LinkBudget(self._link_rates.for_user("requests"), link_resource)
        self._shifts = self._build_shift_runner()
        self._caller_server = self._build_callers_server()
        self._operator_server = self._build_operators_server()
        self._stop_requested = threading.Event()
        self._is_serving = False

    def start(self) -> None:
        """Start serving callers and operators, or raise OSError."""
        self.nodes.start()
        self.configuration.subscribe(self._steering_table.receive)
        self._shifts.start()
        self._order_ledger.start()
        self._caller_watch.start()
        self._prober.start()
        self._operator_server.start()
        if self.nodes.wait_until_ready(self._stop_requested):
            self._caller_server.start()
            self._is_serving = True
        log_event("node started", callers=str(self.settings.node.callers))

    def request_stop(self) -> None:
        """Request a graceful stop; further requests have no effect."""
        self._stop_requested.set()

    def run(self) -> None:
        """Wait until a stop is requested, then finish the requests in progress and stop."""
        self._stop_requested.wait()
        started_s = time.monotonic()
        self._lookup_entry_vms.is_leaving = True
        self.nodes.leave()
        log_event("node leaving", in_flight=self.in_flight.count)
        if self._is_serving:
            self._drain_callers()
        self._prober.stop()
        self._caller_watch.stop()
        self._shifts.stop()
        self._order_ledger.stop(ORDERS_STOP_TIMEOUT_S)
        self._operator_server.stop()
        self.nodes.stop()
        elapsed_s = time.monotonic() - started_s
        self.metrics.drain.labels("entry").observe(elapsed_s)
        log_event("node stopped", drain_s=round(elapsed_s, 3))

    def _drain_callers(self) -> None:
        """Stop serving callers after their look-ups have expired and their requests have ended."""
        time.sleep(self.settings.limits.lookup_lifetime_s)
        self._caller_app.refuses_new_requests = True
        self._caller_server.refuse_keep_alive()
        self.in_flight.wait_until_idle()
        self._caller_server.drain(IDLE_CLOSE_S, CLOSE_TIMEOUT_S)
        self._caller_server.stop()

    def status(self) -> NodeStatus:
        """Return the status of this node for operators."""
        node, services = self.settings.node, self.settings.services
        freshness = self.nodes.freshness()
        return NodeStatus(
            node=node.name,
            region=node.region,
            failure_domain=node.failure_domain,
            is_leaving=self._lookup_entry_vms.is_leaving,
            in_flight=self.in_flight.count,
            revision=self.configuration.snapshot().revision if self._is_serving else None,
            entry_vms=tuple(vm.name for vm in self.directory.entry_vms()),
            targets={item.name: len(self.directory.targets(item.name)) for item in services},
            nodes_present=self.nodes.present_count(),
            configuration_age_s=None if math.isinf(freshness.age_s) else freshness.age_s,
            is_stale=freshness.is_stale,
            headroom=self._headroom(),
        )

    def _headroom(self) -> dict[str, Headroom]:
        snapshot = self.configuration.snapshot()
        services = self.settings.services
        return {item.name: headroom(self._steering_model, snapshot, item) for item in services}

    def _refresh_metrics(self) -> None:
        for service, service_headroom in self._headroom().items():
            for place, ratio in service_headroom.by_place.items():
                self.metrics.headroom.labels(service, place).set(ratio)
            after_loss = self.metrics.headroom_after_loss
            after_loss.labels(service, "failure_domain").set(service_headroom.after_domain_loss)
            after_loss.labels(service, "region").set(service_headroom.after_region_loss)

    def _build_operator_routes(self) -> tuple[Route, ...]:
        steering = SteeringRoutes(
            self._platform, self.settings, self._steering_model, self._steering_table, self.metrics
        )
        return (
            *status_routes(self.status),
            *LeavingMarks(self._platform).routes(),
            *steering.routes(),
        )

    def _build_shift_runner(self) -> ShiftRunner:
        return ShiftRunner(
            self._platform,
            self.configuration,
            self.settings,
            self._steering_model,
            VmEvidence(self._steering_model, self.directory, LookupVersions(), self._platform),
            time.monotonic,
            self.metrics.count_shift_wait,
            self._tick,
        )

    def _tick(self) -> None:
        self._steering_table.tick()
        self._link_budget.tick()

    def _build_operators_server(self) -> HttpServer:
        settings = self.settings
        return HttpServer(
            settings.node.operators,
            OperatorsApp(
                settings.operators_token,
                self.metrics,
                self._build_operator_routes(),
                self._refresh_metrics,
            ),
            threads=OPERATOR_THREADS,
        )

    def _build_callers_server(self) -> HttpServer:
        settings = self.settings
        lookups = Lookups(
            self._lookup_entry_vms, self._steering_table, settings.limits.lookup_lifetime_s
        )
        self._caller_app = CallersApp(
            settings,
            lookups,
            self._build_forwarder(),
            self._caller_watch,
            self.in_flight,
            self.metrics,
        )
        return HttpServer(
            settings.node.callers,
            self._caller_app,
            threads=settings.limits.request_threads,
            max_header_bytes=settings.limits.max_header_bytes,
            io_timeout_s=settings.limits.idle_timeout_s,
            least_bytes_per_s=settings.limits.least_bytes_per_s,
            keep_alive_s=settings.limits.keep_alive_s,
            max_connections=settings.limits.max_connections,
            early_refusals=EarlyRefusalCounter(self.metrics),
        )

    def _build_forwarder(self) -> Forwarder:
        links = Links(
            self._link_rates.for_user("uploads"), self.settings.node.region, link_resource
        )
        region_links = RegionLinks(self.settings, self._link_budget)
        steered = SteeredRequests(self._steering_table, region_links, self.settings.node.region)
        attempts = Attempts(self._services, self._targets, links, self.metrics, steered)
        retries = Retries(
            attempts, self._services, self._caller_watch, self.metrics, random.Random()
        )
        settings = self.settings
        owners = OrderOwners(
            self.directory,
            self._targets,
            settings.node.name,
            settings.nodes_key,
            settings.platform.region,
            self._order_ledger.shards,
        )
        return Forwarder(retries, Orders(self._order_ledger, attempts, owners))

    def _count_extra_bytes(self) -> None:
        self.metrics.count_dropped("", DropReason.EXTRA_BYTES)


def _max_connections_per_target(settings: Settings) -> int:
    return max(service.connections_per_target for service in settings.services)
