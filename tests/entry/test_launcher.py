"""Start the program as the platform does."""

import subprocess
import sys

from tests.support import ROOT

# Reports how SIGHUP is handled at the moment when the launcher imports the product.
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


def test_change_of_settings_does_not_end_a_process_that_starts() -> None:
    """Imports take 0.3 s, and seconds on a busy machine; SIGHUP ends a process by default."""
    ran = subprocess.run(
        [sys.executable, "-c", PROGRAM], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert ran.stdout.strip() == "SIG_IGN"
