"""A small site for the cases: entry VMs as processes, with the project's stand-ins in this process.

Entry VMs are started with the command of the deploy file, at the root of the repository, with
`target/deps` on Python's path and CHERVILMILL_SETTINGS naming a settings file.
"""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

from chervilmill.addresses import Address  # noqa: E402
from chervilmill.aio import HttpClient  # noqa: E402
from soak.site import BOUNDS, HOST, RouteRow, configuration  # noqa: E402
from soak.store import StandInStore  # noqa: E402
from soak.target import StandInTarget  # noqa: E402

# The callers of some cases are more than a usual soft limit allows; processes started here inherit it.
_SOFT, _HARD = resource.getrlimit(resource.RLIMIT_NOFILE)
if _SOFT != resource.RLIM_INFINITY and _SOFT < 8192 and (_HARD < 0 or _HARD > _SOFT):
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192 if _HARD < 0 else min(8192, _HARD), _HARD))

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}
_reserved: list[socket.socket] = []
_next_host = 0


def trouble() -> bool:
    """Return whether the run has the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str) -> int:
    """Return a port of a loopback address that nobody uses."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


def next_host() -> str:
    """Return a loopback address of its own."""
    global _next_host
    _next_host += 1
    return f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}.{_next_host}"


class Record:
    """The lines of record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


class Vm:
    """One entry VM process on a loopback address of its own."""

    def __init__(self, site: "Site", name: str, zone: str) -> None:
        self.site, self.name, self.zone = site, name, zone
        self.host = next_host()
        ports = site.ports
        self.callers = Address(self.host, ports["front"])
        self.readiness = Address(self.host, ports["ready"])
        self.directory = Address(self.host, ports["directory"])
        self.process: subprocess.Popen[bytes] | None = None
        self.path = site.folder / f"{name}.json"
        self.log = site.folder / f"{name}.log"

    def settings(self) -> dict[str, object]:
        """Return the settings file as the platform renders it."""
        ports = self.site.ports
        return {
            "node-name": self.name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front", "directory", "control"],
            "ip-address": self.host,
            "zone": self.zone,
            "region": REGIONS[self.zone],
            "zones": REGIONS,
            "listen-addresses": {
                "front": f"{self.host}:{ports['front']}",
                "ready": f"{self.host}:{ports['ready']}",
                "control": f"{self.host}:{ports['control']}",
                "directory": f"{self.host}:{ports['directory']}",
            },
            "internal-port-range": [ports["first"], ports["first"] + 15],
            "seeds": [f"{vm.host}:{ports['control']}" for vm in self.site.vms[:3]],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.86,
                "cores": 1,
                "memory-mb": self.site.memory_mb,
                "file-descriptors": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-directory": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat-interval-s": 1.5,
            "bounds": self.site.bounds,
            "platform": {
                "address": str(self.site.store_address_of(self)),
                "form": "objects",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-s": 1,
            },
        }

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.path.write_text(json.dumps(self.settings()), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHERVILMILL_SETTINGS": str(self.path),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, env=env)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def memory_mb(self, field: str = "VmRSS:") -> float:
        """Return the resident memory of the process; `VmHWM:` is its peak."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Return whether the process answers its readiness check with 200."""
        client = HttpClient(self.readiness)
        try:
            return (await client("GET", "/v1/readiness", b"", 1.0)).status == 200
        except Exception:
            return False
        finally:
            client.close()


class Site:
    """The store, targets and entry VMs of one run."""

    def __init__(self, case: Path, memory_mb: int = 300) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.memory_mb = memory_mb
        self.bounds = dict(BOUNDS)
        self.store = StandInStore()
        self.store_host = next_host()
        self.store_address = Address(self.store_host, free_port(self.store_host))
        self.store_address_of: Callable[[Vm], Address] = lambda vm: self.store_address
        self.ports = {
            name: free_port("127.0.0.1") for name in ("front", "ready", "control", "directory")
        }
        self.ports["first"] = random.randrange(33_000, 40_000)  # above the others
        self.vms: list[Vm] = []
        self.targets: dict[str, StandInTarget] = {}

    def add_vm(self, name: str, zone: str = "north-a") -> Vm:
        """Add an entry VM that is not started yet."""
        vm = Vm(self, name, zone)
        self.vms.append(vm)
        return vm

    async def add_target(
        self, target: StandInTarget, service: str = "app", zone: str = "north-a"
    ) -> Address:
        """Start a target and register it in the store."""
        host = next_host()
        address = Address(host, free_port(host))
        await target.listen(address)
        self.targets[target.name] = target
        self.store.put(
            "servers", target.name, target.entry(service, address, zone, int(time.time() * 1000))
        )
        return address

    async def start(self) -> None:
        """Start the store and all entry VMs, and wait until these are ready."""
        await self.store.listen(self.store_address)
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            await until(vm.is_ready, 20.0)

    def end(self) -> None:
        """End all processes of the run."""
        for vm in self.vms:
            vm.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """Raised if the case could not run."""


async def until(is_true: Callable[[], Awaitable[bool]], timeout_s: float) -> None:
    """Wait until a condition holds, or raise CannotRunError."""
    until_s = time.monotonic() + timeout_s
    while not await is_true():
        if time.monotonic() > until_s:
            raise CannotRunError("a condition did not come true in time")
        await asyncio.sleep(0.1)


def run_case(case: Path, scenario: Callable[["Site"], Awaitable[bool]], site: "Site") -> int:
    """Run a scenario, which returns whether the rule held, and return the exit code."""

    async def run() -> bool:
        try:
            async with asyncio.timeout(110.0):
                return await scenario(site)
        finally:
            for vm in site.vms:
                vm.kill()
            await asyncio.sleep(0.3)  # the stand-ins see their connections end

    try:
        has_held = asyncio.run(run())
    except Exception as exc:
        site.record(f"the case could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        return 2
    finally:
        site.end()
    site.record("the rule held" if has_held else "the rule was broken")
    return 0 if has_held else 1


__all__ = ["BOUNDS", "HOST", "RouteRow", "configuration"]
