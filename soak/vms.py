"""Run entry VMs as processes of their own, on loopback addresses of their own."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from chervilmill.addresses import Address
from chervilmill.aio import ConnectError, ExchangeError, WholeExchange
from chervilmill.platform import READINESS_PATH
from soak.site import VmPorts, settings, write_settings

ROOT = Path(__file__).resolve().parent.parent


class VmProcess:
    """Hold one entry VM; a process that ends by itself is started again."""

    def __init__(
        self, name: str, domain: str, ports: VmPorts, store: Address, folder: Path
    ) -> None:
        self.name = name
        self.domain = domain
        self.ports = ports
        self._path = write_settings(folder / f"{name}.json", settings(name, domain, ports, store))
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def lookups(self) -> Address:
        """Return where the VM answers look-ups."""
        return Address(self.ports.host, self.ports.lookups)

    @property
    def pid(self) -> int | None:
        """Return the id of the process that was started last."""
        return self._process.pid if self._process is not None else None

    def start(self) -> None:
        """Start the process unless one runs, as another action may have started it meanwhile."""
        if self._process is not None and self._process.poll() is None:
            return
        env = {**os.environ, "CHERVILMILL_SETTINGS": str(self._path)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "entry.py")], stdout=log, stderr=log, env=env
            )

    async def wait_until_ready(self, limit_s: float) -> float | None:
        """Return the seconds until the process is ready, at most `limit_s`.

        Returns None where it ended meanwhile, as another action stopped it.
        """
        loop = asyncio.get_running_loop()
        process, began_s = self._process, loop.time()
        while loop.time() - began_s < limit_s:
            if process is not self._process or process is None or process.poll() is not None:
                return None
            if await self._is_ready():
                break
            await asyncio.sleep(0.05)
        return loop.time() - began_s

    async def _is_ready(self) -> bool:
        exchange = WholeExchange(Address(self.ports.host, self.ports.readiness))
        try:
            return (await exchange("GET", READINESS_PATH, b"", 1.0)).status == 200
        except (ConnectError, ExchangeError):
            return False  # not listening yet, or paused
        finally:
            exchange.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_for_end(self, limit_s: float) -> bool:
        """Return whether the process ended within a time."""
        process = self._process
        loop = asyncio.get_running_loop()
        until_s = loop.time() + limit_s
        while process is not None and process.poll() is None and loop.time() < until_s:
            await asyncio.sleep(0.02)
        return process is None or process.poll() is not None

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._process.wait()
