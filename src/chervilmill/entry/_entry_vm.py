"""Create the parts of an entry VM, run them, and shut them down gracefully."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

from prometheus_client import generate_latest

from chervilmill.addresses import Address
from chervilmill.aio import HttpClient, HttpServer, RequestHead, ServerConnection, ServerLimits
from chervilmill.entry._allowance_gate import OpenGate
from chervilmill.entry._allowances import AllowanceGate, read_bounds
from chervilmill.entry._caller_limits import derive_guards
from chervilmill.entry._control_handlers import LookupHandler, ReadinessHandler, ReplicaHandler
from chervilmill.entry._copy_currency import CopyCurrency
from chervilmill.entry._crashes import CrashTracker
from chervilmill.entry._decision_basis import BasisReader
from chervilmill.entry._dispatch import Dispatcher
from chervilmill.entry._explain import EXPLAIN_PATH, Explainer
from chervilmill.entry._forward import Forwarder
from chervilmill.entry._leaving import LeavingTracker
from chervilmill.entry._limits import LimitTracker
from chervilmill.entry._loop_watch import LoopWatch
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._reach import ReachTracker
from chervilmill.entry._relay import Relay
from chervilmill.entry._relay_basis import EarlierPeers, OwnBasis
from chervilmill.entry._relayed import RelayedRequestHandler
from chervilmill.entry._replica_sync import ReplicaSync
from chervilmill.entry._site_state import KINDS, URGENT_KINDS, SiteState
from chervilmill.logs import log_event, log_problem
from chervilmill.metrics import Metrics
from chervilmill.overload import TargetFleet
from chervilmill.peers import (
    DEAD_AFTER_S,
    Digest,
    GossipEndpoint,
    KindReplica,
    Membership,
    Peer,
    ReportChannel,
    decode_leaving,
    decode_limits,
    decode_reports,
    encode_leaving,
    encode_limits,
    encode_reports,
)
from chervilmill.platform import (
    CONFIGURATION_KIND,
    ENTRY_VM_KIND,
    EVACUATION_KIND,
    TARGET_KIND,
    EntrySettings,
    EntryVmRegistration,
    PlatformStore,
    SettingsError,
    StoreError,
    read_settings,
)
from chervilmill.routing import CallerLimits, Target
from chervilmill.supervision import keep_running

REGISTER_TIMEOUT_S = 2.0
REGISTER_RETRY_S = 2.0
REGISTERED_WAIT_S = 30.0  # a watch returns the VM's own write within this time
TICK_S = 0.25
# A stopping VM refuses new requests from this long before the end of the grace period. Requests
# accepted earlier still have time for the longest usual time-out of a route.
REFUSE_BEFORE_GRACE_END_S = 3.1
# Leaves the interpreter time to exit before the platform kills the process.
EXIT_BEFORE_GRACE_END_S = 0.7
# Rounds of gossip to the configured seeds while the store has not listed the other VMs yet.
SEED_ROUNDS = 6
RELAY_HEADER_BYTES = 256  # what a peer adds to the headers of a caller
CONTROL_LIMITS = ServerLimits(header_bytes=16_384, header_timeout_s=3.0, idle_s=30.0)


class EntryVm:
    """An entry VM: its servers, gossip, copies of the store, and background tasks."""

    def __init__(self, settings: EntrySettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._clock = time.monotonic
        self._started_s = self._clock()
        rng = random.Random()
        self._stop_requested = asyncio.Event()
        self._metrics = Metrics()
        self._loop_watch = LoopWatch(self._metrics, self._started_s)
        own = Peer(settings.name, settings.host, settings.failure_domain)
        self._own = own
        self._membership = Membership(settings.name, int(time.time()), rng, settings.failure_domain)
        fleet = TargetFleet(settings.name, settings.region, settings.regions, rng)
        self._site_state = SiteState(
            fleet,
            self._membership,
            own,
            self._clock,
            settings.target_heartbeat_interval_s,
            settings.listen_addresses,
        )
        guards = derive_guards(
            settings.memory_mb,
            settings.max_descriptors,
            self._clock,
            lambda limit: self._metrics.caller_limits.labels(limit.value).inc(),
        )
        held = guards["callers"].held
        self._metrics.held_bytes.set_function(lambda: held.total)
        self._pool = TargetPool(held)
        self._site_state.on_lifetime_change = self._handle_lifetime_change
        self._crashes = CrashTracker(rng.random())
        self._limits = LimitTracker(fleet.rates.limits)
        self._leaving = LeavingTracker(self._site_state.mark_leaving)
        self._replicas = {kind: KindReplica(kind) for kind in KINDS}
        store_client = HttpClient(settings.store)
        self._store = PlatformStore(store_client, str(settings.store), store_client.close)
        self._sync = ReplicaSync(
            self._store,
            self._replicas,
            self._site_state.apply_change,
            URGENT_KINDS,
            EVACUATION_KIND,
            rng,
            self._loop_watch.was_late_since,
        )
        self._gossip = GossipEndpoint(
            self._membership,
            settings.gossip_port,
            self._sync.versions,
            [
                ReportChannel(self._crashes, encode_reports, decode_reports),
                ReportChannel(self._limits, encode_limits, decode_limits),
                ReportChannel(self._leaving, encode_leaving, decode_leaving),
            ],
            self._handle_digest,
        )
        self._gossip.confirmed_age_s = self._sync.confirmed_age_s
        self._gossip.proofs = self._sync.proofs
        self._loop_watch.on_tick = self._gossip.poll
        self._sync.on_urgent_change = self._gossip.announce_revisions
        self._sync.confirmer.on_read = self._gossip.announce_confirmation
        self._sync.confirmer.on_adopted = self._gossip.relay_confirmation
        self._crashes.on_urgent_report = self._gossip.request_urgent_round
        self._allowances = self._make_allowances(rng)
        self._reach = ReachTracker(self._site_state, self._pool, rng)
        self._reach.on_change = self._handle_reach_change
        own_basis = OwnBasis(self._site_state, self._replicas[EVACUATION_KIND])
        self._earlier_peers = EarlierPeers(self._sync.versions)
        self._relay = Relay(
            own,
            settings.regions,
            settings.relay_address.port,
            lambda: self._membership.peers_with_targets(self._clock()),
            self._count_near_vms,
            own_basis,
            self._earlier_peers,
            self._metrics,
            rng,
            held,
        )
        currency = CopyCurrency(
            settings.bounds, self._sync.confirmer.confirmed_s, self._sync.is_store_away
        )
        self._currency = currency
        self._sync.confirmer.schedule.act_age_s = currency.max_age_s
        basis_reader = BasisReader(
            self._site_state,
            self._replicas[TARGET_KIND],
            currency.max_age_s,
            self._sync.confirmer.confirmed_s,
            self._sync.is_store_away,
            self._started_s,
            self._replicas[CONFIGURATION_KIND],
            lambda: self._sync.proven_by(CONFIGURATION_KIND),
        )
        dispatcher = Dispatcher(
            self._site_state,
            self._pool,
            settings.bounds,
            self._metrics,
            rng,
            self._count_live_vms,
            self._stop_requested.is_set,
            self._crashes,
            self._limits,
            self._leaving,
            self._reach,
            self._relay,
            basis_reader,
            currency,
            self._loop_watch.was_late_since,
        )
        self._forwarder = Forwarder(
            self._site_state,
            dispatcher,
            self._metrics,
            self._is_view_fresh,
            currency,
            basis_reader,
            rng,
            self._allowances or OpenGate(),
        )
        self._explainer = Explainer(
            self._site_state,
            self._forwarder.splitter,
            currency.is_current,
            self._is_view_fresh,
            self._clock,
        )
        self._lookups = LookupHandler(
            own, settings.caller_address, settings.regions, self._membership, self._clock, rng
        )
        self._readiness = ReadinessHandler()
        self._caller_server = HttpServer(self._forwarder, self._caller_limits, guards["callers"])
        self._relay_server = HttpServer(
            RelayedRequestHandler(self._forwarder, own_basis),
            self._relayed_limits,
            guards["relay"],
        )
        self._servers = {
            settings.caller_address: self._caller_server,
            settings.relay_address: self._relay_server,
            settings.lookup_address: HttpServer(
                self._lookups, lambda: CONTROL_LIMITS, guards["lookups"]
            ),
            settings.readiness_address: HttpServer(
                self._readiness, lambda: CONTROL_LIMITS, guards["readiness"]
            ),
            settings.peer_address: HttpServer(
                ReplicaHandler(self._replicas, lambda: self._sync.is_settled),
                lambda: CONTROL_LIMITS,
                guards["peers"],
            ),
            settings.metrics_address: HttpServer(
                self._answer_metrics, lambda: CONTROL_LIMITS, guards["metrics"]
            ),
        }
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until a stop is requested, then finish the requests in progress."""
        log_event("started", step="start", host=self._settings.host)
        for address, server in self._servers.items():
            await server.listen(address)
        await self._gossip.open(self._settings.host)
        for kind in KINDS:
            self._spawn(f"follow {kind}", partial(self._sync.run, kind))
        self._spawn("confirm copies", self._sync.confirmer.run)
        self._spawn("gossip", self._gossip.run)
        self._spawn("become ready", self._become_ready)
        self._spawn("tick", self._tick)
        self._spawn("reach targets", self._reach.run)
        self._spawn("watch loop", self._loop_watch.run)
        await self._stop_requested.wait()
        await self._stop()

    def request_stop(self) -> None:
        """Request a graceful stop."""
        self._stop_requested.set()

    def abort(self) -> None:
        """Close all connections and cancel all tasks immediately."""
        for task in list(self._tasks):
            task.cancel()
        for server in self._servers.values():
            server.stop_accepting()
            for conn in list(server.connections):
                conn.abort()
        self._gossip.close()

    async def _become_ready(self) -> None:
        for _ in range(SEED_ROUNDS):
            for seed in self._settings.seeds:
                if seed.host != self._settings.host:
                    self._gossip.send_digest(seed)
            try:
                async with asyncio.timeout(0.5):
                    await self._sync.wait_until_loaded()
                    break
            except TimeoutError:
                continue
        await self._sync.wait_until_loaded()
        while self._site_state.view.configuration is None:
            await asyncio.sleep(TICK_S)
        self._set_serving(True)
        log_event("ready", step="start", targets=len(self._site_state.view.targets))
        await self._keep_registered()

    async def _keep_registered(self) -> None:
        """Write this VM's object, where the other VMs find it, whenever the store lacks it."""
        content = EntryVmRegistration(self._own.host, self._own.failure_domain).encode()
        if self._allowances is not None and self._site_state.is_registered():
            self._allowances.resume()
        while not self._stop_requested.is_set():
            if self._site_state.is_registered():
                await asyncio.sleep(TICK_S)
                continue
            try:
                await self._store.put(ENTRY_VM_KIND, self._own.name, content, REGISTER_TIMEOUT_S)
                await self._wait_until_registered()
            except StoreError as exc:
                log_problem("not registered", step=exc.step, peer=exc.peer, error=exc.message)
                await asyncio.sleep(REGISTER_RETRY_S)

    async def _wait_until_registered(self) -> None:
        """Wait for the VM's own write to return from the store, but not without end."""
        until_s = self._clock() + REGISTERED_WAIT_S
        while not self._site_state.is_registered() and self._clock() < until_s:
            await asyncio.sleep(TICK_S)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._site_state.drop_expired()
            self._update_vms_by_region()
            self._sync.confirmer.schedule.reader_rank = self._membership.reader_rank

    def _make_allowances(self, rng: random.Random) -> AllowanceGate | None:
        """Return the gate of allowances, or None if the settings have no bounds for them."""
        bounds = self._settings.bounds
        allowance_bounds = read_bounds(
            bounds.allowance_window_s, bounds.allowance_overshoot, bounds.allowance_slack
        )
        if allowance_bounds is None:
            return None
        gate = AllowanceGate(
            self._own,
            self._settings.regions,
            allowance_bounds,
            self._metrics,
            rng,
            self._started_s,
            self._gossip.send_to,
        )
        self._gossip.receive_direct = gate.receive_datagram
        self._site_state.on_configuration_change = lambda cfg: gate.set_organisations(
            cfg.organisations.by_name.values() if cfg.organisations else (), self._clock()
        )
        return gate

    def _update_vms_by_region(self) -> None:
        """Update the live entry VMs of each region, which share the rates of targets.

        A VM that has just started has not heard from its peers yet, so all of them count as live.
        """
        regions = self._settings.regions
        vms: dict[str, list[str]] = {self._settings.region: [self._own.name]}
        now_s = self._clock()
        has_heard = now_s - self._started_s >= DEAD_AFTER_S
        peers = (
            self._membership.serving_peers(now_s)
            if has_heard
            else self._membership.registered_peers()
        )
        for peer in peers:
            region = regions.get(peer.failure_domain)
            if region is not None:
                vms.setdefault(region, []).append(peer.name)
        self._site_state.fleet.rates.vms_by_region = vms
        fleet_size = sum(len(names) for names in vms.values())
        if self._allowances is not None:
            is_owner = self._lookups.is_serving and self._site_state.is_registered()
            self._allowances.set_peers(self._membership, now_s, is_owner=is_owner)
        for tracker in (self._crashes, self._limits, self._leaving, self._sync):
            tracker.fleet_size = fleet_size

    def _set_serving(self, is_serving: bool) -> None:
        self._readiness.is_ready = is_serving
        self._lookups.is_serving = is_serving
        self._membership.set_serving(is_serving)

    def _handle_lifetime_change(self, target: Target) -> None:
        """Discard state of an earlier lifetime of a target that is gone, new or restarted.

        Unless the target was leaving, requests recently lost there may have crashed it.
        """
        self._pool.close_idle(target)
        if not target.is_draining:
            self._crashes.record_lifetime_change(target.name, self._clock())
        domains = {
            known.name: known.failure_domain for known in self._site_state.view.targets.values()
        }
        self._crashes.set_targets(domains)

    def _handle_reach_change(self, is_cut_off: bool) -> None:
        """Announce at once that this VM reaches no target, or targets again."""
        self._lookups.is_cut_off = is_cut_off
        self._membership.set_cut_off(is_cut_off)
        self._gossip.announce_revisions()

    def _count_near_vms(self) -> int:
        region = self._settings.region
        return sum(
            self._settings.regions.get(peer.failure_domain) == region
            for peer in self._membership.serving_peers(self._clock())
        )

    def _handle_digest(self, digest: Digest) -> None:
        peer = self._membership.peer(digest.sender)
        if peer is not None:
            self._earlier_peers.note_digest(peer.name, digest)
            host = Address(peer.host, self._settings.peer_address.port)
            self._sync.handle_peer_versions(
                host,
                digest.revisions,
                digest.confirmed_age_s,
                digest.proofs,
                are_listed=digest.proves_by_lists,
            )

    async def _stop(self) -> None:
        """Stop gracefully: leave look-ups, then refuse new requests, then finish the others."""
        loop = asyncio.get_running_loop()
        requested_s = loop.time()
        log_event("stopping", step="stop", busy=self._caller_server.busy_count)
        self._set_serving(False)
        for server in (self._caller_server, self._relay_server):
            server.announce_close()
        self._spawn("announce leaving", self._gossip.announce_leaving)
        grace_s = self._settings.bounds.stop_grace_s
        self._forwarder.serves_until_s = requested_s + grace_s - EXIT_BEFORE_GRACE_END_S
        await asyncio.sleep(max(0.0, grace_s - REFUSE_BEFORE_GRACE_END_S))
        self._forwarder.is_stopping = True
        while (
            self._caller_server.unfinished_count + self._relay_server.unfinished_count
            and loop.time() - requested_s < grace_s - EXIT_BEFORE_GRACE_END_S
        ):
            await asyncio.sleep(0.02)
        for server in (self._caller_server, self._relay_server):
            server.close_idle()
        self._forwarder.decisions.flush()
        log_event(
            "stopped",
            step="stop",
            busy=self._caller_server.busy_count,
            store_calls=self._store.calls,
            opened={reason.value: count for reason, count in self._pool.opened.items()},
        )

    def reload(self) -> None:
        """Read the settings again; invalid settings are logged and ignored."""
        try:
            settings = read_settings(self._settings_path)
        except SettingsError as exc:
            log_problem("settings refused", step=exc.step, peer=exc.peer, error=exc.message)
            return
        is_changed = settings != self._settings
        self._settings = settings
        log_event("settings reloaded", step="reload", is_changed=is_changed)

    def _count_live_vms(self) -> int:
        return 1 + len(self._membership.serving_peers(self._clock()))

    def _is_view_fresh(self) -> bool:
        is_confirmed = self._currency.is_confirmed(asyncio.get_running_loop().time())
        return is_confirmed and not self._sync.is_store_unreachable and not self._relay.is_behind()

    def _caller_limits(self) -> ServerLimits:
        cfg = self._site_state.view.configuration
        limits = cfg.limits if cfg else CallerLimits()
        return ServerLimits(limits.header_bytes, limits.header_timeout_s, limits.idle_timeout_s)

    def _relayed_limits(self) -> ServerLimits:
        limits = self._caller_limits()
        return replace(
            limits,
            header_bytes=limits.header_bytes + RELAY_HEADER_BYTES,
            idle_s=CONTROL_LIMITS.idle_s,
        )

    async def _answer_metrics(self, conn: ServerConnection, head: RequestHead) -> None:
        if head.target.partition(b"?")[0] == EXPLAIN_PATH.encode():
            await self._explainer.answer(conn, head)
            return
        for kind, age_s in self._sync.copy_ages_s().items():
            self._metrics.copy_age.labels(kind).set(age_s)
        await conn.answer(
            200, [(b"content-type", b"text/plain")], generate_latest(self._metrics.registry)
        )

    def _spawn(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a background task, which starts anew after an unforeseen error."""
        work = keep_running(name, run, self._count_failure)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _count_failure(self, task: str) -> None:
        self._metrics.task_failures.labels(task).inc()
