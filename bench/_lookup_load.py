"""Send look-ups at a given rate, regardless of whether earlier look-ups were answered."""

import http.client
import ipaddress
import random
import threading
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from chervilmill.addresses import Address

CALLER_COUNT = 16
TIMEOUT_S = 5.0
MAX_LATENCY_US = 10_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000


@dataclass(slots=True)
class LoadResult:
    """The outcome of a load; latencies count from the time at which a look-up was due."""

    answered: int = 0
    failed: int = 0
    elapsed_s: float = 0.0
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    lock: threading.Lock = field(default_factory=threading.Lock)

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies."""
        return float(self.histogram.get_value_at_percentile(percentile)) / US_PER_MS

    def record(self, latency_s: float, is_answered: bool) -> None:
        """Record the outcome of one look-up."""
        with self.lock:
            self.answered += is_answered
            self.failed += not is_answered
            self.histogram.record_value(max(1, int(latency_s * US_PER_S)))


def run_load(address: Address, rate_per_s: float, duration_s: float, seed: int) -> LoadResult:
    """Send look-ups at an even rate from callers with persistent connections."""
    result = LoadResult()
    started_s = time.perf_counter() + 0.2
    total = int(rate_per_s * duration_s)
    threads = [
        threading.Thread(
            target=_run_caller, args=(address, caller, total, rate_per_s, started_s, seed, result)
        )
        for caller in range(CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    result.elapsed_s = time.perf_counter() - started_s
    return result


def _run_caller(
    address: Address,
    caller: int,
    total: int,
    rate_per_s: float,
    started_s: float,
    seed: int,
    result: LoadResult,
) -> None:
    rng = random.Random(seed * CALLER_COUNT + caller)
    connection = http.client.HTTPConnection(address.host, address.port, timeout=TIMEOUT_S)
    for number in range(caller, total, CALLER_COUNT):
        due_s = started_s + number / rate_per_s
        time.sleep(max(0.0, due_s - time.perf_counter()))
        client = ipaddress.IPv4Address((10 << 24) + rng.randrange(2**24))
        is_answered = _look_up(connection, str(client))
        result.record(time.perf_counter() - due_s, is_answered)
    connection.close()


def _look_up(connection: http.client.HTTPConnection, client: str) -> bool:
    try:
        connection.request("GET", f"/lookup?service=souhrny&client={client}")
        response = connection.getresponse()
        return b'"entries": [{' in response.read() and response.status == 200
    except (OSError, http.client.HTTPException):
        connection.close()
        return False
