"""Test the commands of the command line against the operators' interface."""

import json
from collections.abc import Iterator

import pytest

from chervilmill.cli import main
from chervilmill.http import HttpServer
from chervilmill.metrics import Metrics
from chervilmill.operators import LeavingMarks, NodeStatus, OperatorsApp, status_routes
from chervilmill.standins.store import MemoryStore
from chervilmill.steering import Headroom
from tests.support import ROOT, TOKEN, free_address, raw_settings, target_vm

HEADROOM = {"souhrny": Headroom({"praha-a": 0.5, "praha-b": 0.25}, 0.2, 0.0)}
STATUS = NodeStatus(
    "entry-1", "praha", "praha-a", False, 2, 7, ("entry-1",), {"souhrny": 3}, HEADROOM
)


class Node:
    """A server of the operators' interface alone, without the rest of a node."""

    def __init__(self, tmp_path) -> None:
        self.store = MemoryStore()
        self.store.put_vm(target_vm("target-1", free_address()))
        raw = raw_settings("entry-1", free_address())
        routes = (*status_routes(lambda: STATUS), *LeavingMarks(self.store).routes())
        app = OperatorsApp(TOKEN, Metrics(), routes)
        self.server = HttpServer(free_address(), app, threads=2)
        self.server.start()
        raw["node"]["operators"] = str(self.server.address)
        file = tmp_path / "entry-1.jsonc"
        file.write_text(json.dumps(raw))
        self.options = ["--settings", str(file)]


@pytest.fixture
def node(tmp_path) -> Iterator[Node]:
    running = Node(tmp_path)
    yield running
    running.server.stop()


def test_status_as_text_and_json(node: Node, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["status", *node.options]) == 0
    text = capsys.readouterr().out
    assert "entry-1 (praha, praha-a), live" in text
    assert "the store has not confirmed the configuration yet" in text
    assert "souhrny: 25% in the fullest failure domain, 20% with one failure" in text
    assert main(["status", "--json", *node.options]) == 0
    assert json.loads(capsys.readouterr().out)["in_flight"] == 2


def test_drain_is_idempotent_and_can_be_undone(
    node: Node, capsys: pytest.CaptureFixture[str]
) -> None:
    for arguments in ([], [], ["--undo"], ["--undo"]):
        assert main(["drain", "target-1", *arguments, *node.options]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == lines[1] == "target-1 is leaving as of revision 1"
    assert lines[2] == lines[3] == "target-1 takes work as of revision 2"


def test_token_from_file_and_environment(
    node: Node, tmp_path, monkeypatch: pytest.MonkeyPatch
) -> None:
    address = ["--operators", str(node.server.address)]
    file = tmp_path / "token"
    file.write_text(TOKEN + "\n")
    monkeypatch.setenv("OPERATORS_TOKEN", TOKEN)
    assert main(["status", *address, "--token-file", str(file)]) == 0
    assert main(["status", *address, "--token-env", "OPERATORS_TOKEN"]) == 0
    assert main(["status", *address, "--token-env", "NOT_SET"]) == 2
    assert main(["status", *address]) == 2
    assert main(["status"]) == 2


def test_errors_name_step_and_peer(node: Node, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["drain", "nobody", *node.options]) == 1
    peer = str(node.server.address)
    expected = f"chervilmill: write mark: {peer}: no VM nobody in the platform's list\n"
    assert capsys.readouterr().err == expected
    node.store.is_down = True
    assert main(["drain", "target-1", *node.options]) == 3
    assert f"read mark: {peer}: get object: memory store" in capsys.readouterr().err


def test_unreachable_node_is_a_peer_failure(capsys: pytest.CaptureFixture[str]) -> None:
    address = free_address()
    options = ["--settings", str(ROOT / "examples" / "souhrny.jsonc")]
    assert main(["status", *options, "--operators", str(address)]) == 3
    assert capsys.readouterr().err.startswith(f"chervilmill: read status: {address}: ")


@pytest.mark.parametrize("name", ["souhrny", "swanbourne"])
def test_settings_check(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    file = ROOT / "examples" / f"{name}.jsonc"
    assert main(["settings", "check", str(file)]) == 0
    assert capsys.readouterr().out == f"{file}: settings are valid\n"
    assert main(["settings", "check", str(file) + ".missing"]) == 2
