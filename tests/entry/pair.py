"""Run two entry VMs that share a store and targets, each with its own link to the store."""

import asyncio
from pathlib import Path

from chervilmill.addresses import Address
from chervilmill.entry._entry_vm import EntryVm
from chervilmill.platform import EntrySettings, read_settings
from soak.proxy import Proxy
from soak.site import (
    DEFAULT_ROUTES,
    RouteRow,
    VmPorts,
    configuration,
    settings,
    write_settings,
)
from soak.store import StandInStore
from soak.target import StandInTarget
from tests.entry.harness import SiteUnderTest, is_ready, until
from tests.support import free_address


class Pair:
    """Two VMs on separate loopback addresses, each with its own link to the store."""

    def __init__(self, folder: Path, routes: tuple[RouteRow, ...] = DEFAULT_ROUTES) -> None:
        self._folder = folder
        self._routes = routes
        self.store = StandInStore()
        self.links: list[Proxy] = []
        self.sites: list[SiteUnderTest] = []
        self._running: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the store, one target and both VMs."""
        store_address = free_address()
        await self.store.listen(store_address)
        self.store.put("config", "main", configuration(1, self._routes))
        target, address = StandInTarget("t1"), free_address()
        await target.listen(address)
        self.store.put("servers", "t1", target.entry("app", address, "north-a", 1))
        ports = [free_address().port for _ in range(6)]
        for number in (1, 2):
            link, shown = Proxy(store_address), free_address()
            await link.listen(shown)
            self.links.append(link)
            read = self._settings(f"vm-{number}", VmPorts(f"127.0.3.{number}", *ports), shown)
            vm = EntryVm(read, self._folder / f"{read.name}.json")
            site = SiteUnderTest(
                self.store, vm, read.caller_address, read.lookup_address, read.readiness_address
            )
            site.targets["t1"] = target
            self.sites.append(site)
            self._running.append(asyncio.create_task(vm.run()))
        for site in self.sites:
            await until(lambda site=site: is_ready(site.readiness_address))  # type: ignore[misc]
        await until(self._know_each_other)

    async def restart_second(self) -> None:
        """End the second VM at once, as a kill does, and start it again."""
        self._running[1].cancel()
        await asyncio.gather(self._running[1], return_exceptions=True)
        site = self.sites[1]
        site.vm.abort()
        settings_path = self._folder / "vm-2.json"
        site.vm = EntryVm(read_settings(settings_path), settings_path)
        self._running[1] = asyncio.create_task(site.vm.run())
        await until(lambda: is_ready(site.readiness_address))

    async def stop(self) -> None:
        """Stop both VMs, the target, the links and the store."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        for site in self.sites:
            site.vm.abort()
            site.targets["t1"].crash()
        for link in self.links:
            link.stop()
        self.store.stop()

    def refuse_second(self) -> None:
        """Make the store refuse the second VM."""
        self.links[1].faults.refuses = True
        self.links[1].reset()

    async def _know_each_other(self) -> bool:
        return len(self.store.names("entry-vms")) == 2

    def _settings(self, name: str, ports: VmPorts, store: Address) -> EntrySettings:
        content = settings(name, "north-a", ports, store)
        return read_settings(write_settings(self._folder / f"{name}.json", content))
