"""Test that replacing every entry VM of a loaded small site interrupts and loses nothing."""

import json
import threading
import time
from collections import Counter

import urllib3

from chervilmill.http import HttpServer
from chervilmill.standins.store import retry_until
from chervilmill.standins.target_server import TargetState, target_server
from tests.nodes.test_three_processes import DOMAINS, Site
from tests.support import free_address, target_vm

TIMEOUT_S = 20
CALLERS = 3
TARGETS = 6


class Caller:
    """Looks up entry VMs every half second and sends one digest request after another."""

    def __init__(self, site: Site, first: str) -> None:
        self.site = site
        self.entries = [site.raws[first]["node"]["callers"]]
        self.outcomes: Counter[str] = Counter()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.http = urllib3.PoolManager(retries=False, timeout=10)
        self.looked_up_s = float("-inf")

    def run(self) -> None:
        number = 0
        while not self.stopped.is_set():
            self.look_up()
            number += 1
            url = f"http://{self.entries[0]}/s/souhrny/digest/{number}"
            try:
                resp = self.http.request("GET", url)
                whole = resp.status == 200 and b"part 3 of 3" in resp.data
                self.outcomes["whole" if whole else _refusal(resp)] += 1
            except urllib3.exceptions.HTTPError as exc:
                self.outcomes[type(exc).__name__] += 1

    def look_up(self) -> None:
        if time.monotonic() - self.looked_up_s < 0.5:
            return
        self.looked_up_s = time.monotonic()
        answer = self.http.request("GET", f"http://{self.entries[0]}/lookup").json()
        self.entries = [entry["address"] for entry in answer["entries"]]


def _refusal(resp: urllib3.BaseHTTPResponse) -> str:
    return f"{resp.status} {resp.json()['reason']}" if resp.status != 200 else "short"


def start_target(site: Site, number: int) -> HttpServer:
    name = f"target-{number}"
    target = target_server(free_address(), TargetState(name, part_delay_s=0.05))
    target.start()
    domain = DOMAINS[number % len(DOMAINS)][1]
    site.store.put_vm(target_vm(name, target.address, domain=domain))
    return target


def test_replacing_every_entry_vm_cuts_nothing_and_keeps_the_configuration(tmp_path) -> None:
    site = Site(tmp_path)
    targets = [start_target(site, number) for number in range(1, TARGETS + 1)]
    callers: list[Caller] = []
    try:
        names = {site.start(index) for index in range(3)}
        version = site.store.create("configuration", "intent/a", b"one")
        assert site.wait(names, revision=version)
        callers = [Caller(site, name) for name in sorted(names)]
        for caller in callers:
            caller.thread.start()
        for index in range(3):
            new, old = site.start(index + 3), f"entry-{index}"
            assert retry_until(lambda new=new: bool(site.entries(new)), TIMEOUT_S)
            site.processes[old].terminate()
            assert site.processes[old].wait(TIMEOUT_S) == 0
            site.store.remove_vm(old)
            names = names - {old} | {new}
            assert site.wait(names, revision=version)
    finally:
        for caller in callers:
            caller.stopped.set()
            caller.thread.join(TIMEOUT_S)
        site.close()
        for target in targets:
            target.stop()
    outcomes = sum((caller.outcomes for caller in callers), Counter())
    assert outcomes.keys() == {"whole"}, json.dumps(outcomes)
    assert outcomes["whole"] > 3 * CALLERS
