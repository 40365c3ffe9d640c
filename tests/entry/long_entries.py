"""Entry VM processes beside a store in which another writer leaves long entries.

The store encodes each entry once, so that its own work does not delay the VMs.
"""

import asyncio
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from chervilmill.addresses import Address
from chervilmill.aio import ConnectError, ExchangeError, connect
from soak.site import VmPorts, configuration, settings, write_settings
from soak.store import StandInStore
from soak.target import StandInTarget
from tests.entry.harness import ask_on, is_ready, until
from tests.support import ROOT, free_address
from tests.uncontrolled import read_held

VALUE_BYTES = 1_048_576  # `value-bytes` of the platform's settings
PAGE_BYTES = 1_048_576
PAGE_OBJECTS = 500


class EncodedStore(StandInStore):
    """A store whose entries may be raw JSON text, with pages of 500 objects or 1 MB."""

    def put_raw(self, kind: str, name: str, content: bytes) -> None:
        """Write an entry whose content is JSON text."""
        assert len(content) <= VALUE_BYTES
        self.put(kind, name, msgspec.Raw(content))

    def _encode(self, value: object) -> bytes:
        return msgspec.json.encode(value)

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = [name for name in self.names(kind) if name > after]
        page: list[dict[str, Any]] = []
        size = 0
        for name in names:
            value = self._objects[(kind, name)]
            content = value["specification"]
            size += len(content) if isinstance(content, msgspec.Raw) else 512
            if page and (size > PAGE_BYTES or len(page) >= PAGE_OBJECTS):
                break
            page.append(value)
        return {"items": page, "more": len(page) < len(names), "as-of": self.revision}


class VmProcess:
    """One entry VM as a process."""

    def __init__(self, folder: Path, name: str, domain: str) -> None:
        self._folder = folder
        self.name = name
        self.domain = domain
        self.ports = VmPorts("127.0.0.1", *[free_address().port for _ in range(6)])
        self.callers = Address("127.0.0.1", self.ports.callers)
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self, store: Address, seeds: tuple[str, ...]) -> None:
        """Start the process and wait until it is ready."""
        content = settings(self.name, self.domain, self.ports, store, seeds)
        path = write_settings(self._folder / f"{self.name}.json", content)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "entry.py")],
                stdout=log,
                stderr=log,
                env={**os.environ, "CHERVILMILL_SETTINGS": str(path)},
            )
        await until(lambda: is_ready(Address("127.0.0.1", self.ports.readiness)))

    @property
    def peak_mb(self) -> float:
        """Return the peak resident memory of the process, which must live."""
        assert self.process is not None
        assert self.process.poll() is None, "the process ended"
        return read_held(self.process.pid).peak_mb

    def count_logged(self, event: str) -> int:
        """Return how often the process has logged an event."""
        log = (self._folder / f"{self.name}.log").read_text(encoding="utf-8")
        return log.count(f'"event": "{event}"')

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class SmallSite:
    """Two entry VM processes, with the store and the targets on the event loop of the caller."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.store = EncodedStore()
        self.store_address = free_address()
        self.targets = [StandInTarget(f"t{number}", slots=8) for number in range(4)]
        self.vms: list[VmProcess] = []
        self._asked = 0

    async def start(self) -> None:
        """Start two VMs beside sound entries only."""
        await self.store.listen(self.store_address)
        self.store.put("config", "main", configuration(1))
        for target in self.targets:
            address = free_address()
            await target.listen(address)
            self.store.put("servers", target.name, target.entry("app", address, "north-a", 1))
        for name, domain in (("vm-1", "north-a"), ("vm-2", "south-a")):
            await self.add_vm(name, domain)

    async def add_vm(self, name: str, domain: str) -> VmProcess:
        """Start a VM that knows the first one, and return it."""
        vm = VmProcess(self._folder, name, domain)
        seeds = [f"127.0.0.1:{other.ports.peers}" for other in self.vms[:1]]
        self.vms.append(vm)
        await vm.start(self.store_address, tuple(seeds))
        return vm

    async def ask(self, vm: VmProcess, count: int, pause_s: float) -> Counter[str]:
        """Send reads one after the other and return how often which answer came."""
        answers: Counter[str] = Counter()
        for _ in range(count):
            self._asked += 1
            try:
                async with asyncio.timeout(2.0):
                    conn = await connect(vm.callers, 1.0)
                    try:
                        request_id = f"ordinary-{self._asked}"
                        answer = await ask_on(conn, "/read/a", "GET", b"", request_id, 1500, "7")
                        answers[str(answer.status)] += 1
                    finally:
                        conn.abort()
            except (ConnectError, ExchangeError, TimeoutError) as exc:
                answers[type(exc).__name__] += 1
            await asyncio.sleep(pause_s)
        return answers

    def stop(self) -> None:
        """End all processes and close all connections."""
        for vm in self.vms:
            vm.stop()
        self.store.stop()
        for target in self.targets:
            target.crash()
