"""Start entry VMs as local processes for the measurements on loopback."""

import json
import time
from pathlib import Path

import json5
import urllib3

from bench.fleet._addresses import CALLERS_PORT, NODES_PORT, OPERATORS_PORT, address
from bench.fleet._processes import ROOT, Process
from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState

SERVICE = "souhrny"
START_TIMEOUT_S = 30.0
POLL_S = 0.1


def entry_vm(host: int) -> Vm:
    """Return the entry VM with a host number."""
    callers, nodes = address(host, CALLERS_PORT), address(host, NODES_PORT)
    place = ("praha", "praha-a")
    return Vm(f"entry-{host}", VmRole.ENTRY, VmState.LIVE, "", *place, callers, nodes)


def target_vm(name: str, target_address: Address) -> Vm:
    """Return a live target VM at an address."""
    return Vm(name, VmRole.TARGET, VmState.LIVE, SERVICE, "praha", "praha-a", target_address)


def start_entry(host: int, platform: Address, folder: Path) -> Process:
    """Start the entry VM with a host number; settings and log are written to `folder`."""
    vm = entry_vm(host)
    raw = json5.loads((ROOT / "examples" / "souhrny.jsonc").read_text())
    raw["node"].update(
        name=vm.name,
        callers=str(vm.address),
        operators=str(address(host, OPERATORS_PORT)),
        nodes=str(vm.nodes),
    )
    raw["platform"]["address"] = str(platform)
    settings = folder / f"{vm.name}.jsonc"
    settings.write_text(json.dumps(raw))
    arguments = ["chervilmill.daemon", "--settings", str(settings)]
    return Process(vm.name, arguments, folder / f"{vm.name}.log")


def wait_until_up(pool: urllib3.HTTPConnectionPool, path: str) -> None:
    """Wait until a path answers with status 200; raise RuntimeError after START_TIMEOUT_S."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            headers = {"X-Request-Id": "up"}
            if pool.request("GET", path, headers=headers, retries=False).status == 200:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(POLL_S)
    raise RuntimeError(f"{path} did not answer with status 200 in time")
