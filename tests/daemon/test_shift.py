"""Carry out a shift with two daemon processes and the command line."""

import json
import time
from collections.abc import Iterator

import pytest
import urllib3

from chervilmill.cli import main
from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore, retry_until
from tests.support import entry_vm, free_address, raw_settings, start_daemon, target_vm

START_TIMEOUT_S = 10
SHIFT_TIMEOUT_S = 30
INTENT = {
    "name": "to-brno",
    "service": "souhrny",
    "shares": {"brno": 36},
    "cap": {"percent_of_blocks_per_min": 100},
}


class Site:
    """Two entry VMs in two regions that share one platform."""

    def __init__(self, tmp_path) -> None:
        self.store = MemoryStore()
        self.platform = platform_server(free_address(), self.store)
        self.platform.start()
        self.raws = [self._raw(name) for name in ("praha-a", "brno-a")]
        domains = [d for region in self.raws[0]["regions"] for d in region["failure_domains"]]
        for index in range(36):
            domain = domains[index % len(domains)]
            self.store.put_vm(target_vm(f"t-{index}", free_address(), domain=domain))
        self.files = []
        for raw in self.raws:
            self.store.put_vm(entry_vm(raw))
            file = tmp_path / f"{raw['node']['name']}.jsonc"
            file.write_text(json.dumps(raw))
            self.files.append(str(file))
        self.daemons = [
            start_daemon(tmp_path / f"{raw['node']['name']}.jsonc") for raw in self.raws
        ]
        assert retry_until(lambda: all(self.look_up(n) for n in (0, 1)), START_TIMEOUT_S)

    def _raw(self, domain: str) -> dict:
        location = {"region": domain.partition("-")[0], "failure_domain": domain}
        return raw_settings(f"entry-{domain}", self.platform.address, **location)

    def look_up(self, node: int, client: str = "10.1.1.1") -> dict:
        url = f"http://{self.raws[node]['node']['callers']}/lookup?service=souhrny&client={client}"
        try:
            answer = urllib3.request("GET", url, retries=False, timeout=2).json()
        except urllib3.exceptions.HTTPError:
            return {}
        return answer if answer["entries"] else {}

    def close(self) -> None:
        for daemon in self.daemons:
            daemon.kill()
            daemon.wait()
        self.platform.stop()


@pytest.fixture
def site(tmp_path) -> Iterator[Site]:
    running = Site(tmp_path)
    yield running
    running.close()


def test_shift_has_the_same_effect_at_every_node(
    site: Site, tmp_path, capsys: pytest.CaptureFixture[str]
) -> None:
    def run(node: int, *arguments: str) -> dict:
        assert main([*arguments, "--json", "--settings", site.files[node]]) == 0
        return json.loads(capsys.readouterr().out)

    file = tmp_path / "intent.json"
    file.write_text(json.dumps(INTENT))
    run(0, "intent", str(file))
    token = run(1, "plan", "to-brno")["token"]
    run(0, "confirm", "to-brno", token)
    deadline_s = time.monotonic() + SHIFT_TIMEOUT_S
    shift = {"phase": "", "blocks_moved": 0}
    while shift["phase"] != "done" and time.monotonic() < deadline_s:
        time.sleep(0.2)
        shift = run(1, "shifts")["shifts"][0]
    assert shift["phase"] == "done"
    assert shift["blocks_moved"] == shift["blocks_to_move"] > 0
    revision = shift["revision"]
    assert retry_until(lambda: site.look_up(0).get("revision", 0) >= revision, START_TIMEOUT_S)
    assert retry_until(lambda: site.look_up(1).get("revision", 0) >= revision, START_TIMEOUT_S)
    answers = [site.look_up(node, "10.3.7.7") for node in (0, 1)]
    assert answers[0] == answers[1]
    assert run(0, "explain", "souhrny", "10.3.7.7")["intent"] == "to-brno"
