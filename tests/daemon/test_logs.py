"""Check the log lines that a daemon process writes."""

import json
import signal
from collections.abc import Iterator

import pytest

from tests.whole_path import WholePath

STOP_TIMEOUT_S = 20


@pytest.fixture
def whole_path(tmp_path) -> Iterator[WholePath]:
    running = WholePath(tmp_path)
    yield running
    running.close()


def test_each_line_is_json_with_node_and_revision(whole_path: WholePath) -> None:
    headers = {"X-Request-Id": "refused-1"}
    whole_path.http.request("GET", f"{whole_path.url}/s/none/", headers=headers)
    whole_path.daemon.send_signal(signal.SIGTERM)
    assert whole_path.daemon.wait(STOP_TIMEOUT_S) == 0
    text = whole_path.settings_file.with_suffix(".log").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    assert all({"time", "level", "node", "revision", "event"} <= set(line) for line in lines)
    assert {line["node"] for line in lines} == {"entry-1"}
    refused = [line for line in lines if line["event"] == "request refused"]
    shown = [(line["request_id"], line["reason"], line["ran"]) for line in refused]
    assert shown == [("refused-1", "unknown_service", "not_run")]
    assert lines[-1]["event"] == "node stopped"
