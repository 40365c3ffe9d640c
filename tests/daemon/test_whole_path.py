"""Serve requests from a caller through a daemon process to a target and back."""

import hashlib
import io
import json
import signal
import threading
from collections.abc import Iterator

import pytest
import urllib3

from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore, retry_until
from chervilmill.standins.target_server import TargetState, target_server
from tests.support import entry_vm, free_address, raw_settings, start_daemon, target_vm

START_TIMEOUT_S = 10
STOP_TIMEOUT_S = 20
BUNDLE = bytes(range(256)) * 4096


class Path:
    """Hold the running parts of one whole path."""

    def __init__(self, tmp_path) -> None:
        self.store = MemoryStore()
        self.state = TargetState("target-1", part_delay_s=0.2)
        self.platform = platform_server(free_address(), self.store)
        self.target = target_server(free_address(), self.state)
        self.platform.start()
        self.target.start()
        raw = raw_settings("entry-1", self.platform.address)
        self.store.put_vm(entry_vm(raw))
        self.store.put_vm(target_vm("target-1", self.target.address))
        settings_file = tmp_path / "entry-1.jsonc"
        settings_file.write_text(json.dumps(raw))
        self.daemon = start_daemon(settings_file)
        self.url = f"http://{raw['node']['callers']}"
        self.http = urllib3.PoolManager(retries=False, timeout=10)
        assert retry_until(self.is_up, START_TIMEOUT_S)

    def is_up(self) -> bool:
        try:
            return bool(self.look_up()["entries"])
        except urllib3.exceptions.HTTPError:
            return False

    def look_up(self) -> dict:
        return self.http.request("GET", f"{self.url}/lookup?service=souhrny").json()

    def close(self) -> None:
        self.daemon.kill()
        self.daemon.wait()
        self.target.stop()
        self.platform.stop()


@pytest.fixture
def path(tmp_path) -> Iterator[Path]:
    running = Path(tmp_path)
    yield running
    running.close()


def test_look_up_names_the_entry_vm(path: Path) -> None:
    answer = path.look_up()
    assert [entry["name"] for entry in answer["entries"]] == ["entry-1"]
    assert answer["lifetime_s"] == 1


def test_digest_arrives_in_parts_with_its_own_id(path: Path) -> None:
    resp = path.http.request(
        "GET",
        f"{path.url}/s/souhrny/digest/7",
        headers={"X-Request-Id": "digest-7"},
        preload_content=False,
    )
    parts = list(resp.read_chunked())
    assert resp.headers["X-Request-Id"] == "digest-7"
    assert [part.split()[2] for part in parts] == [b"1", b"2", b"3"]


def test_order_without_key_is_refused_as_not_run(path: Path) -> None:
    resp = path.http.request("POST", f"{path.url}/s/souhrny/orders", body=b"{}")
    assert resp.status == 428
    assert resp.json()["ran"] == "not_run"
    assert path.state.requests == 0


def test_upload_survives_graceful_stop(path: Path) -> None:
    result: list[dict] = []

    def upload() -> None:
        body = SlowBody(BUNDLE)
        headers = {"Content-Length": str(len(BUNDLE))}
        url = f"{path.url}/s/souhrny/scans/1"
        result.append(path.http.request("PUT", url, body=body, headers=headers).json())

    thread = threading.Thread(target=upload)
    thread.start()
    assert retry_until(lambda: path.state.in_flight == 1, START_TIMEOUT_S)
    path.daemon.send_signal(signal.SIGTERM)
    path.daemon.send_signal(signal.SIGTERM)
    thread.join(STOP_TIMEOUT_S)
    assert result == [{"sha256": hashlib.sha256(BUNDLE).hexdigest()}]
    assert path.daemon.wait(STOP_TIMEOUT_S) == 0


class SlowBody(io.BytesIO):
    """Give a body out slowly."""

    def read(self, size: int | None = -1) -> bytes:
        threading.Event().wait(0.02)
        return super().read(16 * 1024)
