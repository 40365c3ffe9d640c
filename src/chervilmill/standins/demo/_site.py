"""A small site on loopback: platform, targets and entry VMs, each in its own process."""

import json
import socket
from pathlib import Path
from typing import Any

import urllib3

from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.coordination._codec import vm_to_json
from chervilmill.standins.demo._processes import Processes, run_module
from chervilmill.standins.store import retry_until

SERVICE = "souhrny"
REGIONS = {"praha": ("praha-a", "praha-b"), "brno": ("brno-a", "brno-b")}
CLIENT_NETWORKS = {"praha": "10.1.0.0/16", "brno": "10.2.0.0/16"}
TARGETS_PER_DOMAIN = 3
ENTRY_DOMAINS = ("praha-a", "praha-b", "brno-a")
LOOKUP_LIFETIME_S = 1
START_TIMEOUT_S = 20
REQUEST_TIMEOUT_S = 20
TARGET_BEHAVIOUR = {"slots": 6, "parts": 3, "part_delay_s": 0.1, "work_s": 0.01}
SECRET = "secret-of-the-demonstration"


class Site:
    """Starts the processes of the site and sends requests to them."""

    def __init__(self, folder: Path) -> None:
        self.processes = Processes(folder)
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S, maxsize=16)
        self.platform = _free_address()
        self.targets = tuple(_target_vms())
        self.entries = tuple(_entry_vms())
        self._operators = {vm.name: _free_address() for vm in self.entries}
        self._folder = folder

    def start(self) -> bool:
        """Start all processes and return whether they all answer within the timeout."""
        vms = self._folder / "vms.json"
        vms.write_text(json.dumps([vm_to_json(vm) for vm in (*self.targets, *self.entries)]))
        platform = ["--address", str(self.platform), "--vms", str(vms)]
        self.processes.start("platform", "chervilmill.standins.platform_main", platform)
        for vm in self.targets:
            self._start_target(vm)
        if not retry_until(
            lambda: self._is_answering(f"http://{self.platform}/calls"), START_TIMEOUT_S
        ):
            return False
        for vm in self.entries:
            self._start_entry(vm)
        return retry_until(self._is_up, START_TIMEOUT_S)

    def entry_url(self, vm: Vm, path: str) -> str:
        """Return the URL of a service path at an entry VM."""
        return f"http://{vm.address}/s/{SERVICE}{path}"

    def look_up(self, vm: Vm) -> dict[str, Any]:
        """Return the answer of an entry VM to a look-up."""
        answer = self.http.request("GET", f"http://{vm.address}/lookup?service={SERVICE}").json()
        return dict(answer)

    def stats(self) -> dict[str, dict[str, Any]]:
        """Return the counters of each target by name."""
        return {
            vm.name: dict(self.http.request("GET", f"http://{vm.address}/_stats").json())
            for vm in self.targets
        }

    def query_operators(self, vm: Vm, path: str) -> dict[str, Any]:
        """Return the answer of the operators' interface of an entry VM to a GET request."""
        headers = {"Authorization": f"Bearer {SECRET}"}
        url = f"http://{self._operators[vm.name]}{path}"
        return dict(self.http.request("GET", url, headers=headers).json())

    def write_file(self, name: str, value: object) -> Path:
        """Write a JSON file into the folder of the demonstration."""
        file = self._folder / name
        file.write_text(json.dumps(value))
        return file

    def command(self, vm: Vm, *arguments: str) -> dict[str, Any]:
        """Run a chervilmill command against an entry VM and return its JSON output.

        Raise RuntimeError if the command fails.
        """
        options = ["--json", "--settings", str(self._settings_file(vm))]
        completed = run_module("chervilmill.cli", [*arguments, *options])
        if completed.returncode:
            raise RuntimeError(f"chervilmill {' '.join(arguments)}: {completed.stderr.strip()}")
        return dict(json.loads(completed.stdout))

    def close(self) -> None:
        """Close the HTTP connections and kill all processes."""
        self.http.clear()
        self.processes.close()

    def _start_target(self, vm: Vm) -> None:
        arguments = ["--address", str(vm.address), "--name", vm.name]
        arguments += ["--behaviour", json.dumps(TARGET_BEHAVIOUR)]
        self.processes.start(vm.name, "chervilmill.standins.target_main", arguments)

    def _start_entry(self, vm: Vm) -> None:
        file = self._settings_file(vm)
        file.write_text(json.dumps(self._settings(vm)))
        self.processes.start(vm.name, "chervilmill.daemon", ["--settings", str(file)])

    def _settings_file(self, vm: Vm) -> Path:
        return self._folder / f"{vm.name}.jsonc"

    def _settings(self, vm: Vm) -> dict[str, Any]:
        return {
            "node": {
                "name": vm.name,
                "region": vm.region,
                "failure_domain": vm.failure_domain,
                "callers": str(vm.address),
                "operators": str(self._operators[vm.name]),
                "nodes": str(vm.nodes),
            },
            "platform": {"address": str(self.platform), "timeout_ms": 1000},
            "regions": [
                {"name": name, "failure_domains": list(domains)}
                for name, domains in REGIONS.items()
            ],
            "links": [
                {"between": list(REGIONS), "mbit_per_s": 4000, "one_way_delay_ms": 55},
            ],
            "services": [
                {
                    "name": SERVICE,
                    "slots_per_target": TARGET_BEHAVIOUR["slots"],
                    "connections_per_target": 400,
                    "reports_load": True,
                    "connect_cost_ms": 1,
                    "probe_cost_ms": 6,
                    "requests_per_s": 300,
                    "requests_per_slot_per_s": 10,
                    "kbit_per_request": 60,
                }
            ],
            "objective": {"latency_percent": 70, "headroom_percent": 30},
            "limits": {"lookup_lifetime_s": LOOKUP_LIFETIME_S},
            "steering": {
                "clients": [
                    {"network": network, "region": region}
                    for region, network in CLIENT_NETWORKS.items()
                ]
            },
            "operators_token": SECRET,
            "nodes_key": SECRET,
        }

    def _is_up(self) -> bool:
        urls = [f"http://{vm.address}/_stats" for vm in self.targets]
        return all(self._is_answering(url) for url in urls) and all(
            self._is_answering(f"http://{vm.address}/lookup") for vm in self.entries
        )

    def _is_answering(self, url: str) -> bool:
        try:
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def _target_vms() -> list[Vm]:
    return [
        Vm(
            f"{SERVICE}-{domain}-{number}",
            VmRole.TARGET,
            VmState.LIVE,
            SERVICE,
            region,
            domain,
            _free_address(),
        )
        for region, domains in REGIONS.items()
        for domain in domains
        for number in range(1, TARGETS_PER_DOMAIN + 1)
    ]


def _entry_vms() -> list[Vm]:
    return [
        Vm(
            f"entry-{domain}",
            VmRole.ENTRY,
            VmState.LIVE,
            "",
            domain.partition("-")[0],
            domain,
            _free_address(),
            _free_address(),
        )
        for domain in ENTRY_DOMAINS
    ]


def _free_address() -> Address:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", sock.getsockname()[1])
