"""Check the log lines of a daemon process."""

import json
import signal
from collections.abc import Iterator

import pytest

from tests.whole_path import WholePath

STOP_TIMEOUT_S = 20


@pytest.fixture
def path(tmp_path) -> Iterator[WholePath]:
    running = WholePath(tmp_path)
    yield running
    running.close()


def test_each_line_is_json_with_node_and_revision(path: WholePath) -> None:
    headers = {"X-Request-Id": "refused-1"}
    path.http.request("GET", f"{path.url}/s/none/", headers=headers)
    path.daemon.send_signal(signal.SIGTERM)
    assert path.daemon.wait(STOP_TIMEOUT_S) == 0
    text = path.settings_file.with_suffix(".log").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    assert all({"time", "level", "node", "revision", "event"} <= set(line) for line in lines)
    assert {line["node"] for line in lines} == {"entry-1"}
    refused = [line for line in lines if line["event"] == "request refused"]
    shown = [(line["request_id"], line["reason"], line["ran"]) for line in refused]
    assert shown == [("refused-1", "unknown_service", "not_run")]
    assert lines[-1]["event"] == "node stopped"
