"""Build the parts that several tests start: stand-ins, settings and daemon processes."""

import os
import socket
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

import json5

from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState

ROOT = Path(__file__).resolve().parents[1]
TOKEN = "test-operators-token"
_RETURNED: set[Address] = set()


def free_address() -> Address:
    """Return a loopback address whose port is free now."""
    return free_addresses(1)[0]


def free_addresses(count: int) -> list[Address]:
    """Return loopback addresses whose ports are free now and were not returned before."""
    found: list[Address] = []
    with ExitStack() as stack:
        while len(found) < count:
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            address = Address("127.0.0.1", sock.getsockname()[1])
            if address not in _RETURNED:
                _RETURNED.add(address)
                found.append(address)
    return found


def raw_settings(name: str, platform: Address, **node: str) -> dict:
    """Return decoded settings of an entry VM on free loopback ports."""
    raw = json5.loads((ROOT / "examples" / "souhrny.jsonc").read_text())
    callers, operators, nodes = map(str, free_addresses(3))
    raw["node"].update(name=name, callers=callers, operators=operators, nodes=nodes, **node)
    raw["platform"]["address"] = str(platform)
    raw["limits"]["lookup_lifetime_s"] = 1
    raw["operators_token"] = TOKEN
    return raw


def entry_vm(raw: dict) -> Vm:
    """Return the VM that the given settings describe."""
    node = raw["node"]
    callers, nodes = _address(node["callers"]), _address(node["nodes"])
    place = (node["region"], node["failure_domain"])
    return Vm(node["name"], VmRole.ENTRY, VmState.LIVE, "", *place, callers, nodes)


def target_vm(name: str, address: Address, service: str = "souhrny", domain: str = "praha-a") -> Vm:
    """Return a live target VM; its region is the failure domain's first word."""
    region = domain.partition("-")[0]
    return Vm(name, VmRole.TARGET, VmState.LIVE, service, region, domain, address)


def start_daemon(settings_file: Path) -> subprocess.Popen[bytes]:
    """Start a daemon process whose logs go to a file beside its settings."""
    env = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    with open(settings_file.with_suffix(".log"), "ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "chervilmill.daemon", "--settings", str(settings_file)],
            env=env,
            stderr=log,
        )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
