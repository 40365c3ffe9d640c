"""Outages of the whole site: of all entry VMs at once, and of the store and targets' entries."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

from soak.proxy import Proxy
from soak.records import History, VmStart
from soak.store import StandInStore
from soak.touch import STABLE_WINDOW_S
from soak.vms import VmProcess

READY_TIMEOUT_S = 20.0  # longer than READY_BOUND_S of the check, so that a breach is recorded
MIN_LAPSE_S = 3.0  # after an outage begins, as the last of the three heartbeats was before it
MAX_AWAY_S = 8.0
MAX_RETURN_S = 2.0  # of an entry, after the store's return

Action = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Outages:
    """Starts one outage after the other, each once VMs have been in touch again for some time."""

    vms: list[VmProcess]
    start_vm: Callable[[VmProcess], None]
    store: StandInStore
    store_links: list[Proxy]
    live_targets: Callable[[], Collection[str]]
    history: History
    log: list[str]
    rng: random.Random

    async def run(
        self,
        until_s: float,
        disrupt: Callable[[Action, bool], Awaitable[None]],
        *,
        disturbs_store: bool,
    ) -> None:
        """Start outages until a time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        actions: list[tuple[str, Action]] = [("kill all", self._kill_all_vms)]
        if disturbs_store:
            actions.append(("store away", self._take_store_away))
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        while loop.time() < until_s:
            name, action = self.rng.choice(actions)
            self.log.append(f"{loop.time():.2f} {name}")
            await disrupt(action, False)
            await asyncio.sleep(STABLE_WINDOW_S + self.rng.uniform(2.0, 6.0))

    async def _kill_all_vms(self) -> None:
        with contextlib.ExitStack() as disturbed:
            for vm in self.vms:
                disturbed.enter_context(self.history.vm_disturbed(vm.caller_address))
                vm.kill()
            for vm in self.vms:
                self.start_vm(vm)
        times = await asyncio.gather(*(vm.wait_until_ready(READY_TIMEOUT_S) for vm in self.vms))
        for vm, took_s in zip(self.vms, times, strict=True):
            if took_s is not None:
                self.history.vm_starts.append(VmStart(vm.name, took_s))

    async def _take_store_away(self) -> None:
        """Stop the store until entries of live targets have lapsed, and have these come back."""
        with self.history.store_disturbed():
            self.store.faults.is_down = True
            for link in self.store_links:
                link.reset()
            await asyncio.sleep(self.rng.uniform(MIN_LAPSE_S, MAX_AWAY_S))
            lapsed = self._lapse_entries(self.rng.choice((0.5, 1.0)))
            self.store.faults.is_down = False
        latest_s = self.rng.choice((0.0, MAX_RETURN_S))
        await asyncio.gather(
            *(
                self._put_back(name, entry, self.rng.uniform(0.0, latest_s))
                for name, entry in lapsed.items()
            )
        )

    def _lapse_entries(self, share: float) -> dict[str, object]:
        objects = self.store.copy().objects
        lapsed = {}
        for name in sorted(self.live_targets()):
            value = objects.get(("servers", name))
            if value is not None and self.rng.random() < share:
                lapsed[name] = value["specification"]
                self.store.delete("servers", name)
        return lapsed

    async def _put_back(self, name: str, entry: object, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if name in self.live_targets():  # it may have left or crashed meanwhile
            self.store.put("servers", name, entry)
