"""Helpers that several tests share: addresses, settings, VMs and daemon processes."""

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import json5

from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.platform import StoredObject

ROOT = Path(__file__).resolve().parents[1]
TOKEN = "test-operators-token"
PORTS = (10_000, 32_000)
RESERVATION_HOST = "127.0.0.2"
_RESERVED: list[socket.socket] = []


def free_address() -> Address:
    """Return a loopback address with a free port that no other test process is given."""
    return free_addresses(1)[0]


def free_addresses(count: int) -> list[Address]:
    """Return loopback addresses with free ports that no other test process is given.

    The ports are below the range that the system uses for outgoing connections. Each port is
    reserved by a socket on a second loopback address, bound for the lifetime of this process.
    """
    found: list[Address] = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        reservation = _bound(RESERVATION_HOST, port)
        if reservation is None:
            continue
        probe = _bound("127.0.0.1", port)
        if probe is None:
            reservation.close()
            continue
        probe.close()
        _RESERVED.append(reservation)
        found.append(Address("127.0.0.1", port))
    return found


def _bound(host: str, port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        return None
    return sock


def run_async(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on a new event loop."""

    async def run() -> None:
        await scenario()

    asyncio.run(run())


def stored_object(name: str, revision: int, content: object) -> StoredObject:
    """Return an object of the platform's store with a content."""
    return StoredObject(name, revision, json.dumps(content).encode())


def raw_settings(name: str, platform: Address, **node: str) -> dict:
    """Return the decoded settings of an entry VM on free loopback ports."""
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
    """Return a live target VM; its region is the failure domain up to the first hyphen."""
    region = domain.partition("-")[0]
    return Vm(name, VmRole.TARGET, VmState.LIVE, service, region, domain, address)


def start_daemon(settings_file: Path) -> subprocess.Popen[bytes]:
    """Start a daemon process that appends its logs to a file beside its settings."""
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
