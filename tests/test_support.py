"""Test the helpers that tests share."""

import json
import subprocess
import sys

from tests.support import ROOT, free_addresses

COUNT = 200
PROCESSES = 4
PROGRAM = f"""
import json, random, sys
random.seed(1)  # all draw the same ports
from tests.support import free_addresses
print(json.dumps([one.port for one in free_addresses({COUNT})]), flush=True)
sys.stdin.read()
"""


def test_ports_differ_within_a_process() -> None:
    assert len({one.port for one in free_addresses(COUNT)}) == COUNT


def test_ports_differ_among_processes_that_run_at_once() -> None:
    """With a port in common, the VM of one test would send requests to a stand-in of another."""
    running = [
        subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    try:
        ports = [
            port for one in running if one.stdout for port in json.loads(one.stdout.readline())
        ]
    finally:
        for one in running:
            one.communicate()
    assert len(set(ports)) == len(ports) == COUNT * PROCESSES
