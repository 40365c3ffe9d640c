"""Run a daemon beside a platform that answers every call, but later than its time-out."""

import json
import subprocess
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
import urllib3

from chervilmill.coordination import CONFIGURATION_KIND, VmState
from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore, retry_until
from tests.support import TOKEN, entry_vm, free_address, raw_settings, start_daemon, target_vm

ANSWER_S = 2.0
TIMEOUT_MS = 1_000
WAIT_S = 20.0


class SlowSite:
    """A platform that takes ANSWER_S for each call, and one entry VM."""

    def __init__(self, folder: Path) -> None:
        self.store = MemoryStore()
        self.store.delay_s = ANSWER_S
        self.platform = platform_server(free_address(), self.store)
        self.platform.start()
        self.targets = [target_vm(f"target-{i}", free_address()) for i in (1, 2)]
        for target in self.targets:
            self.store.put_vm(target)
        self._raw = raw_settings("entry-1", self.platform.address)
        self._raw["platform"]["timeout_ms"] = TIMEOUT_MS
        self.store.put_vm(entry_vm(self._raw))
        file = folder / "entry-1.jsonc"
        file.write_text(json.dumps(self._raw))
        self._http = urllib3.PoolManager(retries=False, timeout=2)
        self.process: subprocess.Popen[bytes] = start_daemon(file)

    def status(self) -> dict:
        """Return the status of the entry VM, or an empty dict while the VM is not up."""
        url = f"http://{self._raw['node']['operators']}/status"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        try:
            return self._http.request("GET", url, headers=headers).json()
        except urllib3.exceptions.HTTPError:
            return {}

    def sends_to(self, targets: int) -> bool:
        """Return whether the entry VM comes to send requests to a number of targets."""
        return retry_until(
            lambda: self.status().get("targets", {}).get("souhrny") == targets, WAIT_S
        )

    def close(self) -> None:
        """Stop the entry VM and the platform."""
        self.process.kill()
        self.process.wait()
        self.platform.stop()


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SlowSite]:
    running = SlowSite(tmp_path)
    yield running
    running.close()


# Each answer was thrown away at the time-out, so the VM knew no target and never served.
def test_late_answers_are_not_used(site: SlowSite) -> None:
    assert site.sends_to(2), "no list of VMs"
    site.store.put_vm(replace(site.targets[1], state=VmState.LEAVING))
    assert site.sends_to(1), "a target that is listed as leaving is still used"
    site.store.create(CONFIGURATION_KIND, "leaving/target-1", b'{"leaving": true}')
    assert site.sends_to(0), "a target that was marked as leaving is still used"
    assert site.status()["revision"] is not None
    assert retry_until(lambda: site.store.get("lease", "allotter") is not None, WAIT_S)
