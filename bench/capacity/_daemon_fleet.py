"""Run a few daemon processes against a platform stand-in that counts their calls and bytes."""

import json
import tempfile
import threading
from collections import Counter
from collections.abc import Iterable
from functools import partial
from pathlib import Path
from typing import Any

import urllib3

from bench.fleet import SHAPES, Process, Shape
from bench.fleet import _addresses as addresses
from chervilmill.addresses import Address
from chervilmill.coordination import Vm, VmRole, VmState
from chervilmill.http import Environ, HttpServer, StartResponse
from chervilmill.standins.platform_server import PlatformApp
from chervilmill.standins.store import MemoryStore, retry_until

PLATFORM_HOST_NUMBER = 250
PLATFORM_THREADS = 120
START_TIMEOUT_S = 20.0


class CountingPlatform:
    """A platform stand-in that counts its reads, writes and watches, and the bytes of bodies."""

    def __init__(self, store: MemoryStore) -> None:
        self._app = PlatformApp(store)
        self._lock = threading.Lock()
        self.calls: Counter[str] = Counter()
        self.transferred_bytes = 0

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a request; count it and the bytes of its body and answer."""
        body = b"".join(self._app(environ, start_response))
        with self._lock:
            self.calls[_call_kind(environ)] += 1
            self.transferred_bytes += len(body) + int(environ.get("CONTENT_LENGTH") or 0)
        return [body]


class DaemonFleet:
    """Daemon processes and their platform, started and stopped as a context manager.

    `listed_vms` are only in the platform's list of VMs; no process runs for them. The class itself
    sends no load.
    """

    def __init__(self, nodes: int, listed_vms: Iterable[Vm] = ()) -> None:
        self.shape: Shape = SHAPES["souhrny"]
        self.store = MemoryStore()
        self.platform = CountingPlatform(self.store)
        self.processes: list[Process] = []
        self.urls: list[str] = []
        self._nodes = nodes
        self._listed_vms = tuple(listed_vms)
        self._directory = tempfile.TemporaryDirectory()
        self._server = HttpServer(
            addresses.address(PLATFORM_HOST_NUMBER, addresses.PLATFORM_PORT),
            self.platform,
            threads=PLATFORM_THREADS,
            before_stop=self.store.close,
        )

    def __enter__(self) -> "DaemonFleet":
        """Start the platform and the daemons."""
        self._server.start()
        for vm in self._listed_vms:
            self.store.put_vm(vm)
        try:
            for number in range(1, self._nodes + 1):
                self._start_node(number)
            for url in self.urls:
                if not retry_until(partial(_is_ready, url), START_TIMEOUT_S):
                    raise RuntimeError(f"daemon at {url} did not become ready in time")
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the daemons and the platform."""
        self.close()

    def close(self) -> None:
        """Stop the daemons and the platform."""
        for process in self.processes:
            process.kill()
        self.store.close()
        self._server.stop()
        self._directory.cleanup()

    def _start_node(self, number: int) -> None:
        place = self.shape.places[number % len(self.shape.places)]
        name = f"entry-{place.failure_domain}-{number}"
        callers = addresses.address(number, addresses.CALLERS_PORT)
        nodes = addresses.address(number, addresses.NODES_PORT)
        location = (place.region, place.failure_domain)
        self.store.put_vm(Vm(name, VmRole.ENTRY, VmState.LIVE, "", *location, callers, nodes))
        settings = self._settings(name, place.region, place.failure_domain, callers, nodes)
        directory = Path(self._directory.name)
        settings_file = directory / f"{name}.jsonc"
        settings_file.write_text(json.dumps(settings))
        arguments = ("chervilmill.daemon", "--settings", str(settings_file))
        self.processes.append(Process(name, arguments, directory / f"{name}.log"))
        self.urls.append(f"http://{callers}")

    def _settings(
        self, name: str, region: str, failure_domain: str, callers: Address, nodes: Address
    ) -> dict[str, Any]:
        settings = self.shape.settings()
        operators = Address(callers.host, addresses.OPERATORS_PORT)
        settings["node"] = {
            "name": name,
            "region": region,
            "failure_domain": failure_domain,
            "callers": str(callers),
            "operators": str(operators),
            "nodes": str(nodes),
        }
        settings["platform"]["address"] = str(self._server.address)
        return settings


def listed_targets(count: int, service: str = "souhrny") -> Iterable[Vm]:
    """Yield targets for the list of VMs; no process runs for them."""
    for number in range(count):
        address = Address(f"10.{number // 65536}.{number // 256 % 256}.{number % 256}", 80)
        region = SHAPES["souhrny"].regions[number % 3]
        name = f"target-{region}-{number}"
        failure_domain = f"{region}-{'ab'[number % 2]}"
        yield Vm(name, VmRole.TARGET, VmState.LIVE, service, region, failure_domain, address)


def _is_ready(url: str) -> bool:
    try:
        resp = urllib3.request("GET", f"{url}/lookup?service=souhrny", retries=False, timeout=2.0)
    except urllib3.exceptions.HTTPError:
        return False
    return resp.status == 200 and bool(resp.json()["entries"])


def _call_kind(environ: Environ) -> str:
    if environ["REQUEST_METHOD"] != "GET":
        return "write"
    return "watch" if environ["PATH_INFO"].startswith("/watch/") else "read"
