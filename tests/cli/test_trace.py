"""Test that a trace explains the outcome of requests in a recorded log."""

import io
import json
from pathlib import Path

import pytest

from chervilmill.cli import main
from chervilmill.cli._trace import parse_lines, trace
from tests.support import ROOT

LOGS = Path(__file__).parent / "played_day.log"
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()


@pytest.mark.parametrize(
    ("request_id", "steps"),
    [
        (
            "49f13f41b64d0d6f",
            ["request refused: service=hucu99a reason=targets_busy", "left 2.000"],
        ),
        (
            "d362e48bdde12d96",
            ["attempt failed: target=i-533d57d157 end=lost", "reason=target_failed status=502"],
        ),
        (
            "9058485e673cb608",
            ["configuration in force", "attempt failed", "reason=deadline_exceeded status=504"],
        ),
    ],
)
def test_trace_leads_from_id_to_cause(
    capsys: pytest.CaptureFixture[str], request_id: str, steps: list[str]
) -> None:
    assert main(["trace", request_id, str(LOGS)]) == 0
    shown = capsys.readouterr().out
    position = -1
    for step in steps:
        found = shown.find(step, position + 1)
        assert found > position, f"{step!r} in {shown}"
        position = found
    assert request_id in PAGE


def test_lines_of_the_page_are_lines_of_the_log() -> None:
    known = {json.dumps(line.fields) for line in parse_lines(LOGS.read_text().splitlines())}
    quoted = [json.dumps(line.fields) for line in parse_lines(PAGE.splitlines())]
    assert len(quoted) >= 4
    assert set(quoted) <= known


def test_other_requests_are_left_out() -> None:
    lines = list(parse_lines(LOGS.read_text().splitlines()))
    shown = trace(lines, "49f13f41b64d0d6f")
    ids = {line.fields["request"] for line in shown if "request" in line.fields}
    assert ids == {"49f13f41b64d0d6f"}


def test_unknown_request_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["trace", "none", str(LOGS)]) == 1
    assert "no line has request none" in capsys.readouterr().err


def test_missing_file_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["trace", "x", "nowhere.log"]) == 2
    assert "nowhere.log" in capsys.readouterr().err


def test_standard_input_and_json(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("noise\n{broken\n" + LOGS.read_text()))
    assert main(["trace", "d362e48bdde12d96", "--json"]) == 0
    shown = json.loads(capsys.readouterr().out)
    reasons = [line["reason"] for line in shown["lines"] if "reason" in line]
    assert reasons == ["target_failed"]
