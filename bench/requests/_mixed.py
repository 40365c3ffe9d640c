"""Check every answer of two entry VMs while the targets inject random answer faults."""

import random
import tempfile
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from bench._rows import Figure
from bench.fleet._addresses import CALLERS_PORT, PLATFORM_PORT, TARGET_PORT, address
from bench.requests._running import SERVICE, entry_vm, start_entry, target_vm, wait_until_up
from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore
from chervilmill.standins.target_server import AnswerFault, TargetState, target_server

FIRST_HOST = 10
ENTRIES = 2
TARGETS = 4
REQUESTS = 1_500
ORDER_KEYS = 250
CALLERS = 8
ORDER_SHARE = 0.3
FAULT_SHARE = 0.1
DEADLINE_MS = 1_500
LATE_ANSWER_S = 2.0
CLIENT_TIMEOUT_S = 20.0
PARTS_PER_DIGEST = 3


@dataclass(slots=True)
class CallerResults:
    """Outcome counts of the callers' requests; `lock` guards every field."""

    complete: int = 0
    refused: int = 0
    broken_off: int = 0
    mismatched: int = 0
    truncated: int = 0
    outcomes_by_key: dict[str, set[str]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)


def mixed_figures(seed: int) -> Iterator[Figure]:
    """Yield how often each guarantee was violated, and the outcomes of the requests."""
    with _running() as (pools, targets):
        results = _send_all(pools, targets, random.Random(seed))
    runs_by_key: Counter[str] = Counter()
    for target in targets:
        runs_by_key.update(target.orders_run)
    false_not_run = [
        key
        for key, ran in results.outcomes_by_key.items()
        if ran == {"not_run"} and runs_by_key[key]
    ]
    yield Figure(
        "mixed_faults.duplicates", sum(count > 1 for count in runs_by_key.values()), "orders"
    )
    yield Figure("mixed_faults.false_not_run", len(false_not_run), "orders")
    yield Figure("mixed_faults.crossed", results.mismatched, "answers")
    yield Figure("mixed_faults.silently_short", results.truncated, "answers")
    yield Figure("mixed_faults.whole", results.complete, "answers")
    yield Figure("mixed_faults.refused", results.refused, "requests")
    yield Figure("mixed_faults.broken_off", results.broken_off, "answers")
    yield Figure("mixed_faults.orders_run", len(runs_by_key), "orders")


@contextmanager
def _running() -> Iterator[tuple[list[urllib3.HTTPConnectionPool], list[TargetState]]]:
    store = MemoryStore()
    platform = platform_server(address(FIRST_HOST, PLATFORM_PORT), store)
    states = [TargetState(f"target-{number}", late_s=LATE_ANSWER_S) for number in range(TARGETS)]
    servers = [
        target_server(address(FIRST_HOST + number, TARGET_PORT), state)
        for number, state in enumerate(states)
    ]
    hosts = [FIRST_HOST + number for number in range(ENTRIES)]
    for state, server in zip(states, servers, strict=True):
        store.put_vm(target_vm(state.name, server.address))
        server.start()
    for host in hosts:
        store.put_vm(entry_vm(host))
    platform.start()
    with tempfile.TemporaryDirectory() as folder:
        processes = [start_entry(host, platform.address, Path(folder)) for host in hosts]
        try:
            pools = [_pool(host) for host in hosts]
            for pool in pools:
                wait_until_up(pool, f"/s/{SERVICE}/digest")
            yield pools, states
        finally:
            for process in processes:
                process.kill()
            for server in servers:
                server.stop()
            platform.stop()


def _pool(host: int) -> urllib3.HTTPConnectionPool:
    callers = address(host, CALLERS_PORT)
    return urllib3.HTTPConnectionPool(
        callers.host, callers.port, timeout=CLIENT_TIMEOUT_S, maxsize=CALLERS
    )


def _send_all(
    pools: list[urllib3.HTTPConnectionPool], targets: list[TargetState], rng: random.Random
) -> CallerResults:
    results = CallerResults()
    with ThreadPoolExecutor(CALLERS) as callers:
        for number in range(REQUESTS):
            pool, has_fault = rng.choice(pools), rng.random() < FAULT_SHARE
            faulty_target = rng.choice(targets) if has_fault else None
            fault = rng.choice(list(AnswerFault))
            if rng.random() < ORDER_SHARE:
                key = f"order-{rng.randrange(ORDER_KEYS)}"
                callers.submit(_send_one, faulty_target, fault, _send_order, pool, key, results)
            else:
                callers.submit(
                    _send_one,
                    faulty_target,
                    fault,
                    _send_digest,
                    pool,
                    f"/digest/{number}",
                    results,
                )
    return results


def _send_one(
    faulty_target: TargetState | None,
    fault: AnswerFault,
    send: Callable[[urllib3.HTTPConnectionPool, str, CallerResults], None],
    pool: urllib3.HTTPConnectionPool,
    name: str,
    results: CallerResults,
) -> None:
    if faulty_target is not None:
        faulty_target.faults.append(fault)
    send(pool, name, results)


def _send_digest(pool: urllib3.HTTPConnectionPool, path: str, results: CallerResults) -> None:
    headers = {"X-Request-Id": path.strip("/").replace("/", "-"), "X-Deadline-Ms": str(DEADLINE_MS)}
    try:
        resp = pool.request("GET", f"/s/souhrny{path}", headers=headers, retries=False)
    except urllib3.exceptions.HTTPError:
        with results.lock:
            results.broken_off += 1
        return
    with results.lock:
        if resp.status != 200:
            results.refused += 1
        elif resp.headers.get("X-Request-Id") != headers["X-Request-Id"]:
            results.mismatched += 1
        elif resp.data.count(f"{path} part".encode()) != PARTS_PER_DIGEST:
            results.truncated += 1
        else:
            results.complete += 1


def _send_order(pool: urllib3.HTTPConnectionPool, key: str, results: CallerResults) -> None:
    headers = {"Idempotency-Key": key, "X-Deadline-Ms": str(DEADLINE_MS)}
    try:
        resp = pool.request("POST", "/s/souhrny/orders", body=b"{}", headers=headers, retries=False)
    except urllib3.exceptions.HTTPError:
        with results.lock:
            results.broken_off += 1
            results.outcomes_by_key.setdefault(key, set()).add("unknown")
        return
    with results.lock:
        ran = "ran" if resp.status == 200 else str(resp.json()["ran"])
        results.outcomes_by_key.setdefault(key, set()).add(ran)
        if resp.status != 200:
            results.refused += 1
        elif f'"order": "{key}"'.encode() not in resp.data:
            results.mismatched += 1
        else:
            results.complete += 1
