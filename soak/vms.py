"""Entry VMs as processes, each on a loopback address of its own."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from chervilmill.addresses import Address
from chervilmill.aio import ConnectError, ExchangeError, HttpClient
from chervilmill.platform import READINESS_PATH
from soak.builds import ROOT
from soak.site import VmPorts, settings, write_settings


class VmProcess:
    """The process of one entry VM, which can be stopped and started again.

    `build` is the root of the version that the next start runs.
    """

    def __init__(
        self, name: str, domain: str, ports: VmPorts, store: Address, folder: Path
    ) -> None:
        self.name = name
        self.domain = domain
        self.ports = ports
        self.build = ROOT
        self._settings_path = write_settings(
            folder / f"{name}.json", settings(name, domain, ports, store)
        )
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def lookup_address(self) -> Address:
        """Return the address on which the VM answers look-ups."""
        return Address(self.ports.host, self.ports.lookups)

    @property
    def caller_address(self) -> str:
        """Return the address on which the VM takes callers, as look-ups name it."""
        return str(Address(self.ports.host, self.ports.callers))

    @property
    def pid(self) -> int | None:
        """Return the id of the process started last, or None before the first start."""
        return self._process.pid if self._process is not None else None

    def start(self) -> None:
        """Start the process unless it already runs.

        Actions overlap, so another action may have started the process meanwhile.
        """
        if self._process is not None and self._process.poll() is None:
            return
        env = {**os.environ, "CHERVILMILL_SETTINGS": str(self._settings_path)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(self.build / "deploy" / "entry.py")],
                stdout=log,
                stderr=log,
                env=env,
            )

    async def wait_until_ready(self, timeout_s: float) -> float | None:
        """Return the seconds until the process is ready, or until `timeout_s` has passed.

        Return None if the process ended meanwhile, because another action stopped it.
        """
        loop = asyncio.get_running_loop()
        process, started_s = self._process, loop.time()
        while loop.time() - started_s < timeout_s:
            if process is not self._process or process is None or process.poll() is not None:
                return None
            if await self._is_ready():
                break
            await asyncio.sleep(0.05)
        return loop.time() - started_s

    async def _is_ready(self) -> bool:
        client = HttpClient(Address(self.ports.host, self.ports.readiness))
        try:
            return (await client("GET", READINESS_PATH, b"", 1.0)).status == 200
        except (ConnectError, ExchangeError):
            return False  # not listening yet, or stopped by SIGSTOP
        finally:
            client.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Return whether the process ended within the timeout."""
        process = self._process
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while process is not None and process.poll() is None and loop.time() < until_s:
            await asyncio.sleep(0.02)
        return process is None or process.poll() is not None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._process.wait()
