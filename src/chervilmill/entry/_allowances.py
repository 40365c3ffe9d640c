"""Admit requests by the allowances of their organisations, which all entry VMs share."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict

from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.overload import (
    AllowanceAction,
    AllowanceBounds,
    AllowanceCounts,
    AllowanceDesk,
    AllowanceMessage,
    AllowanceVms,
    AllowedOrganisation,
    CheckAt,
    ListedVms,
    SendTo,
    Settle,
    Waiting,
)
from chervilmill.peers import Membership, Peer, decode_allowance, encode_allowance

LOG_INTERVAL_S = 10.0
LIST_INTERVAL_S = 1.0  # with 800 VMs, taking over the list takes 0.6 ms
STARTING_S = 5.0  # in which a VM hears from its region
STARTING_LIST_INTERVAL_S = 0.2
LOGGED_ORGANISATIONS = 8  # the ones refused most since the last line

Clock = Callable[[], float]


def frozen_s() -> float:
    """Return for how long the machine was suspended, where the system tells."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return 0.0
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


def read_bounds(
    window_s: float | None, overshoot: float | None, slack: float | None
) -> AllowanceBounds | None:
    """Return the bounds in the settings, or None if the deployment has no allowances."""
    if window_s is None or overshoot is None or slack is None:
        return None
    return AllowanceBounds(window_s, overshoot, slack)


class AllowanceGate:
    """Decides on callers' requests, and exchanges datagrams with the owners of allowances.

    `send` sends a datagram to a host. Readings of the event loop's clock are moved by the time for
    which the machine was suspended, so that what was leased before has lapsed after.
    """

    def __init__(
        self,
        own: Peer,
        regions: Mapping[str, str],
        bounds: AllowanceBounds,
        metrics: Metrics,
        rng: random.Random,
        now_s: float,
        send: Callable[[bytes, str], None],
        suspended_s: Clock = frozen_s,
    ) -> None:
        self._own = own
        self._regions = regions
        self._metrics = metrics
        self._send = send
        self._suspended_s = suspended_s
        vms = AllowanceVms(own.name, regions[own.failure_domain])
        self._desk = AllowanceDesk(vms, bounds, rng, self._real_s(now_s))
        self._waiting: dict[int, asyncio.Future[float | None]] = {}
        self._hosts: dict[str, str] = {}
        self._names: dict[str, str] = {}
        self._listed = ListedVms()
        self._started_s = now_s
        self._is_resumed = False
        self._listed_s = float("-inf")
        self._counted = AllowanceCounts()
        self._refused: dict[str, int] = {}
        self._logged_s = now_s

    async def acquire(self, organisation: AllowedOrganisation, now_s: float) -> float | None:
        """Return None if a request is admitted, or the time in seconds after which to retry."""
        decision, actions = self._desk.acquire(organisation, self._real_s(now_s))
        if not isinstance(decision, Waiting):
            self._perform(actions)
            return self._noted(organisation, decision)
        future = asyncio.get_running_loop().create_future()
        self._waiting[decision.ticket] = future
        self._perform(actions)
        try:
            return self._noted(organisation, await future)
        except asyncio.CancelledError:
            now_s = self._real_s(asyncio.get_running_loop().time())
            self._desk.abandon(organisation, decision.ticket, now_s)
            if future.done() and not future.cancelled() and future.result() is None:
                self._desk.give_back(organisation, now_s)
            raise
        finally:
            self._waiting.pop(decision.ticket, None)

    def give_back(self, organisation: AllowedOrganisation, now_s: float) -> None:
        """Return the token of a request that was refused afterwards without having run."""
        if organisation.rate_per_s > 0:
            self._desk.give_back(organisation, self._real_s(now_s))

    def set_organisations(self, organisations: Iterable[AllowedOrganisation], now_s: float) -> None:
        """Replace the organisations by those of the configuration in force."""
        self._desk.set_organisations(organisations, self._real_s(now_s))

    def resume(self) -> None:
        """Note that the store had this VM's entry when it started, before it wrote one."""
        self._is_resumed = True
        self._desk.resume()

    def set_peers(self, membership: Membership, now_s: float, *, is_owner: bool) -> None:
        """Take over which VMs there are; call this a few times a second.

        `is_owner` says that this VM is registered and takes callers.
        """
        self._count()
        self._log(now_s)
        is_starting = now_s - self._started_s < STARTING_S
        if now_s - self._listed_s < (STARTING_LIST_INTERVAL_S if is_starting else LIST_INTERVAL_S):
            return
        self._listed_s = now_s
        peers = membership.registered_peers()
        self._hosts = {peer.name: peer.host for peer in peers}
        self._names = {peer.host: peer.name for peer in peers}
        registered: dict[str, list[str]] = {name: [] for name in self._regions.values()}
        for peer in (self._own, *peers) if is_owner else peers:
            region = self._regions.get(peer.failure_domain)
            if region is not None:
                registered[region].append(peer.name)
        live = frozenset(peer.name for peer in membership.serving_peers(now_s))
        left = frozenset(peer.name for peer in membership.left_peers())
        if self._is_resumed and is_starting:
            # Peers that start as well take no callers yet, and will own again what they owned.
            left = frozenset()
        by_region = self._listed.update(
            {region: tuple(sorted(names)) for region, names in registered.items()},
            live | {self._own.name},
            left,
            self._real_s(now_s),
        )
        reachable = frozenset(peer.name for peer in membership.version_6_peers(now_s))
        own_region = self._regions[self._own.failure_domain]
        longest_s = max(
            (membership.uptime_s(name, now_s) for name in by_region[own_region] if name in live),
            default=0.0,
        )
        vms = AllowanceVms(
            self._own.name,
            own_region,
            by_region,
            reachable,
            live,
            longest_uptime_s=longest_s,
        )
        self._desk.set_vms(vms, self._real_s(now_s))

    def receive_datagram(self, data: bytes, host: str, now_s: float) -> bool:
        """Handle a datagram and return whether it was of this kind.

        Raise MalformedDigestError if it cannot be read. One of a VM that is not registered here
        is ignored.
        """
        message = decode_allowance(data, host)
        if message is None:
            return False
        name = self._names.get(host)
        if name is not None:
            self._receive(name, message, now_s)
        return True

    def _receive(self, name: str, message: AllowanceMessage, now_s: float) -> None:
        self._perform(self._desk.receive(name, message, self._real_s(now_s)))

    def _check(self, organisation: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._perform(self._desk.check(organisation, self._real_s(now_s)))

    def _perform(self, actions: list[AllowanceAction]) -> None:
        for action in actions:
            if isinstance(action, SendTo):
                host = self._hosts.get(action.vm)
                if host is not None:
                    self._send(encode_allowance(action.message), host)
            elif isinstance(action, CheckAt):
                loop = asyncio.get_running_loop()
                wait_s = action.at_s - self._real_s(loop.time())
                loop.call_later(max(0.0, wait_s), self._check, action.organisation)
            elif isinstance(action, Settle):
                future = self._waiting.get(action.ticket)
                if future is not None and not future.done():
                    future.set_result(action.retry_after_s)

    def _noted(
        self, organisation: AllowedOrganisation, retry_after_s: float | None
    ) -> float | None:
        if retry_after_s is not None:
            self._refused[organisation.name] = self._refused.get(organisation.name, 0) + 1
        return retry_after_s

    def _real_s(self, now_s: float) -> float:
        return now_s + self._suspended_s()

    def _count(self) -> None:
        """Add what has happened to the metrics; there is no series for each organisation."""
        counts = asdict(self._desk.counts)
        for event, before in asdict(self._counted).items():
            if counts[event] > before:
                self._metrics.allowances.labels(event).inc(counts[event] - before)
        self._counted = AllowanceCounts(**counts)

    def _log(self, now_s: float) -> None:
        """Log at intervals which organisations exceeded their allowance here."""
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        if self._refused:
            most = sorted(self._refused.items(), key=lambda item: -item[1])[:LOGGED_ORGANISATIONS]
            log_event(
                "allowance exceeded",
                step="allowance",
                for_s=round(now_s - self._logged_s, 1),
                refused=sum(self._refused.values()),
                organisations=len(self._refused),
                most=dict(most),
            )
        self._refused.clear()
        self._logged_s = now_s
