"""Run the platform and a target in this process, and a daemon process that connects to both."""

import json
from pathlib import Path

import urllib3

from chervilmill.addresses import parse_address
from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore, retry_until
from chervilmill.standins.target_server import TargetState, target_server
from tests.support import TOKEN, entry_vm, free_address, raw_settings, start_daemon, target_vm

START_TIMEOUT_S = 10


class WholePath:
    """A running platform stand-in, target stand-in and daemon process."""

    def __init__(self, folder: Path, **limits: int) -> None:
        self.store = MemoryStore()
        self.state = TargetState("target-1", part_delay_s=0.2)
        self.platform = platform_server(free_address(), self.store)
        self.target = target_server(free_address(), self.state)
        self.platform.start()
        self.target.start()
        raw = raw_settings("entry-1", self.platform.address)
        raw["limits"].update(limits)
        self.store.put_vm(entry_vm(raw))
        self.store.put_vm(target_vm("target-1", self.target.address))
        self.settings_file = folder / "entry-1.jsonc"
        self.settings_file.write_text(json.dumps(raw))
        self.daemon = start_daemon(self.settings_file)
        self.callers = parse_address(raw["node"]["callers"])
        self.operators = parse_address(raw["node"]["operators"])
        self.url = f"http://{self.callers}"
        self.http = urllib3.PoolManager(retries=False, timeout=10)
        try:
            assert retry_until(self.is_up, START_TIMEOUT_S)
        except BaseException:
            self.close()
            raise

    def is_up(self) -> bool:
        try:
            return bool(self.look_up()["entries"])
        except urllib3.exceptions.HTTPError:
            return False

    def look_up(self) -> dict:
        return self.http.request("GET", f"{self.url}/lookup?service=souhrny").json()

    def status(self) -> dict:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        return self.http.request("GET", f"http://{self.operators}/status", headers=headers).json()

    def metric(self, sample: str) -> float:
        """Return the value of one sample, written as on the metrics page, and 0 if it is absent."""
        page = self.http.request("GET", f"http://{self.operators}/metrics").data.decode()
        for line in page.splitlines():
            if line.startswith(f"{sample} "):
                return float(line.rpartition(" ")[2])
        return 0.0

    def close(self) -> None:
        self.daemon.kill()
        self.daemon.wait()
        self.target.stop()
        self.platform.stop()
