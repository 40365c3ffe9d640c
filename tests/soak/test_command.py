"""Test the command line of the soak."""

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from tests.support import ROOT

NETWORK = 96
VM_ADDRESS = (f"127.{NETWORK}.1.1", 8161)
START_TIMEOUT_S = 30.0  # covers the start of the soak and of an entry VM on a busy machine
EXIT_TIMEOUT_S = 10.0


def test_soak_that_is_ended_leaves_no_process_behind(tmp_path: Path) -> None:
    """Entry VMs left running would answer the requests of the next soak at the same addresses."""
    command = [sys.executable, "-m", "soak", "--network", str(NETWORK), "--keep", str(tmp_path)]
    running = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        assert _port_becomes(True, START_TIMEOUT_S)
        running.send_signal(signal.SIGTERM)
        assert running.wait(EXIT_TIMEOUT_S) == 128 + signal.SIGTERM
        assert _port_becomes(False, EXIT_TIMEOUT_S)
    finally:
        running.kill()


def _port_becomes(is_open: bool, limit_s: float) -> bool:
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        with socket.socket() as sock:
            if (sock.connect_ex(VM_ADDRESS) == 0) is is_open:
                return True
        time.sleep(0.1)
    return False
