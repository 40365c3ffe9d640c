"""Measure the processor time and memory that look-ups and forwarded requests cost a node."""

import threading
import time
from collections.abc import Callable, Iterator

import urllib3

from bench._rows import Figure
from bench.capacity._daemon_fleet import DaemonFleet, listed_targets
from bench.capacity._fit import Quantity, fitted_figures
from bench.capacity._target_size import LOOKUPS_PER_NODE_S, NODES
from bench.fleet import _addresses as addresses
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.standins.target_server import TargetState, target_server

LOOKUPS = 400
LOOKUP_THREADS = 8
ENTRY_VM_COUNTS = (50, 200, 800)
REQUEST_COUNTS = (100, 200, 400)
IN_FLIGHT_COUNTS = (0, 20, 40)
UPLOAD_SIZES_MB = (8, 32, 64)
BYTES_PER_MB = 1024**2
TARGET_HOST = 240
REQUEST_TIMEOUT_S = 30.0
SLOW_PART_DELAY_S = 1.0
REQUEST_THREADS = 64

LOOKUP_CPU = Quantity(
    "lookup",
    "cpu",
    f"processor time of {LOOKUPS_PER_NODE_S:.0f} look-ups/s",
    "entry VMs",
    ENTRY_VM_COUNTS,
    NODES,
    "cores",
    "HTTP by cheroot and a table answer for each look-up",
    scale=LOOKUPS_PER_NODE_S,
)
REQUEST_CPU = Quantity(
    "forwarding",
    "cpu",
    "processor time of 100 digests/s at a node",
    "requests",
    REQUEST_COUNTS,
    100,
    "cores",
    "one thread for each request",
)
UPLOAD_CPU = Quantity(
    "forwarding",
    "upload_cpu",
    "processor time of 12.5 MB/s (100 Mbit/s) of uploads",
    "MB",
    UPLOAD_SIZES_MB,
    12.5,
    "cores",
    "pieces of 64 KB from socket to socket",
)
IN_FLIGHT_MEMORY = Quantity(
    "forwarding",
    "memory",
    "memory of a node with every request thread at work",
    "requests in flight",
    IN_FLIGHT_COUNTS,
    REQUEST_THREADS,
    "MB",
    "one thread and two connections for each request",
    scale=1e-6,
)
QUANTITIES = (LOOKUP_CPU, REQUEST_CPU, UPLOAD_CPU, IN_FLIGHT_MEMORY)


def figures() -> Iterator[Figure]:
    """Yield how the costs of look-ups and forwarded requests grow with their drivers."""
    yield from fitted_figures(LOOKUP_CPU, [_lookup_cpu_s(size) for size in ENTRY_VM_COUNTS])
    state = TargetState("target-1", slots=REQUEST_THREADS)
    server = target_server(addresses.address(TARGET_HOST, addresses.TARGET_PORT), state)
    server.start()
    vm = Vm("target-1", VmRole.TARGET, VmState.LIVE, "souhrny", "praha", "praha-a", server.address)
    try:
        with DaemonFleet(1, [vm]) as fleet:
            yield from fitted_figures(
                REQUEST_CPU, [_request_cpu_s(fleet, n) for n in REQUEST_COUNTS]
            )
            yield from fitted_figures(
                UPLOAD_CPU, [_upload_cpu_s(fleet, n) for n in UPLOAD_SIZES_MB]
            )
            state.part_delay_s = SLOW_PART_DELAY_S
            memory = [_memory_bytes(fleet, size) for size in IN_FLIGHT_COUNTS]
            yield from fitted_figures(IN_FLIGHT_MEMORY, memory)
    finally:
        server.stop()


def _lookup_cpu_s(entry_vms: int) -> float:
    with DaemonFleet(1, _listed_entry_vms(entry_vms - 1)) as fleet:
        url = f"{fleet.urls[0]}/lookup?service=souhrny"
        _in_parallel(LOOKUP_THREADS, lambda: _get(url, LOOKUPS // 4 // LOOKUP_THREADS))
        cpu_before_s = fleet.processes[0].cpu_s()
        _in_parallel(LOOKUP_THREADS, lambda: _get(url, LOOKUPS // LOOKUP_THREADS))
        return (fleet.processes[0].cpu_s() - cpu_before_s) / LOOKUPS


def _request_cpu_s(fleet: DaemonFleet, requests: int) -> float:
    url = f"{fleet.urls[0]}/s/souhrny/digest/1"
    cpu_before_s = fleet.processes[0].cpu_s()
    _in_parallel(4, lambda: _get(url, requests // 4))
    return fleet.processes[0].cpu_s() - cpu_before_s


def _upload_cpu_s(fleet: DaemonFleet, megabytes: int) -> float:
    body = bytes(megabytes * BYTES_PER_MB)
    cpu_before_s = fleet.processes[0].cpu_s()
    url = f"{fleet.urls[0]}/s/souhrny/scans/1"
    resp = urllib3.request("PUT", url, body=body, timeout=REQUEST_TIMEOUT_S, retries=False)
    _raise_unless_ok(resp)
    return fleet.processes[0].cpu_s() - cpu_before_s


def _memory_bytes(fleet: DaemonFleet, in_flight: int) -> float:
    url = f"{fleet.urls[0]}/s/souhrny/digest/1"
    threads = [threading.Thread(target=_get, args=(url, 1)) for _ in range(in_flight)]
    for thread in threads:
        thread.start()
    time.sleep(SLOW_PART_DELAY_S)
    memory = fleet.processes[0].memory_bytes()
    for thread in threads:
        thread.join()
    return float(memory)


def _get(url: str, count: int) -> None:
    with urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S) as http:
        for _ in range(count):
            _raise_unless_ok(http.request("GET", url))


def _raise_unless_ok(resp: urllib3.BaseHTTPResponse) -> None:
    if resp.status != 200:
        raise RuntimeError(f"request answered with status {resp.status}: {resp.data[:200]!r}")


def _in_parallel(count: int, work: Callable[[], None]) -> None:
    threads = [threading.Thread(target=work) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _listed_entry_vms(count: int) -> Iterator[Vm]:
    for index, vm in enumerate(listed_targets(count)):
        name = f"entry-{vm.region}-other-{index}"
        location = (vm.region, vm.failure_domain)
        yield Vm(name, VmRole.ENTRY, VmState.LIVE, "", *location, vm.address, vm.address)
