"""Run the launcher script as the platform does."""

import subprocess
import sys

from tests.support import ROOT

# Prints the handler of SIGHUP at the moment at which the launcher imports chervilmill.
PROGRAM = """
import runpy, signal, sys

class Report:
    def find_spec(self, name, path=None, target=None):
        if name == "chervilmill":
            print(signal.getsignal(signal.SIGHUP).name)
            raise SystemExit(0)

sys.meta_path.insert(0, Report())
runpy.run_path("deploy/entry.py")
"""


def test_sighup_does_not_end_a_starting_process() -> None:
    """SIGHUP arrives when the settings change, and by default it ends a process.

    The imports take 0.3 s, or seconds on a busy machine, so the signal can arrive during them.
    """
    ran = subprocess.run(
        [sys.executable, "-c", PROGRAM], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert ran.stdout.strip() == "SIG_IGN"
