"""Step of the demonstration: an upload completes during the planned stop of its entry VM."""

import hashlib
import random
import time
from typing import Any

from chervilmill.standins.demo._report import Report
from chervilmill.standins.demo._site import Site
from chervilmill.standins.store import retry_until

UPLOAD_BYTES = 64 * 1024**2
STOP_AT_BYTES = UPLOAD_BYTES // 4
BYTES_BETWEEN_PAUSES = 4 * 1024**2
PAUSE_S = 0.15
STOP_TIMEOUT_S = 15
LOOKUP_TIMEOUT_S = 5


class EntryStoppingBody:
    """A slow request body that stops the entry VM after its first quarter was sent."""

    def __init__(self, data: bytes, site: Site, entry: str) -> None:
        self._data = data
        self._position = 0
        self._site = site
        self._entry = entry
        self.stopped_s = 0.0

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes of the body."""
        end = len(self._data) if size < 0 else self._position + size
        part = self._data[self._position : end]
        if self._position // BYTES_BETWEEN_PAUSES != end // BYTES_BETWEEN_PAUSES:
            time.sleep(PAUSE_S)
        self._position += len(part)
        if not self.stopped_s and self._position >= STOP_AT_BYTES:
            self._site.processes.signal_stop(self._entry)
            self.stopped_s = time.monotonic()
        return part


def show_upload(site: Site, report: Report) -> None:
    """Upload a file through an entry VM that receives SIGTERM meanwhile."""
    vm = site.entries[1]
    data = random.Random(1).randbytes(UPLOAD_BYTES)
    body: Any = EntryStoppingBody(data, site, vm.name)
    headers = {"Content-Length": str(len(data))}
    url = site.entry_url(vm, "/scans/1")
    answer = site.http.request("PUT", url, body=body, headers=headers).json()
    ended_s = time.monotonic()
    code = site.processes.wait(vm.name, STOP_TIMEOUT_S)
    exited_s = time.monotonic()
    report.line(f"{vm.name} told to stop after {STOP_AT_BYTES // 1024**2} MB of 64 MB")
    report.line(f"upload ended {ended_s - body.stopped_s:.1f} s later")
    report.line(f"process ended {exited_s - body.stopped_s:.1f} s after it was told to stop")
    is_whole = answer.get("sha256") == hashlib.sha256(data).hexdigest()
    report.claim("the target has the whole upload, by its hash", is_whole)
    stored = [name for name, stats in site.stats().items() if "/scans/1" in stats["upload_hashes"]]
    report.claim("one target has taken the upload", len(stored) == 1)
    report.claim("the entry VM stopped by itself with exit code 0", code == 0)
    _withdraw(site, vm.name)
    is_removed = retry_until(lambda: vm.name not in _names_in_lookup(site), LOOKUP_TIMEOUT_S)
    report.claim("look-ups no longer name it", is_removed)


def _withdraw(site: Site, name: str) -> None:
    site.http.request("DELETE", f"http://{site.platform}/vms/{name}")


def _names_in_lookup(site: Site) -> list[str]:
    return [entry["name"] for entry in site.look_up(site.entries[0])["entries"]]
