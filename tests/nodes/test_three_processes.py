"""Test entry VMs as separate processes with a store that may be down."""

import json
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore, retry_until
from tests.support import TOKEN, entry_vm, free_address, raw_settings, start_daemon, target_vm

TIMEOUT_S = 20
DOMAINS = (("praha", "praha-a"), ("brno", "brno-a"), ("ostrava", "ostrava-a"))


class Site:
    """Runs a platform in this process and entry VMs as separate processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = MemoryStore()
        self.platform = platform_server(free_address(), self.store)
        self.platform.start()
        self.store.put_vm(target_vm("target-1", free_address()))
        self.raws: dict[str, dict] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=2)

    def start(self, index: int, **node: object) -> str:
        """Start an entry VM and return its name."""
        name = f"entry-{index}"
        region, domain = DOMAINS[index % len(DOMAINS)]
        raw = raw_settings(name, self.platform.address, region=region, failure_domain=domain)
        raw["node"].update(node)
        self.raws[name] = raw
        self.store.put_vm(entry_vm(raw))
        file = self.folder / f"{name}.jsonc"
        file.write_text(json.dumps(raw))
        self.processes[name] = start_daemon(file)
        return name

    def status(self, name: str) -> dict:
        """Return the status of an entry VM, or an empty dict while the VM is not up."""
        url = f"http://{self.raws[name]['node']['operators']}/status"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        try:
            return self.http.request("GET", url, headers=headers).json()
        except urllib3.exceptions.HTTPError:
            return {}

    def entries(self, name: str) -> set[str]:
        """Return the names of the entry VMs in the lookup answer of an entry VM."""
        url = f"http://{self.raws[name]['node']['callers']}/lookup"
        try:
            answer = self.http.request("GET", url).json()
        except urllib3.exceptions.HTTPError:
            return set()
        return {entry["name"] for entry in answer["entries"]}

    def wait(self, names: set[str], *, revision: int | None = None) -> bool:
        """Wait until each entry VM returns all of them in lookups and has reached the revision."""

        def is_reached() -> bool:
            if any(self.entries(name) != names for name in names):
                return False
            return revision is None or all(
                self.status(name).get("revision") == revision for name in names
            )

        return retry_until(is_reached, TIMEOUT_S, interval_s=0.1)

    def close(self) -> None:
        """Stop all processes and the platform."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.platform.stop()


@pytest.fixture
def site(tmp_path) -> Iterator[Site]:
    running = Site(tmp_path)
    yield running
    running.close()


def test_configuration_deaths_and_joins_with_store_up_and_down(site: Site) -> None:
    names = {site.start(index) for index in range(3)}
    version = site.store.create("configuration", "intent/a", b"one")
    assert site.wait(names, revision=version)
    site.store.is_down = True
    site.processes["entry-1"].kill()
    assert site.wait(names - {"entry-1"})
    new_node = site.start(3, seeds=[site.raws["entry-0"]["node"]["nodes"]])
    assert site.wait({"entry-0", "entry-2", new_node}, revision=version)
    assert site.status(new_node)["targets"]["souhrny"] == 1
    site.store.is_down = False
    newer = site.store.update("configuration", "intent/a", b"two", version)
    assert site.wait({"entry-0", "entry-2", new_node}, revision=newer)


def test_leaving_entry_vm_is_in_no_lookup(site: Site) -> None:
    names = {site.start(index) for index in range(3)}
    assert site.wait(names)
    site.store.is_down = True
    site.processes["entry-2"].terminate()
    assert site.wait(names - {"entry-2"})
    assert site.processes["entry-2"].wait(TIMEOUT_S) == 0


def test_node_without_store_and_peers_does_not_serve(site: Site) -> None:
    site.store.is_down = True
    name = site.start(0)
    assert retry_until(lambda: bool(site.status(name)), TIMEOUT_S)
    assert site.entries(name) == set()
    site.store.is_down = False
    assert site.wait({name})
