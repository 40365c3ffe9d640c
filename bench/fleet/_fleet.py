"""Start, change and stop a fleet, and maintain the platform's list of VMs."""

import contextlib
import json
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

import urllib3

from bench.fleet import _addresses as addresses
from bench.fleet._platform import RegionView
from bench.fleet._processes import Process
from bench.fleet._shape import Place, Shape
from bench.fleet.relay import Route
from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.http import HttpServer
from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore, retry_until

START_TIMEOUT_S = 20.0
LOOKUP_LIFETIME_S = 1
PART_DELAY_S = 0.02
ENTRIES_PER_DOMAIN = 2
TARGETS_PER_DOMAIN = 2
BLOCKS_PER_REGION = 16
CLIENT_PREFIX_BITS = 20
DEMAND_PERCENT = 20
TARGET_HOST = 21
PLATFORM_HOST = 51
RELAY_HOST = 61


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of VMs in each failure domain and how long a target works on a request."""

    entries_per_domain: int = ENTRIES_PER_DOMAIN
    targets_per_domain: int = TARGETS_PER_DOMAIN
    work_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """The status code and the decoded body of an answer to an operator."""

    status: int
    value: dict[str, Any]


class Fleet:
    """The processes of one run, as a context manager that starts and ends them."""

    def __init__(self, shape: Shape, directory: Path, size: FleetSize | None = None) -> None:
        self.shape = shape
        self.store = MemoryStore()
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self.entries: dict[str, Vm] = {}
        self.targets: dict[str, Vm] = {}
        self.views: dict[str, RegionView] = {}
        self._size = size or FleetSize()
        self._platforms: list[HttpServer] = []
        self._routes: list[Route] = []
        self._relay_addresses: dict[tuple[str, Address], Address] = {}
        self._relay: Process | None = None
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self.clients = tuple(
            f"10.{region}.{block}.7"
            for region in range(1, len(shape.regions) + 1)
            for block in range(BLOCKS_PER_REGION)
        )
        self._token = str(shape.settings()["operators_token"])
        self._create_vms()

    def __enter__(self) -> "Fleet":
        """Start every process and wait until each entry VM answers look-ups."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End every process."""
        self.close()

    def close(self) -> None:
        """End every process and the platform stand-in."""
        self.store.close()
        for process in self.processes.values():
            process.kill()
        if self._relay is not None:
            self._relay.kill()
        for server in self._platforms:
            server.stop()

    def start_entry(self, name: str) -> None:
        """Start the process of an entry VM."""
        settings = self.directory / f"{name}.jsonc"
        arguments = ("chervilmill.daemon", "--settings", str(settings))
        self.processes[name] = Process(name, arguments, self.directory / f"{name}.log")

    def start_target(self, name: str) -> None:
        """Start a target's process, which appends to the records of its earlier processes."""
        options = {
            "--address": str(self.targets[name].address),
            "--name": name,
            "--behaviour": json.dumps(self._behaviour()),
            "--records": str(self.records_file(name)),
        }
        arguments = ["bench.fleet.target", *(text for item in options.items() for text in item)]
        self.processes[name] = Process(name, arguments, self.directory / f"{name}.log")

    def _behaviour(self) -> dict[str, float]:
        work_s = self._size.work_s
        return {"slots": self.shape.slots, "part_delay_s": PART_DELAY_S, "work_s": work_s}

    def records_file(self, target: str) -> Path:
        """Return the file to which a target writes the records of its executions."""
        return self.directory / f"{target}.runs"

    def vm(self, name: str) -> Vm:
        """Return the entry VM or target with the given name."""
        return self.entries.get(name) or self.targets[name]

    def vms_in(self, failure_domain: str) -> tuple[str, ...]:
        """Return the names of all VMs in a failure domain."""
        all_vms = {**self.entries, **self.targets}
        return tuple(name for name, vm in all_vms.items() if vm.failure_domain == failure_domain)

    def set_vm_state(self, name: str, state: VmState) -> None:
        """Put a VM with the given state into the platform's list."""
        self.store.put_vm(replace(self.vm(name), state=state))

    def change_behaviour(self, target: str, changes: dict[str, Any]) -> None:
        """Change the behaviour of a running target; do nothing if the target is down."""
        url = f"http://{self.targets[target].address}/_behaviour"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self._http.request("POST", url, body=json.dumps(changes).encode())

    def partition_regions(self, first: str, second: str) -> None:
        """Interrupt the link between two regions."""
        self._command_relay("part", first, second)
        self._set_partitioned(first, second, True)

    def reconnect_regions(self, first: str, second: str) -> None:
        """Restore the link between two regions."""
        self._command_relay("join", first, second)
        self._set_partitioned(first, second, False)

    def caller_url(self, name: str, from_region: str) -> str:
        """Return the URL at which callers in a region reach an entry VM."""
        vm = self.entries[name]
        return f"http://{self._vm_as_reached_from(from_region, vm).address}"

    def status(self, entry: str) -> dict[str, Any] | None:
        """Return the status that an entry VM reports to operators, or None without an answer."""
        answer = self.send_operator_request(entry, "GET", "/status", None)
        return None if answer is None else answer.value

    def send_operator_request(
        self, entry: str, method: str, path: str, body: dict[str, Any] | None
    ) -> OperatorAnswer | None:
        """Send an operator's request to an entry VM; return the answer, or None without one."""
        address = replace(self.entries[entry].address, port=addresses.OPERATORS_PORT)
        headers = {"Authorization": f"Bearer {self._token}"}
        content = None if body is None else json.dumps(body).encode()
        try:
            resp = self._http.request(
                method, f"http://{address}{path}", body=content, headers=headers
            )
            return OperatorAnswer(resp.status, resp.json())
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def _create_vms(self) -> None:
        for name, host, place in self._names_and_hosts("entry", 1, self._size.entries_per_domain):
            callers = addresses.address(host, addresses.CALLERS_PORT)
            nodes = addresses.address(host, addresses.NODES_PORT)
            location = (place.region, place.failure_domain)
            vm = Vm(name, VmRole.ENTRY, VmState.LIVE, "", *location, callers, nodes)
            self.entries[name] = vm
        for name, host, place in self._names_and_hosts(
            "target", TARGET_HOST, self._size.targets_per_domain
        ):
            address = addresses.address(host, addresses.TARGET_PORT)
            location = (place.region, place.failure_domain)
            service = self.shape.service
            self.targets[name] = Vm(name, VmRole.TARGET, VmState.LIVE, service, *location, address)

    def _names_and_hosts(
        self, role: str, host: int, per_domain: int
    ) -> Iterator[tuple[str, int, Place]]:
        for place in self.shape.places:
            for number in range(1, per_domain + 1):
                yield f"{role}-{place.failure_domain}-{number}", host, place
                host += 1

    def _start(self) -> None:
        self._plan_routes()
        self._start_relay()
        self._start_platforms()
        for name in (*self.entries, *self.targets):
            self.set_vm_state(name, VmState.LIVE)
        for name in self.targets:
            self.start_target(name)
        for name, vm in self.entries.items():
            self._write_settings(name, vm)
            self.start_entry(name)
        for name in self.entries:
            if not retry_until(partial(self.is_up, name), START_TIMEOUT_S):
                raise RuntimeError(
                    f"entry VM {name} did not answer look-ups within {START_TIMEOUT_S} s"
                )

    def is_up(self, entry: str) -> bool:
        """Return whether an entry VM answers a look-up with at least one entry VM."""
        url = self.caller_url(entry, self.entries[entry].region)
        try:
            resp = self._http.request("GET", f"{url}/lookup?service={self.shape.service}")
        except urllib3.exceptions.HTTPError:
            return False
        return resp.status == 200 and bool(resp.json()["entries"])

    def _write_settings(self, name: str, vm: Vm) -> None:
        raw = self.shape.settings()
        raw["node"] = {
            "name": name,
            "region": vm.region,
            "failure_domain": vm.failure_domain,
            "callers": str(vm.address),
            "operators": str(replace(vm.address, port=addresses.OPERATORS_PORT)),
            "nodes": str(vm.nodes),
            "seeds": self._seeds(name, vm.region),
        }
        raw["platform"]["address"] = str(self._platform_address(vm.region))
        raw["limits"]["lookup_lifetime_s"] = LOOKUP_LIFETIME_S
        raw["steering"]["clients"] = [
            {"network": f"10.{number}.0.0/{CLIENT_PREFIX_BITS}", "region": region}
            for number, region in enumerate(self.shape.regions, 1)
        ]
        for service in raw["services"]:
            service["requests_per_s"] = max(1, service["requests_per_s"] * DEMAND_PERCENT // 100)
        (self.directory / f"{name}.jsonc").write_text(json.dumps(raw))

    def _seeds(self, name: str, region: str) -> list[str]:
        """Return the node addresses at which a region reaches the other entry VMs."""
        others = (vm for vm in self.entries.values() if vm.name != name)
        return [str(self._vm_as_reached_from(region, vm).nodes) for vm in others]

    def _platform_address(self, region: str) -> Address:
        host = PLATFORM_HOST + self.shape.regions.index(region)
        return addresses.address(host, addresses.PLATFORM_PORT)

    def _start_platforms(self) -> None:
        for region in self.shape.regions:
            is_far = region != self.shape.store_region
            round_trip_s = 2 * self.shape.link_delay_s if is_far else 0.0
            view = RegionView(self.store, round_trip_s, partial(self._vm_as_reached_from, region))
            server = platform_server(self._platform_address(region), view)
            server.start()
            self.views[region] = view
            self._platforms.append(server)

    def _plan_routes(self) -> None:
        for index, region in enumerate(self.shape.regions):
            port = addresses.RELAY_PORT
            for vm in (*self.entries.values(), *self.targets.values()):
                if vm.region == region:
                    continue
                for to in (vm.address, vm.nodes):
                    if to is not None:
                        listen = addresses.address(RELAY_HOST + index, port)
                        self._add_route(region, vm.region, listen, to)
                        port += 1

    def _add_route(self, region: str, to_region: str, listen: Address, to: Address) -> None:
        link = _link_name(region, to_region)
        delay_s = self.shape.link_delay_s
        route = Route(link, delay_s, listen.host, listen.port, to.host, to.port)
        self._routes.append(route)
        self._relay_addresses[region, to] = listen

    def _start_relay(self) -> None:
        log = self.directory / "relay.log"
        self._relay = Process("relay", ("bench.fleet.relay",), log)
        self._relay.write_line(json.dumps([asdict(route) for route in self._routes]))
        if not retry_until(lambda: "ready" in log.read_text(), START_TIMEOUT_S):
            raise RuntimeError(f"relay did not start within {START_TIMEOUT_S} s")

    def _vm_as_reached_from(self, region: str, vm: Vm) -> Vm:
        address = self._relay_addresses.get((region, vm.address), vm.address)
        nodes = vm.nodes
        if nodes is not None:
            nodes = self._relay_addresses.get((region, nodes), nodes)
        return replace(vm, address=address, nodes=nodes)

    def _command_relay(self, verb: str, first: str, second: str) -> None:
        assert self._relay is not None
        self._relay.write_line(f"{verb} {_link_name(first, second)}")

    def _set_partitioned(self, first: str, second: str, is_partitioned: bool) -> None:
        for near, far in ((first, second), (second, first)):
            if far == self.shape.store_region:
                self.views[near].is_partitioned = is_partitioned


def _link_name(first: str, second: str) -> str:
    return "-".join(sorted((first, second)))
