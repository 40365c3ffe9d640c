"""Wire an entry VM together and run it from its start to its stop."""

import asyncio
import random
import signal
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from prometheus_client import generate_latest

from chervilmill.addresses import Address
from chervilmill.aio import HttpServer, RequestHead, ServerConnection, ServerLimits, WholeExchange
from chervilmill.entry._crashes import CrashWatch
from chervilmill.entry._directory import LookupServer, ReadinessServer, ReplicaServer
from chervilmill.entry._dispatch import Dispatcher
from chervilmill.entry._forward import Forwarder
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._site import ENTRY_KIND, KINDS, Site
from chervilmill.entry._sync import StoreSync
from chervilmill.logs import log_event, log_problem
from chervilmill.metrics import Metrics
from chervilmill.overload import TargetFleet
from chervilmill.peers import Digest, GossipEndpoint, KindReplica, Membership, Peer
from chervilmill.platform import (
    EntrySettings,
    PlatformStore,
    SettingsError,
    StoreError,
    read_settings,
)
from chervilmill.routing import CallerLimits, Target

REGISTER_TIMEOUT_S = 2.0
REGISTER_RETRY_S = 2.0
TICK_S = 0.25
STALE_AFTER_S = 30.0  # a quiet watch is confirmed at least this often
REFUSE_BEFORE_END_S = 3.1  # what is begun until then has the longest usual time-out of a route
END_BEFORE_GRACE_S = 0.7  # for the interpreter to end before the platform kills the process
SEED_ROUNDS = 6  # in which seeds are told, until the store names the other VMs
CONTROL_LIMITS = ServerLimits(header_bytes=16_384, header_timeout_s=3.0, idle_s=30.0)


class EntryVm:
    """Hold the parts of one entry VM."""

    def __init__(self, settings: EntrySettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._clock = time.monotonic
        rng = random.Random()
        self._stop_asked = asyncio.Event()
        own = Peer(settings.name, settings.host, settings.failure_domain)
        self._own = own
        self._membership = Membership(settings.name, int(time.time()), rng, settings.failure_domain)
        fleet = TargetFleet(settings.name, settings.region, settings.regions, rng)
        self._site = Site(fleet, self._membership, own, self._clock)
        self._pool = TargetPool()
        self._site.on_target_gone = self._forget
        self._crashes = CrashWatch()
        self._replicas = {kind: KindReplica(kind) for kind in KINDS}
        self._store = PlatformStore(WholeExchange(settings.store), str(settings.store))
        self._sync = StoreSync(self._store, self._replicas, self._site.take)
        self._gossip = GossipEndpoint(
            self._membership,
            settings.gossip_port,
            self._sync.revisions,
            self._crashes.news,
            self._hear,
        )
        self._metrics = Metrics()
        dispatcher = Dispatcher(
            self._site,
            self._pool,
            settings.bounds,
            self._metrics,
            rng,
            self._live_vms,
            self._stop_asked.is_set,
            self._crashes,
        )
        self._forwarder = Forwarder(self._site, dispatcher, self._metrics, self._is_view_fresh)
        self._lookups = LookupServer(
            own, settings.callers, settings.regions, self._membership, self._clock
        )
        self._readiness = ReadinessServer()
        self._front = HttpServer(self._forwarder, self._caller_limits)
        self._servers = {
            settings.callers: self._front,
            settings.lookups: HttpServer(self._lookups, lambda: CONTROL_LIMITS),
            settings.readiness: HttpServer(self._readiness, lambda: CONTROL_LIMITS),
            settings.peers: HttpServer(ReplicaServer(self._replicas), lambda: CONTROL_LIMITS),
            Address(settings.host, settings.metrics_port): HttpServer(
                self._answer_metrics, lambda: CONTROL_LIMITS
            ),
        }
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until a signal asks to stop, then finish what was begun."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.ask_stop)
        loop.add_signal_handler(signal.SIGINT, self.ask_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log_event("started", step="start", host=self._settings.host)
        for address, server in self._servers.items():
            await server.listen(address)
        await self._gossip.open(self._settings.host)
        for kind in KINDS:
            self._spawn(self._sync.run(kind))
        self._spawn(self._gossip.run())
        self._spawn(self._become_ready())
        self._spawn(self._tick())
        await self._stop_asked.wait()
        await self._stop()

    def ask_stop(self) -> None:
        """Begin to stop."""
        self._stop_asked.set()

    def abort(self) -> None:
        """Drop everything at once."""
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
                    self._gossip.tell_now(seed)
            try:
                async with asyncio.timeout(0.5):
                    await self._sync.wait_until_known()
                    break
            except TimeoutError:
                continue
        await self._sync.wait_until_known()
        while self._site.view.configuration is None:
            await asyncio.sleep(TICK_S)
        self._set_serving(True)
        log_event("ready", step="start", targets=len(self._site.view.targets))
        await self._register()

    async def _register(self) -> None:
        """Put this VM's object into the store, for the others to find it."""
        content = {"host": self._own.host, "failure_domain": self._own.failure_domain}
        while not self._site.is_registered():
            try:
                await self._store.put(ENTRY_KIND, self._own.name, content, REGISTER_TIMEOUT_S)
                return
            except StoreError as exc:
                log_problem("not registered", step=exc.step, peer=exc.peer, error=exc.message)
                await asyncio.sleep(REGISTER_RETRY_S)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._site.drop_missing()
            self._share_out()

    def _share_out(self) -> None:
        """Tell the decisions which entry VMs share the work of each region."""
        regions = self._settings.regions
        vms: dict[str, list[str]] = {self._settings.region: [self._own.name]}
        for peer in self._membership.live(self._clock()):
            region = regions.get(peer.failure_domain)
            if region is not None:
                vms.setdefault(region, []).append(peer.name)
        self._site.fleet.vms_by_region = vms

    def _set_serving(self, is_serving: bool) -> None:
        self._readiness.is_ready = is_serving
        self._lookups.is_serving = is_serving
        self._membership.serve(is_serving)

    def _forget(self, target: Target) -> None:
        """Drop what belongs to an earlier lifetime of a target that is gone or started anew."""
        self._pool.drop(target)
        self._crashes.confirm(target.name, self._clock())
        domains = {one.name: one.failure_domain for one in self._site.view.targets.values()}
        self._crashes.set_targets(domains)

    def _hear(self, digest: Digest) -> None:
        self._crashes.receive(digest.crashes, self._clock())
        peer = self._membership.peer(digest.sender)
        if peer is not None:
            host = Address(peer.host, self._settings.peers.port)
            self._sync.hear(host, digest.revisions)

    async def _stop(self) -> None:
        """Leave look-ups first, then refuse new requests, then end when all are answered."""
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        log_event("stopping", step="stop", busy=self._front.busy)
        self._set_serving(False)
        self._front.announce_close()
        self._spawn(self._gossip.tell_leaving())
        grace_s = self._settings.bounds.stop_grace_s
        await asyncio.sleep(max(0.0, grace_s - REFUSE_BEFORE_END_S))
        self._forwarder.is_stopping = True
        while self._front.busy and loop.time() - asked_s < grace_s - END_BEFORE_GRACE_S:
            await asyncio.sleep(0.02)
        self._front.close_idle()
        log_event(
            "stopped",
            step="stop",
            busy=self._front.busy,
            store_calls=self._store.calls,
            opened={reason.value: count for reason, count in self._pool.opened.items()},
        )

    def _reload(self) -> None:
        """Read the settings again; wrong ones leave those in force."""
        try:
            settings = read_settings(self._settings_path)
        except SettingsError as exc:
            log_problem("settings refused", step=exc.step, peer=exc.peer, error=exc.message)
            return
        is_changed = settings != self._settings
        self._settings = settings
        log_event("settings reloaded", step="reload", is_changed=is_changed)

    def _live_vms(self) -> int:
        return 1 + len(self._membership.live(self._clock()))

    def _is_view_fresh(self) -> bool:
        now_s = self._clock()
        return not self._sync.is_away and self._sync.is_confirmed_since(now_s - STALE_AFTER_S)

    def _caller_limits(self) -> ServerLimits:
        cfg = self._site.view.configuration
        limits = cfg.limits if cfg else CallerLimits()
        return ServerLimits(limits.header_bytes, limits.header_timeout_s, limits.idle_timeout_s)

    async def _answer_metrics(self, conn: ServerConnection, head: RequestHead) -> None:
        await conn.answer(
            200, [(b"content-type", b"text/plain")], generate_latest(self._metrics.registry)
        )

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_problem("task failed", step="run", peer="self", error=repr(task.exception()))
            self._stop_asked.set()
