"""Test that stand-ins stop when they are told to."""

import signal
import subprocess
import sys

import pytest
import urllib3

from chervilmill.addresses import Address
from chervilmill.standins.store import retry_until
from tests.support import free_address

SIGNALS = 400
TIMEOUT_S = 20


def _is_up(address: Address) -> bool:
    try:
        urllib3.request("GET", f"http://{address}/-/health", retries=False, timeout=1.0)
    except urllib3.exceptions.HTTPError:
        return False
    return True


@pytest.mark.parametrize("arguments", [["platform_main"], ["target_main", "--name", "t1"]])
def test_signals_in_a_burst_block_a_stand_in(arguments: list[str]) -> None:
    address = free_address()
    module, *options = arguments
    command = [sys.executable, "-m", f"chervilmill.standins.{module}", "--address", str(address)]
    process = subprocess.Popen([*command, *options])
    try:
        assert retry_until(lambda: _is_up(address), TIMEOUT_S)
        for _ in range(SIGNALS):
            process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
