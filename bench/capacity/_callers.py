"""Measure what look-ups and forwarded requests cost the process of a node."""

import threading
import time
from collections.abc import Callable, Iterator

import urllib3

from bench._rows import Figure
from bench.capacity._fit import Quantity, figures_of
from bench.capacity._probe import Probe, other_targets
from bench.capacity._target import LOOKUPS_PER_NODE_S, NODES
from bench.fleet import _addresses as addresses
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.standins.target_server import TargetState, target_server

LOOKUPS = 400
CALLERS = 8
ENTRY_SIZES = (50, 200, 800)
REQUEST_SIZES = (100, 200, 400)
IN_FLIGHT_SIZES = (0, 20, 40)
UPLOAD_MB_SIZES = (8, 32, 64)
MB = 1024**2
TARGET_HOST = 240
REQUEST_TIMEOUT_S = 30.0
HELD_PART_DELAY_S = 1.0
REQUEST_THREADS = 64

LOOKUP_CPU = Quantity(
    "lookup",
    "cpu",
    f"processor time of {LOOKUPS_PER_NODE_S:.0f} look-ups/s",
    "entry VMs",
    ENTRY_SIZES,
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
    REQUEST_SIZES,
    100,
    "cores",
    "one thread for each request",
)
UPLOAD_CPU = Quantity(
    "forwarding",
    "upload_cpu",
    "processor time of 12.5 MB/s (100 Mbit/s) of uploads",
    "MB",
    UPLOAD_MB_SIZES,
    12.5,
    "cores",
    "pieces of 64 KB from socket to socket",
)
IN_FLIGHT_MEMORY = Quantity(
    "forwarding",
    "memory",
    "memory of a node with every request thread at work",
    "requests in flight",
    IN_FLIGHT_SIZES,
    REQUEST_THREADS,
    "MB",
    "one thread and two connections for each request",
    scale=1e-6,
)
QUANTITIES = (LOOKUP_CPU, REQUEST_CPU, UPLOAD_CPU, IN_FLIGHT_MEMORY)


def figures() -> Iterator[Figure]:
    """Yield the slopes of look-ups and of forwarded requests."""
    yield from figures_of(LOOKUP_CPU, [_lookup_cpu_s(size) for size in ENTRY_SIZES])
    state = TargetState("target-1", slots=REQUEST_THREADS)
    server = target_server(addresses.address(TARGET_HOST, addresses.TARGET_PORT), state)
    server.start()
    vm = Vm("target-1", VmRole.TARGET, VmState.LIVE, "souhrny", "praha", "praha-a", server.address)
    try:
        with Probe(1, [vm]) as probe:
            yield from figures_of(REQUEST_CPU, [_request_cpu_s(probe, n) for n in REQUEST_SIZES])
            yield from figures_of(UPLOAD_CPU, [_upload_cpu_s(probe, n) for n in UPLOAD_MB_SIZES])
            state.part_delay_s = HELD_PART_DELAY_S
            memory = [_memory_bytes(probe, size) for size in IN_FLIGHT_SIZES]
            yield from figures_of(IN_FLIGHT_MEMORY, memory)
    finally:
        server.stop()


def _lookup_cpu_s(entry_vms: int) -> float:
    with Probe(1, _other_entries(entry_vms - 1)) as probe:
        url = f"{probe.urls[0]}/lookup?service=souhrny"
        _in_parallel(CALLERS, lambda: _get(url, LOOKUPS // 4 // CALLERS))
        before_s = probe.processes[0].cpu_s()
        _in_parallel(CALLERS, lambda: _get(url, LOOKUPS // CALLERS))
        return (probe.processes[0].cpu_s() - before_s) / LOOKUPS


def _request_cpu_s(probe: Probe, requests: int) -> float:
    url = f"{probe.urls[0]}/s/souhrny/digest/1"
    before_s = probe.processes[0].cpu_s()
    _in_parallel(4, lambda: _get(url, requests // 4))
    return probe.processes[0].cpu_s() - before_s


def _upload_cpu_s(probe: Probe, megabytes: int) -> float:
    body = bytes(megabytes * MB)
    before_s = probe.processes[0].cpu_s()
    url = f"{probe.urls[0]}/s/souhrny/scans/1"
    resp = urllib3.request("PUT", url, body=body, timeout=REQUEST_TIMEOUT_S, retries=False)
    _expect_answer(resp)
    return probe.processes[0].cpu_s() - before_s


def _memory_bytes(probe: Probe, in_flight: int) -> float:
    url = f"{probe.urls[0]}/s/souhrny/digest/1"
    threads = [threading.Thread(target=_get, args=(url, 1)) for _ in range(in_flight)]
    for thread in threads:
        thread.start()
    time.sleep(HELD_PART_DELAY_S)
    memory = probe.processes[0].memory_bytes()
    for thread in threads:
        thread.join()
    return float(memory)


def _get(url: str, count: int) -> None:
    with urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S) as http:
        for _ in range(count):
            _expect_answer(http.request("GET", url))


def _expect_answer(resp: urllib3.BaseHTTPResponse) -> None:
    if resp.status != 200:
        raise RuntimeError(f"status {resp.status}: {resp.data[:200]!r}")


def _in_parallel(count: int, work: Callable[[], None]) -> None:
    threads = [threading.Thread(target=work) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _other_entries(count: int) -> Iterator[Vm]:
    for index, vm in enumerate(other_targets(count)):
        name = f"entry-{vm.region}-other-{index}"
        where = (vm.region, vm.failure_domain)
        yield Vm(name, VmRole.ENTRY, VmState.LIVE, "", *where, vm.address, vm.address)
