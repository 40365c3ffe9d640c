"""Track whether this entry VM reaches any target, and probe targets in doubt."""

import asyncio
import random
from collections.abc import Callable

from chervilmill.aio import ConnectError
from chervilmill.entry._attempt import AttemptEnd, AttemptResult
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._site_state import SiteState
from chervilmill.logs import log_event, log_problem
from chervilmill.overload import TargetReachability
from chervilmill.routing import Target

PROBE_INTERVAL_S = 0.5
DOMAINS_PROBED = 3  # at once, one target in each

_UNREACHED = (AttemptEnd.NOT_SENT, AttemptEnd.LOST, AttemptEnd.OVERDUE)


class ReachTracker:
    """Whether this VM is cut off from all targets; `on_change` is called when that changes."""

    def __init__(self, site_state: SiteState, pool: TargetPool, rng: random.Random) -> None:
        self._site_state = site_state
        self._pool = pool
        self._rng = rng
        self._reachability = TargetReachability()
        self._is_in_doubt = asyncio.Event()
        self.on_change: Callable[[bool], None] = lambda _: None

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM reaches no target."""
        return self._reachability.is_cut_off

    def record_result(self, target: Target, result: AttemptResult) -> None:
        """Record the result of an attempt at a target."""
        if result.connect_s is not None:
            self._record_probes(has_connected=True)
        elif result.end not in _UNREACHED:
            self._reachability.record_answer()
        elif self._reachability.record_unreached(target, self._site_state.view.targets.values()):
            self._is_in_doubt.set()

    async def run(self) -> None:
        """Probe targets while this VM is in doubt or cut off, until cancelled."""
        while True:
            await self._is_in_doubt.wait()
            targets = self._targets_to_probe()
            if targets:
                probes = await asyncio.gather(*(self._can_connect(target) for target in targets))
                self._record_probes(has_connected=any(probes))
            if not self.is_cut_off:
                self._is_in_doubt.clear()
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _targets_to_probe(self) -> list[Target]:
        """Return a random target of each of a few failure domains."""
        targets = list(self._site_state.view.targets.values())
        self._rng.shuffle(targets)
        by_domain = {target.failure_domain: target for target in targets}
        domains = self._rng.sample(list(by_domain), min(DOMAINS_PROBED, len(by_domain)))
        return [by_domain[domain] for domain in domains]

    async def _can_connect(self, target: Target) -> bool:
        try:
            conn = await self._pool.open_probe(target)
        except ConnectError:
            return False
        conn.abort()
        return True

    def _record_probes(self, *, has_connected: bool) -> None:
        if not self._reachability.record_probes(has_connected=has_connected):
            return
        if self.is_cut_off:
            log_problem("cut off from all targets", step="reach", peer="targets")
        else:
            log_event("targets reached again", step="reach")
        self._forgive_targets()
        self.on_change(self.is_cut_off)

    def _forgive_targets(self) -> None:
        """Drop what failures on this VM's own links seemed to show of the targets."""
        for name in self._site_state.view.targets:
            record = self._site_state.fleet.record(name)
            if record is not None:
                record.forgive()
