"""Compare requests through one entry VM with direct ones, using processes on loopback."""

import json
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import IO, cast

import urllib3
from hdrh.histogram import HdrHistogram

from bench._rows import Figure
from bench.fleet._addresses import PLATFORM_PORT, TARGET_PORT, address
from bench.fleet._processes import Process
from bench.requests._running import entry_vm, start_entry, target_vm, wait_until_up
from chervilmill.addresses import Address
from chervilmill.coordination._codec import vm_to_json

HOST = 1
TIMEOUT_S = 30.0
WARM_UP_REQUESTS = 300
REQUESTS = 2_000
ORDERS = 300
UPLOAD_BYTES = 1024**3
PART_BYTES = 256 * 1024
MEMORY_SAMPLES = 64
MIB = 1024**2
MAX_LATENCY_US = 60_000_000


@dataclass(frozen=True, slots=True)
class RunningPath:
    """The process of an entry VM, with clients of the entry VM and of the target behind it."""

    entry: Process
    through: urllib3.HTTPConnectionPool
    direct: urllib3.HTTPConnectionPool


def path_figures() -> Iterator[Figure]:
    """Yield the added latency, CPU time, order latency, and memory and rate of a large upload."""
    with _running() as path:
        direct, through = _measure_alternately(path)
        for quantile in (50, 99):
            through_ms = _quantile_ms(through, quantile)
            direct_ms = _quantile_ms(direct, quantile)
            yield Figure(f"path.direct_p{quantile}", direct_ms, "ms")
            yield Figure(f"path.through_p{quantile}", through_ms, "ms")
            yield Figure(f"path.added_p{quantile}", through_ms - direct_ms, "ms")
        yield Figure("path.cpu_per_request", _cpu_per_request_ms(path), "ms")
        yield Figure("path.order_p50", _quantile_ms(_measure_orders(path), 50), "ms")
        yield from _upload_figures(path)


@contextmanager
def _running() -> Iterator[RunningPath]:
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        platform, target = address(HOST, PLATFORM_PORT), address(HOST, TARGET_PORT)
        vms = [entry_vm(HOST), target_vm("target-1", target)]
        (folder / "vms.json").write_text(json.dumps([vm_to_json(vm) for vm in vms]))
        platform_arguments = [
            "chervilmill.standins.platform_main",
            *("--address", str(platform), "--vms", str(folder / "vms.json")),
        ]
        target_arguments = [
            "chervilmill.standins.target_main",
            *("--address", str(target), "--name", "target-1"),
            *("--behaviour", json.dumps({"parts": 2})),
        ]
        processes = [
            Process("platform", platform_arguments, folder / "platform.log"),
            Process("target", target_arguments, folder / "target.log"),
            start_entry(HOST, platform, folder),
        ]
        try:
            path = RunningPath(processes[-1], _pool(vms[0].address), _pool(target))
            wait_until_up(path.direct, "/digest")
            wait_until_up(path.through, "/s/souhrny/digest")
            yield path
        finally:
            for process in processes:
                process.kill()


def _measure_alternately(path: RunningPath) -> tuple[HdrHistogram, HdrHistogram]:
    """Alternate direct and proxied digests, so that both run under the same machine load."""
    for _ in range(WARM_UP_REQUESTS):
        _get_digest(path.direct, "")
        _get_digest(path.through, "/s/souhrny")
    direct, through = _histogram(), _histogram()
    for _ in range(REQUESTS):
        _measure(direct, lambda: _get_digest(path.direct, ""))
        _measure(through, lambda: _get_digest(path.through, "/s/souhrny"))
    return direct, through


def _get_digest(pool: urllib3.HTTPConnectionPool, prefix: str) -> None:
    resp = pool.request("GET", f"{prefix}/digest", headers={"X-Request-Id": "r"}, retries=False)
    if resp.status != 200 or resp.data.count(b"part") != 2:
        raise RuntimeError(f"digest ended with status {resp.status}")


def _measure_orders(path: RunningPath) -> HdrHistogram:
    latencies = _histogram()
    for number in range(ORDERS):
        key = f"order-{number}"
        _measure(latencies, lambda key=key: _post_order(path, key))  # type: ignore[misc]
    return latencies


def _post_order(path: RunningPath, key: str) -> None:
    headers = {"Idempotency-Key": key}
    resp = path.through.request(
        "POST", "/s/souhrny/orders", body=b"{}", headers=headers, retries=False
    )
    if resp.status != 200:
        raise RuntimeError(f"order ended with status {resp.status}")


def _cpu_per_request_ms(path: RunningPath) -> float:
    before_s = path.entry.cpu_s()
    for _ in range(REQUESTS):
        _get_digest(path.through, "/s/souhrny")
    return 1000 * (path.entry.cpu_s() - before_s) / REQUESTS


def _upload_figures(path: RunningPath) -> Iterator[Figure]:
    body = _MemorySamplingBody(UPLOAD_BYTES, path.entry.memory_bytes)
    memory_before_bytes = path.entry.memory_bytes()
    started_s = time.monotonic()
    resp = path.through.request(
        "PUT",
        "/s/souhrny/scan",
        body=cast(IO[bytes], body),
        headers={"Content-Length": str(UPLOAD_BYTES), "X-Deadline-Ms": "600000"},
        retries=False,
        timeout=600,
    )
    if resp.status != 200:
        raise RuntimeError(f"upload ended with status {resp.status}")
    elapsed_s = time.monotonic() - started_s
    yield Figure(
        "upload.memory_growth", (body.peak_memory_bytes - memory_before_bytes) / MIB, "MiB"
    )
    yield Figure("upload.rate", UPLOAD_BYTES / MIB / elapsed_s, "MiB/s")


class _MemorySamplingBody:
    """A file-like body of zeros that samples the memory of a process while it is read."""

    def __init__(self, length: int, measure_memory_bytes: Callable[[], int]) -> None:
        self._remaining = length
        self._measure_memory_bytes = measure_memory_bytes
        self._sample_interval = length // MEMORY_SAMPLES
        self._next_sample_at = length
        self.peak_memory_bytes = 0

    def read(self, size: int = -1) -> bytes:
        if self._remaining <= self._next_sample_at:
            self.peak_memory_bytes = max(self.peak_memory_bytes, self._measure_memory_bytes())
            self._next_sample_at -= self._sample_interval
        part = bytes(min(PART_BYTES, self._remaining))
        self._remaining -= len(part)
        return part


def _pool(server: Address) -> urllib3.HTTPConnectionPool:
    return urllib3.HTTPConnectionPool(server.host, server.port, timeout=TIMEOUT_S)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def _measure(latencies: HdrHistogram, request: Callable[[], None]) -> None:
    started_s = time.perf_counter()
    request()
    latencies.record_value(int(1e6 * (time.perf_counter() - started_s)))


def _quantile_ms(latencies: HdrHistogram, quantile: float) -> float:
    return float(latencies.get_value_at_percentile(quantile)) / 1000
