"""Run the soak as a command."""

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from tests.support import ROOT

NETWORK = 96
VM = (f"127.{NETWORK}.1.1", 8161)
STARTED_S = 30.0  # for a process and an entry VM on a busy machine
ENDED_S = 10.0


def test_soak_that_is_ended_leaves_no_process_behind(tmp_path: Path) -> None:
    """Else its entry VMs hold the addresses of the next soak and answer in their place."""
    command = [sys.executable, "-m", "soak", "--network", str(NETWORK), "--keep", str(tmp_path)]
    running = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        assert _becomes(True, STARTED_S)
        running.send_signal(signal.SIGTERM)
        assert running.wait(ENDED_S) == 128 + signal.SIGTERM
        assert _becomes(False, ENDED_S)
    finally:
        running.kill()


def _becomes(is_open: bool, limit_s: float) -> bool:
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        with socket.socket() as sock:
            if (sock.connect_ex(VM) == 0) is is_open:
                return True
        time.sleep(0.1)
    return False
