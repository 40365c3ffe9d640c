"""Send requests from a caller through a daemon process to a target."""

import hashlib
import io
import signal
import threading
from collections.abc import Iterator

import pytest

from chervilmill.standins.store import retry_until
from tests.whole_path import START_TIMEOUT_S, WholePath

STOP_TIMEOUT_S = 20
SIGNALS = 400
BUNDLE = bytes(range(256)) * 4096


@pytest.fixture
def whole_path(tmp_path) -> Iterator[WholePath]:
    running = WholePath(tmp_path)
    yield running
    running.close()


def test_look_up_returns_the_entry_vm(whole_path: WholePath) -> None:
    answer = whole_path.look_up()
    assert [entry["name"] for entry in answer["entries"]] == ["entry-1"]
    assert answer["lifetime_s"] == 1


def test_digest_arrives_in_parts_with_its_own_id(whole_path: WholePath) -> None:
    resp = whole_path.http.request(
        "GET",
        f"{whole_path.url}/s/souhrny/digest/7",
        headers={"X-Request-Id": "digest-7"},
        preload_content=False,
    )
    parts = list(resp.read_chunked())
    assert resp.headers["X-Request-Id"] == "digest-7"
    assert [part.split()[2] for part in parts] == [b"1", b"2", b"3"]


def test_order_without_key_is_refused_as_not_run(whole_path: WholePath) -> None:
    resp = whole_path.http.request("POST", f"{whole_path.url}/s/souhrny/orders", body=b"{}")
    assert resp.status == 428
    assert resp.json()["ran"] == "not_run"
    assert whole_path.state.requests == 0


def test_upload_survives_graceful_stop(whole_path: WholePath) -> None:
    result: list[dict] = []

    def upload() -> None:
        body = SlowBody(BUNDLE)
        headers = {"Content-Length": str(len(BUNDLE))}
        url = f"{whole_path.url}/s/souhrny/scans/1"
        result.append(whole_path.http.request("PUT", url, body=body, headers=headers).json())

    thread = threading.Thread(target=upload)
    thread.start()
    assert retry_until(lambda: whole_path.state.in_flight == 1, START_TIMEOUT_S)
    whole_path.daemon.send_signal(signal.SIGTERM)
    whole_path.daemon.send_signal(signal.SIGTERM)
    thread.join(STOP_TIMEOUT_S)
    assert result == [{"sha256": hashlib.sha256(BUNDLE).hexdigest()}]
    assert whole_path.daemon.wait(STOP_TIMEOUT_S) == 0


def test_signals_in_a_burst_block_the_daemon(whole_path: WholePath) -> None:
    for _ in range(SIGNALS):
        whole_path.daemon.send_signal(signal.SIGTERM)
    assert whole_path.daemon.wait(STOP_TIMEOUT_S) == 0


def test_leaving_node_refuses_new_requests_and_completes_old_ones(whole_path: WholePath) -> None:
    whole_path.state.behave({"work_s": 6})
    statuses: list[int] = []
    url = f"{whole_path.url}/s/souhrny/digest"
    thread = threading.Thread(
        target=lambda: statuses.append(whole_path.http.request("GET", url).status)
    )
    thread.start()
    assert retry_until(lambda: whole_path.state.in_flight == 1, START_TIMEOUT_S)
    whole_path.state.behave({"work_s": 0, "part_delay_s": 0})
    whole_path.daemon.send_signal(signal.SIGTERM)
    while (resp := whole_path.http.request("GET", url)).status == 200:
        pass
    refusal = resp.json()
    thread.join()
    assert (refusal["reason"], refusal["ran"]) == ("entry_leaving", "not_run")
    assert statuses == [200]
    assert whole_path.daemon.wait(STOP_TIMEOUT_S) == 0


class SlowBody(io.BytesIO):
    """A request body that is read slowly."""

    def read(self, size: int | None = -1) -> bytes:
        threading.Event().wait(0.02)
        return super().read(16 * 1024)
